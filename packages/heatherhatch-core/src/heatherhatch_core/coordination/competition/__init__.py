"""Decides who is served first when a pool is asked for more than it can run."""

from .pool_competition import PoolCompetition

__all__ = ["PoolCompetition"]
