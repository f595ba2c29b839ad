"""Slopes of state, messages, processor time and memory, and the page made of them."""
