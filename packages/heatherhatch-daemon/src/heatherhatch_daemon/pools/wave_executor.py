"""Turns announced waves into orders and reports their progress to operators."""

from collections.abc import Callable
from dataclasses import dataclass, field

from heatherhatch_core.coordination.wave_plan import WaveState, next_machines
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.maintenance import (
    Machine,
    MachineState,
    Wave,
    WaveProgress,
)

from ..events import Event, log
from ..transport.store import Expect, PolledStore
from .clock import wall_s
from .coordinator_rules import CoordinatorRules
from .fleet_records import FleetPlan, PoolReport
from .machine_orders import MachineOrders, Maintain
from .operators import Operators
from .ports import OperatorRecords
from .replaced_record import ReplacedRecord

DOWN_STATES = (MachineState.MAINTENANCE, MachineState.DOWN)


@dataclass(slots=True)
class WaveWork:
    """The next actions for the open waves.

    Attributes:
        orders: Orders to begin the maintenance of machines now.
        draining: Machines to be drained.
        due: Machines whose maintenance has not begun.
        completed: Numbers of the waves in which no such machine is left.
    """

    orders: list[Maintain] = field(default_factory=list)
    draining: set[str] = field(default_factory=set)
    due: set[str] = field(default_factory=set)
    completed: list[int] = field(default_factory=list)


class WaveExecutor:
    """Turns announced waves into orders, within the concurrency limit of each wave.

    Args:
        store: The platform's store.
        records: Keys and encoders of the operators' records.
        operators: The configuration and the announced waves.
        orders: Sends the orders and keeps their results.
        claim: Returns the condition that this node holds the coordinator's claim.
        rules: Timing limits of the coordinator.
    """

    def __init__(
        self,
        store: PolledStore,
        records: OperatorRecords,
        operators: Operators,
        orders: MachineOrders,
        claim: Callable[[], Expect],
        rules: CoordinatorRules,
    ):
        self.store = store
        self.records = records
        self.operators = operators
        self.orders = orders
        self.claim = claim
        self.rules = rules
        self.reported: dict[int, bool] = {}
        self.shown: dict[int, ReplacedRecord] = {}
        self.first_seen_s: dict[int, float] = {}

    def plan_work(
        self,
        plan: FleetPlan,
        machines: dict[str, Machine],
        list_requested_s: float,
        cleared: frozenset[str],
        reports: dict[str, PoolReport],
    ) -> WaveWork:
        """Return the next actions for the open waves and report their progress.

        Args:
            plan: The coordinator's plan.
            machines: Machines of the provider, by name.
            list_requested_s: When the list of machines was requested from the
                provider, in seconds of `now_s`.
            cleared: Machines that have been drained on request.
            reports: Reports of the pools' current holders.

        Raises:
            StoreError: If the progress of a wave cannot be stored.
        """
        work = WaveWork()
        loads = [load for report in reports.values() for load in report.loads]
        for wave in self._open_waves(plan):
            state = WaveState(
                wave=wave,
                machines=machines,
                done=frozenset(self._maintained_machines(plan, wave)),
                cleared=cleared,
                moving=frozenset(self.orders.moving(machines)),
                working=frozenset(self.operators.config.active_pools()),
                loads={load.machine: load.runs for load in loads},
                lasting=frozenset(load.machine for load in loads if load.lasting),
                down=frozenset(
                    self._down_machines(plan, wave, machines, list_requested_s)
                ),
                elapsed_s=wall_s() - self._announced_s(plan, wave),
            )
            self._report_progress(wave, state.finished)
            if state.finished:
                work.completed.append(wave.number)
                continue
            ready, to_drain = next_machines(state)
            work.orders += [Maintain(name, wave.number) for name in ready]
            work.draining.update(to_drain)
            work.due.update(state.remaining)
        return work

    def announced(self, plan: FleetPlan) -> dict[int, float]:
        """Return when each open wave was first seen, seconds since the epoch."""
        return {
            wave.number: self._announced_s(plan, wave)
            for wave in self._open_waves(plan)
        }

    def _announced_s(self, plan: FleetPlan, wave: Wave) -> float:
        first_seen_s = self.first_seen_s.setdefault(wave.number, wall_s())
        return min(first_seen_s, plan.announced.get(wave.number, first_seen_s))

    def maintained(self, plan: FleetPlan) -> dict[int, tuple[str, ...]]:
        """Return the machines of each wave whose maintenance has begun."""
        numbers = plan.maintained.keys() | self.orders.maintained.keys()
        found = {}
        for number in numbers:
            names = set(plan.maintained.get(number, ()))
            names |= self.orders.maintained.get(number, set())
            found[number] = tuple(sorted(names))
        return found

    def _open_waves(self, plan: FleetPlan) -> list[Wave]:
        waves = self.operators.waves
        return [waves[number] for number in sorted(waves.keys() - set(plan.completed))]

    def _maintained_machines(self, plan: FleetPlan, wave: Wave) -> tuple[str, ...]:
        return self.maintained(plan).get(wave.number, ())

    def _down_machines(
        self,
        plan: FleetPlan,
        wave: Wave,
        machines: dict[str, Machine],
        list_requested_s: float,
    ) -> set[str]:
        """Return the machines that may be down for their maintenance."""
        return {
            name
            for name in wave.machines
            if name in machines
            and (
                machines[name].state in DOWN_STATES
                or self.orders.may_be_down(name, list_requested_s)
                or self._may_be_ordered(plan, name)
            )
        }

    def _may_be_ordered(self, plan: FleetPlan, name: str) -> bool:
        """Return whether an earlier coordinator's order may still be in progress."""
        order = plan.last_order(name)
        if order is None or order.token == self.orders.token:
            return False
        age_s = wall_s() - order.at_s
        return age_s < self.rules.min_order_gap_s + self.rules.maintenance_s

    def _report_progress(self, wave: Wave, completed: bool) -> None:
        if self.reported.get(wave.number) == completed:
            return
        key = f"{self.records.wave_status_prefix}{wave.number}"
        record = self.shown.setdefault(wave.number, ReplacedRecord(self.store, key))
        value = self.records.write_wave_progress(WaveProgress(wave.number, completed))
        claim = self.claim()
        if not record.write(claim, value):
            raise StoreError(f'this node no longer holds the claim "{claim.key}"')
        self.reported[wave.number] = completed
        if completed:
            log(Event.WAVE_COMPLETED, wave=wave.number, machines=len(wave.machines))
