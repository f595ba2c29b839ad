"""Pools under demand that comes by turns: an experiment in virtual time."""
