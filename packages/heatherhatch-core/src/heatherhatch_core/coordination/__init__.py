"""How nodes act together: pure decisions over state, events and time."""
