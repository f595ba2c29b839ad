"""Measures how costs grow with the size of the fleet, and writes the capacity page."""
