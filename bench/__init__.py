"""Measurements of heatherhatch."""
