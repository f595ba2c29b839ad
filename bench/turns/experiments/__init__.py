"""Experiment files."""
