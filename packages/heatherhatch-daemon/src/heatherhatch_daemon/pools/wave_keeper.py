"""Carries announced waves through, and tells operators how they stand."""

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
from ..transport.store import Expect, PolledStore, Put, Transaction
from .board import FleetPlan, PoolReport
from .clock import wall_s
from .coordinator_rules import CoordinatorRules
from .machine_orders import MachineOrders, Maintain
from .operators import Operators
from .ports import OperatorRecords

DOWN = (MachineState.MAINTENANCE, MachineState.DOWN)


@dataclass(slots=True)
class WaveWork:
    """What the open waves ask for.

    Attributes:
        orders: Machines to be taken down now.
        emptying: Machines to be emptied.
        due: Machines that have not had their turn.
        completed: Waves whose machines all have had their turn.
    """

    orders: list[Maintain] = field(default_factory=list)
    emptying: set[str] = field(default_factory=set)
    due: set[str] = field(default_factory=set)
    completed: list[int] = field(default_factory=list)


class WaveKeeper:
    """Turns announced waves into orders, within what each allows at once.

    Args:
        store: The platform's store.
        records: Where the progress of waves is told.
        operators: The configuration and the announced waves.
        orders: Orders that are under way.
        claim: Returns the condition of the coordinator's claim.
        rules: Bounds.
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
        self.told: dict[int, bool] = {}
        self.seen_s: dict[int, float] = {}

    def work(
        self,
        plan: FleetPlan,
        machines: dict[str, Machine],
        listed_s: float,
        cleared: frozenset[str],
        reports: dict[str, PoolReport],
    ) -> WaveWork:
        """Return what the open waves ask for.

        Args:
            plan: The coordinator's plan.
            machines: Machines of the provider, by name.
            listed_s: When the provider was asked for them.
            cleared: Machines that are empty on request.
            reports: Reports of those who hold the pools now.
        """
        work = WaveWork()
        loads = [load for report in reports.values() for load in report.loads]
        for wave in self._open_waves(plan):
            state = WaveState(
                wave=wave,
                machines=machines,
                done=frozenset(self._done(plan, wave)),
                cleared=cleared,
                taken=frozenset(self.orders.moving(machines)),
                working=frozenset(self.operators.config.working_pools()),
                loads={load.machine: load.runs for load in loads},
                lasting=frozenset(load.machine for load in loads if load.lasting),
                down=frozenset(self._down(plan, wave, machines, listed_s)),
                passed_s=wall_s() - self._announced_s(plan, wave),
            )
            self._tell(wave, state.finished)
            if state.finished:
                work.completed.append(wave.number)
                continue
            ready, busy = next_machines(state)
            work.orders += [Maintain(name, wave.number) for name in ready]
            work.emptying.update(busy)
            work.due.update(state.open)
        return work

    def announced(self, plan: FleetPlan) -> dict[int, float]:
        """Return when each open wave was first seen, seconds since the epoch."""
        return {
            wave.number: self._announced_s(plan, wave)
            for wave in self._open_waves(plan)
        }

    def _announced_s(self, plan: FleetPlan, wave: Wave) -> float:
        seen_s = self.seen_s.setdefault(wave.number, wall_s())
        return min(seen_s, plan.announced.get(wave.number, seen_s))

    def maintained(self, plan: FleetPlan) -> dict[int, tuple[str, ...]]:
        """Return the machines of each wave that have had their turn."""
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

    def _done(self, plan: FleetPlan, wave: Wave) -> tuple[str, ...]:
        return self.maintained(plan).get(wave.number, ())

    def _down(
        self,
        plan: FleetPlan,
        wave: Wave,
        machines: dict[str, Machine],
        listed_s: float,
    ) -> set[str]:
        """Return the machines that may be down for their maintenance."""
        return {
            name
            for name in wave.machines
            if name in machines
            and (
                machines[name].state in DOWN
                or self.orders.may_be_down(name, listed_s)
                or self._was_ordered(plan, name)
            )
        }

    def _was_ordered(self, plan: FleetPlan, name: str) -> bool:
        """Tell whether an earlier coordinator's order may still be under way."""
        order = plan.last_order(name)
        if order is None or order.token == self.orders.token:
            return False
        age_s = wall_s() - order.at_s
        return age_s < self.rules.turn_s + self.rules.maintenance_s

    def _tell(self, wave: Wave, completed: bool) -> None:
        if self.told.get(wave.number) == completed:
            return
        put = Put(
            f"{self.records.wave_status_prefix}{wave.number}",
            self.records.write_wave_progress(WaveProgress(wave.number, completed)),
        )
        claim = self.claim()
        outcome = self.store.transact(Transaction((claim,), (put,)))
        if not outcome.succeeded:
            raise StoreError(f'"{claim.key}" is another node\'s')
        self.told[wave.number] = completed
        if completed:
            log(Event.WAVE_COMPLETED, wave=wave.number, machines=len(wave.machines))
