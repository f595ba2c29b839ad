"""Runs the real sizer on the machines of a simulated fleet."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from heatherhatch_core.coordination.pool_sizes import FleetView, PoolNeed, PoolSizer
from heatherhatch_core.coordination.scheduler import Scheduler

if TYPE_CHECKING:
    from .world import World

STANDBY = "standby"
REPORT_DELAY_S = 0.15  # age of the pool state that the coordinator uses
REQUEST_DELAY_S = 0.15  # delay until a drain request reaches the scheduler


class VirtualCoordinator:
    """Moves the machines of a world as its sizer decides.

    Args:
        world: The simulated fleet.
        sizer: Policy for the sizes of pools; None to keep them fixed.

    Attributes:
        requests: Machines to drain, each with the number of the request.
        delivered: The same by pool, as the schedulers know it.
    """

    def __init__(self, world: World, sizer: PoolSizer | None):
        self.world = world
        self.sizer = sizer
        self.requests: dict[str, int] = {}
        self.delivered: dict[str, dict[str, int]] = {
            pool: {} for pool in world.schedulers
        }

    def step(self) -> None:
        """Collect the state of the pools and size them after its delay."""
        if self.sizer is None:
            return
        schedulers = self.world.schedulers
        needs = {
            pool: pool_need(scheduler, self.world.now_s)
            for pool, scheduler in schedulers.items()
        }
        cleared = frozenset(
            name
            for scheduler in schedulers.values()
            for name, number in scheduler.cleared().items()
            if self.requests.get(name) == number
        )
        machines = dict(self.world.machines)
        fleet = FleetView(machines, needs, STANDBY, frozenset(), cleared)
        self.world.schedule(REPORT_DELAY_S, lambda: self._apply(fleet))

    def forget(self, name: str) -> None:
        """Drop the request to drain a machine that moves or crashes."""
        self.requests.pop(name, None)

    def _apply(self, fleet: FleetView) -> None:
        machines = self.world.machines
        fleet = replace(fleet, machines=dict(machines))
        change = self.sizer.plan(fleet, self.world.now_s)
        for name, pool in change.moves:
            self.world.move(name, pool)
        wanted = set(change.draining)
        for name in list(self.requests):
            if name not in wanted:
                del self.requests[name]
        for name in sorted(wanted):
            self.requests.setdefault(name, next(self.world.count))
        by_pool = {pool: {} for pool in self.world.schedulers}
        for name, number in self.requests.items():
            pool = machines[name].pool
            if pool in by_pool:
                by_pool[pool][name] = number
        self.world.schedule(
            REQUEST_DELAY_S, lambda: setattr(self, "delivered", by_pool)
        )


def pool_need(scheduler: Scheduler, now_s: float) -> PoolNeed:
    """Return the demand of a pool as its holder reports it."""
    present = [item for item in scheduler.state.workers.values() if item.present]
    demand = scheduler.demand(now_s, now_s)
    return PoolNeed(
        scheduler.state.pool,
        demand.cpu_m,
        frozenset(worker.info.machine for worker in present if not worker.runs),
        scheduler.urgent_share(now_s),
        demand.on_time_cpu_m,
        {
            worker.info.machine: len(worker.runs)
            for worker in present
            if not any(run.task.step.lasting for run in worker.runs.values())
        },
    )
