"""Pools of workers, held by claims in the store: intake, holders, coordinator."""
