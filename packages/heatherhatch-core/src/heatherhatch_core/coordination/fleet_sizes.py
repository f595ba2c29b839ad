"""The demand and the machines of the pools, and changes to the sizes of pools."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..state.maintenance import Machine, MachineState


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """Demand of a pool.

    Attributes:
        pool: Name of the pool.
        cpu_m: CPU demand of the pool, in thousandths of a core.
        idle: Machines without runs.
        urgent_share: Share of arriving jobs that could not wait until another
            machine is added, 0 to 1.
        on_time_cpu_m: Part of ``cpu_m`` without jobs that can no longer be on time.
        runs: Number of runs of each machine without lasting runs.
    """

    pool: str
    cpu_m: int
    idle: frozenset[str] = frozenset()
    urgent_share: float = 1.0
    on_time_cpu_m: int = 0
    runs: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetView:
    """State of the machines and the demand of the pools.

    Attributes:
        machines: Machines of the provider, by name.
        needs: Demand of each working pool, by name.
        standby: Pool whose machines are off.
        draining: Machines that are being drained for any reason.
        cleared: Machines that are empty and get no new runs.
        due: Machines that a maintenance wave will take down.
        evacuated: Machines in data centres that operators evacuate.
        pools: Number of working pools, also of those whose demand is not known.
    """

    machines: Mapping[str, Machine]
    needs: Mapping[str, PoolNeed]
    standby: str
    draining: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()
    pools: int = 0

    @property
    def pool_count(self) -> int:
        """Number of working pools."""
        return max(self.pools, len(self.needs))

    def still_in_pools(self, names: set[str]) -> set[str]:
        """Return the machines of a set that are up in a working pool."""
        return {
            name
            for name in names
            if name in self.machines
            and self.machines[name].pool in self.needs
            and self.machines[name].state is MachineState.UP
        }


@dataclass(frozen=True, slots=True)
class SizeChange:
    """Changes to the sizes of pools.

    Attributes:
        moves: Machines to move now, each with its new pool.
        draining: Machines to drain so that they can be moved.
    """

    moves: tuple[tuple[str, str], ...] = ()
    draining: frozenset[str] = frozenset()
