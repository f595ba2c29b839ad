"""Simulates pools whose demand peaks in turn, in virtual time."""
