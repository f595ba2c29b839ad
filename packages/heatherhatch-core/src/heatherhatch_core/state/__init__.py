"""Entities, changes, and the configuration that results from the changes."""
