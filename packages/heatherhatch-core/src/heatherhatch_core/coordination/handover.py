"""Hands machines that run late work over to work of other pools that can be on time.

Load: the pools peak in turn, and one peak asks for more than the whole fleet. The jobs
that it leaves behind are late and keep the machines busy, while the jobs of the next
peak become late as well.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..state.maintenance import Machine, MachineState
from .fleet_sizes import FleetView


@dataclass(slots=True)
class Handover:
    """Chooses the machines to take from late work.

    Attributes:
        leaving: Machines that get no new runs and then move to another pool.
    """

    leaving: set[str] = field(default_factory=set)

    def keep_own(self, fleet: FleetView, lacking_cpu_m: Mapping[str, int]) -> None:
        """Keep machines of pools that lack CPU for on-time work themselves.

        No machine is moved into the pool that it is in already, so those that are empty
        would idle until the shortage ends.

        Args:
            fleet: State of the machines and the demand of the pools.
            lacking_cpu_m: As for ``update``.
        """
        left_cpu_m = dict(lacking_cpu_m)
        for name in sorted(self.leaving - fleet.evacuated):
            machine = fleet.machines[name]
            if left_cpu_m[machine.pool] > 0:
                self.leaving.discard(name)
                left_cpu_m[machine.pool] -= machine.capacity.cpu_m

    def update(
        self,
        fleet: FleetView,
        lacking_cpu_m: Mapping[str, int],
        staying: Mapping[str, list[Machine]],
        free_cpu_m: int,
        min_machines: int,
    ) -> None:
        """Choose further machines, or keep some of them.

        Args:
            fleet: State of the machines and the demand of the pools.
            lacking_cpu_m: CPU that each pool lacks for work that can be on time, in
                thousandths of a core; a negative value is a surplus.
            staying: Machines that each pool keeps.
            free_cpu_m: CPU of the machines that can be moved at once.
            min_machines: Number of machines that a pool keeps in any case.
        """
        wanted_cpu_m = sum(value for value in lacking_cpu_m.values() if value > 0)
        wanted_cpu_m -= free_cpu_m
        # Those that are empty are free already.
        wanted_cpu_m -= sum(
            fleet.machines[name].capacity.cpu_m for name in self.leaving - fleet.cleared
        )
        if wanted_cpu_m < 0:
            self._keep_some(fleet, -wanted_cpu_m)
            return
        for pool in sorted(lacking_cpu_m, key=lambda name: (lacking_cpu_m[name], name)):
            wanted_cpu_m -= self._take(
                fleet,
                pool,
                min(-lacking_cpu_m[pool], wanted_cpu_m),
                staying[pool],
                min_machines,
            )

    def _take(
        self,
        fleet: FleetView,
        pool: str,
        most_cpu_m: int,
        staying: list[Machine],
        min_machines: int,
    ) -> int:
        """Choose machines of one pool; return their CPU in thousandths of a core."""
        runs = fleet.needs[pool].runs
        candidates = [
            machine
            for machine in staying
            if machine.state is MachineState.UP and machine.name in runs
        ]
        # Machines with few runs are empty first.
        candidates.sort(
            key=lambda item: (item.name in fleet.due, runs[item.name], item.name)
        )
        closed = sum(1 for name in self.leaving if fleet.machines[name].pool == pool)
        # A job must not wait for long while under half of its pool is in use, and the
        # machines that stay are in use as long as any job waits.
        most = min(len(staying) - min_machines, (len(staying) - closed) // 2)
        taken_cpu_m = 0
        for machine in candidates[: max(0, most)]:
            if taken_cpu_m + machine.capacity.cpu_m > most_cpu_m:
                break
            self.leaving.add(machine.name)
            taken_cpu_m += machine.capacity.cpu_m
        return taken_cpu_m

    def _keep_some(self, fleet: FleetView, surplus_cpu_m: int) -> None:
        """Keep machines that are no longer wanted, those that still run work first."""
        for name in sorted(
            self.leaving, key=lambda item: (item in fleet.cleared, item)
        ):
            cpu_m = fleet.machines[name].capacity.cpu_m
            if cpu_m > surplus_cpu_m:
                return
            self.leaving.discard(name)
            surplus_cpu_m -= cpu_m
