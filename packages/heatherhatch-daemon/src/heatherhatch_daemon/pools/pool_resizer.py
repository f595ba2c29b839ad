"""Adjusts the sizes of pools to their demand."""

from collections.abc import Mapping

from heatherhatch_core.coordination.pool_sizes import (
    FleetView,
    PoolNeed,
    PoolSizer,
    SizeRules,
)
from heatherhatch_core.feature_gates import ALL_ENABLED, FeatureGates
from heatherhatch_core.state.maintenance import Machine

from ..events import Event, log
from .clock import now_s
from .fleet_records import PoolReport
from .machine_orders import MachineOrders, Move
from .operators import Operators

LEAST_SPARE_SHARE = 0.5  # of the stored value, at which it is stored anew
SPARE_MARGIN_FACTOR = 1.25  # so that small changes of the demand store nothing
LOG_INTERVAL_S = 1.0  # the sizes are also logged with each move


def spare_cpu_m(
    machines: Mapping[str, Machine], reports: Mapping[str, PoolReport], former: int
) -> int:
    """Return the CPU that may be moved into a pool that is short, at most.

    These are the machines of no reporting pool, and what pools have beyond their demand
    for work that can be on time, since late work hands its machines over, and at least
    one machine. The value changes only if it would be too small,
    or much too large.

    Args:
        machines: Machines of the provider, by name.
        reports: Reports of the current holder of each pool, by pool.
        former: The value that was stored last; negative if there is none.

    Returns:
        Thousandths of a core.
    """
    spare = sum(
        machine.capacity.cpu_m
        for machine in machines.values()
        if machine.pool not in reports
    )
    for pool, report in reports.items():
        have = sum(
            machine.capacity.cpu_m
            for machine in machines.values()
            if machine.pool == pool
        )
        spare += max(0, have - min(report.needed_cpu_m, _on_time_cpu_m(report)))
    # Near 0 the value would change with each task.
    largest = max((item.capacity.cpu_m for item in machines.values()), default=0)
    spare = max(spare, largest)
    if former * LEAST_SPARE_SHARE <= spare <= former:
        return former
    return int(spare * SPARE_MARGIN_FACTOR)


class PoolResizer:
    """Derives moves of machines between pools from the reports of the pools.

    Args:
        operators: Holds the configuration.
        orders: Moves that are in progress.
        gates: Optional mechanisms that are enabled.
    """

    def __init__(
        self,
        operators: Operators,
        orders: MachineOrders,
        gates: FeatureGates = ALL_ENABLED,
    ):
        self.operators = operators
        self.orders = orders
        self.sizer = PoolSizer(SizeRules(gates=gates))
        self.logged_s = float("-inf")

    def plan_moves(
        self,
        machines: dict[str, Machine],
        cleared: frozenset[str],
        reports: dict[str, PoolReport],
        draining: set[str],
        due: set[str],
    ) -> tuple[list[Move], set[str]]:
        """Return the moves to order, and the machines to close to new work.

        Args:
            machines: Machines of the provider, by name.
            cleared: Machines that are empty after a request to drain them.
            reports: Reports of the current holder of each pool, by pool.
            draining: Machines that are being drained for a wave.
            due: Machines that a wave will take down.
        """
        config = self.operators.config
        standby = next((pool.name for pool in config.pools if pool.standby), None)
        needs = {
            pool: PoolNeed(
                pool,
                report.needed_cpu_m,
                frozenset(load.machine for load in report.loads if not load.runs),
                min(1.0, max(0.0, report.urgent_share)),
                _on_time_cpu_m(report),
                {load.machine: load.runs for load in report.loads if not load.lasting},
            )
            for pool, report in reports.items()
            if pool in config.active_pools()
        }
        if standby is None or not machines or not needs:
            return [], set()
        fleet = FleetView(
            self.orders.with_accepted_moves(machines),
            needs,
            standby,
            frozenset(draining),
            cleared,
            frozenset(due),
            frozenset(
                name
                for name, machine in machines.items()
                if machine.data_centre in self.operators.evacuations.since_s
            ),
            len(config.active_pools()),
        )
        change = self.sizer.plan(fleet, now_s())
        self._log_sizes(fleet, len(change.moves), len(change.draining))
        moves = [
            Move(name, pool) for name, pool in change.moves if name not in draining
        ]
        return moves, set(change.draining)

    def _log_sizes(self, fleet: FleetView, moves: int, draining: int) -> None:
        if now_s() - self.logged_s < LOG_INTERVAL_S and not moves:
            return
        self.logged_s = now_s()
        sizes = {
            pool: (
                sum(1 for item in fleet.machines.values() if item.pool == pool),
                len(need.idle),
                need.cpu_m,
                need.urgent_share,
                need.on_time_cpu_m,
            )
            for pool, need in sorted(fleet.needs.items())
        }
        log(
            Event.DECIDED,
            what="sizes",
            sizes=sizes,
            moves=moves,
            emptying=draining,
            leaving=len(fleet.draining),
            evacuated=len(fleet.evacuated),
        )


def _on_time_cpu_m(report: PoolReport) -> int:
    if report.on_time_cpu_m < 0:
        return report.needed_cpu_m
    return report.on_time_cpu_m
