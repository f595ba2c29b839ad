"""Pools of workers run by claims in the store: intake, holders, coordinator."""
