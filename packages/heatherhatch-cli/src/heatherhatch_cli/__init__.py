"""The heatherhatch command line for operators."""
