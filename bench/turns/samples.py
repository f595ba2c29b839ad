"""State of the simulated pools over time, for the plots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .coordinator import pool_need

if TYPE_CHECKING:
    from .world import World


@dataclass(frozen=True, slots=True)
class PoolSample:
    """State of a pool at one time.

    Attributes:
        machines: Number of its machines.
        demand_cpu_m: Its demand, thousandths of a core.
        idle: Number of its machines without runs.
        waiting: Number of its jobs that have not started.
    """

    machines: int
    demand_cpu_m: int
    idle: int
    waiting: int


def sample_pools(world: World) -> dict[str, PoolSample]:
    """Return the state of each pool now."""
    found = {}
    for pool, scheduler in world.schedulers.items():
        need = pool_need(scheduler, world.now_s)
        size = sum(1 for item in world.machines.values() if item.pool == pool)
        waiting = sum(scheduler.waiting().values())
        found[pool] = PoolSample(size, need.cpu_m, len(need.idle), waiting)
    return found
