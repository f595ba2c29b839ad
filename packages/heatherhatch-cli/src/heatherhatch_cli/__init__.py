"""Command-line client for operators of heatherhatch."""
