"""Coordination of nodes: pure functions and classes over state, events and time."""
