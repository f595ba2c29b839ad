"""Moves machines and carries out maintenance waves, on one node at a time."""

from dataclasses import dataclass

import gevent
from msgspec.structs import replace

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.pool_sizes import Fleet, PoolNeed, PoolSizer
from heatherhatch_core.coordination.wave_plan import WaveState, next_machines
from heatherhatch_core.exceptions import FencedError, StoreError
from heatherhatch_core.state.maintenance import (
    Machine,
    MachineState,
    Wave,
    WaveProgress,
)

from ..events import Event, log
from ..transport.http import ExchangeError
from ..transport.store import Expect, PolledStore, Put, Transaction
from .board import (
    FleetPlan,
    MachineOrder,
    PlanBoard,
    PoolReport,
    ReportBoard,
    cleared_machines,
    with_requests,
)
from .claims import Claims
from .clock import now_s, wall_s
from .keys import COORDINATOR, PLAN_KEY, claim_key, pool_role
from .machine_orders import MachineOrders, Maintain, Move
from .operators import Operators
from .ports import Outside
from .sweeper import Sweeper

ROUND_S = 0.1  # time between two rounds
LOOK_S = 1.0  # the machines are read this often while nothing is under way
BUSY_LOOK_S = 0.4  # the same while machines are being moved or maintained
TELL_S = 1.0  # the sizes are logged as often, and with each move
RETRY_S = 0.5  # pause after a call that failed
DOWN = (MachineState.MAINTENANCE, MachineState.DOWN)


@dataclass(frozen=True, slots=True)
class CoordinatorRules:
    """Bounds of the coordinator.

    Attributes:
        turn_s: Two coordinators give orders for one machine at least so far
            apart, seconds.
        maintenance_s: How long a machine is down for its maintenance, seconds.
        move_s: How long a machine is down for a move, seconds.
        keep_s: How long callers may ask for a job that ended, seconds.
    """

    turn_s: float = 3.0
    maintenance_s: float = 2.0
    move_s: float = 1.5
    keep_s: float = 120.0


class Coordinator:
    """Sizes the pools and carries out waves while this node has the claim.

    What it asks of the pools' holders, and what its successor has to know, is
    in the plan, which is stored before an order is given.

    Args:
        node: Name of the node, as the provider is told.
        token: Fencing token of the claim.
        claims: This node's claims.
        store: The platform's store.
        outside: The provider's interface.
        operators: The configuration and the announced waves.
        board: The plan.
        rules: Bounds.
    """

    def __init__(
        self,
        node: str,
        token: int,
        claims: Claims,
        store: PolledStore,
        outside: Outside,
        operators: Operators,
        board: PlanBoard,
        rules: CoordinatorRules,
    ):
        self.token = token
        self.claims = claims
        self.store = store
        self.outside = outside
        self.operators = operators
        self.board = board
        self.rules = rules
        self.reports = ReportBoard(store)
        self.sizer = PoolSizer()
        self.orders = MachineOrders(
            outside.machines, node, token, self.may_act, rules.maintenance_s
        )
        self.sweeper = Sweeper(store, self._claim, rules.keep_s)
        self.machines: dict[str, Machine] = {}
        self.machines_s = float("-inf")
        self.asked_s = float("-inf")
        self.told: dict[int, bool] = {}
        self.told_s = float("-inf")
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to coordinate."""
        self.reports.feed.start()
        self.sweeper.start()
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop at once."""
        self.reports.feed.stop()
        self.sweeper.stop()
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def may_act(self) -> bool:
        """Tell whether orders may be given at this moment."""
        return self.claims.token(COORDINATOR) == self.token and self.claims.holds(
            COORDINATOR
        )

    def _claim(self) -> Expect:
        return self.claims.expect(COORDINATOR)

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_S)
            if not self.may_act() or not self.board.read:
                continue
            try:
                self._round()
            except FencedError as error:
                log(Event.ROLE_FENCED, role=COORDINATOR, token=self.token)
                self.claims.drop(COORDINATOR, str(error))
                return
            except (StoreError, ExchangeError) as error:
                log(Event.MACHINE_REFUSED, error=str(error))
                gevent.sleep(RETRY_S)
            except Exception as error:  # one fault must not end the role
                log(Event.TASK_FAILED, task="coordinator", error=repr(error))
                gevent.sleep(RETRY_S)

    def _round(self) -> None:
        self._look()
        reports = self._current_reports()
        plan = self.board.plan
        cleared = cleared_machines(plan, list(reports.values()))
        maintain: list[Maintain] = []
        emptying: set[str] = set()
        due: set[str] = set()
        for wave in self._open_waves():
            state = self._wave_state(wave, cleared, reports)
            self._tell(wave, False)
            if state.finished:
                plan = self._complete(wave, plan)
                continue
            ready, busy = next_machines(state)
            maintain += [Maintain(name, wave.number) for name in ready]
            emptying.update(busy)
            due.update(state.open)
        taken = {order.machine for order in maintain}
        moves, giving = self._sizes(reports, cleared, emptying | taken, due)
        plan = replace(
            with_requests(plan, emptying | taken, giving),
            due=tuple(sorted(due)),
            maintained=self._maintained(plan),
        )
        self._carry_out([*maintain, *moves], plan)

    def _open_waves(self) -> list[Wave]:
        waves = [wave for wave, _seen_s in self.operators.waves.values()]
        waves.sort(key=lambda wave: wave.number)
        return [wave for wave in waves if wave.number not in self.board.plan.completed]

    def _current_reports(self) -> dict[str, PoolReport]:
        """Return the reports of those who hold the pools now.

        A machine that a former holder found empty may have got work since.
        """
        found = {}
        for pool, report in self.reports.reports.items():
            claim = self.claims.holders.get(pool_role(pool))
            if claim is not None and claim.revision == report.token:
                found[pool] = report
        return found

    def _look(self) -> None:
        busy = any(item.state in DOWN for item in self.machines.values())
        busy = busy or any(
            item.state is MachineState.MOVING for item in self.machines.values()
        )
        if now_s() - self.machines_s < (BUSY_LOOK_S if busy else LOOK_S):
            return
        asked_s = now_s()
        self.machines = {item.name: item for item in self.outside.machines.machines()}
        self.asked_s = asked_s
        self.machines_s = now_s()

    def _wave_state(
        self, wave: Wave, cleared: frozenset[str], reports: dict[str, PoolReport]
    ) -> WaveState:
        done = set(self.board.plan.maintained.get(wave.number, ()))
        done |= self.orders.maintained.get(wave.number, set())
        return WaveState(
            wave=wave,
            machines=self.machines,
            done=frozenset(done),
            cleared=cleared,
            taken=frozenset(self.orders.moving(self.machines)),
            working=frozenset(self.operators.config.working_pools()),
            loads={
                load.machine: load.lasting * 1000 + load.runs
                for report in reports.values()
                for load in report.loads
            },
            down=frozenset(self._down(wave)),
        )

    def _down(self, wave: Wave) -> set[str]:
        """Return the machines that may be down for their maintenance."""
        return {
            name
            for name in wave.machines
            if name in self.machines
            and (
                self.machines[name].state in DOWN
                or self.orders.may_be_down(name, self.asked_s)
                or self._was_ordered(name)
            )
        }

    def _was_ordered(self, name: str) -> bool:
        """Tell whether an earlier coordinator's order may still be under way."""
        order = self._last_order(name)
        if order is None or order.token == self.token:
            return False
        age_s = wall_s() - order.at_s
        return age_s < self.rules.turn_s + self.rules.maintenance_s

    def _sizes(
        self,
        reports: dict[str, PoolReport],
        cleared: frozenset[str],
        leaving: set[str],
        due: set[str],
    ) -> tuple[list[Move], set[str]]:
        config = self.operators.config
        standby = next((pool.name for pool in config.pools if pool.standby), None)
        if standby is None or not self.machines:
            return [], set()
        needs = {
            pool: PoolNeed(
                pool,
                report.needed_cpu_m,
                frozenset(load.machine for load in report.loads if not load.runs),
            )
            for pool, report in reports.items()
            if pool in config.working_pools()
        }
        fleet = Fleet(
            self.orders.seen(self.machines),
            needs,
            standby,
            frozenset(leaving),
            cleared,
            frozenset(due),
        )
        change = self.sizer.change(fleet, now_s())
        self._tell_sizes(fleet, len(change.moves), len(change.emptying))
        moves = [Move(name, pool) for name, pool in change.moves if name not in leaving]
        return moves, set(change.emptying)

    def _tell_sizes(self, fleet: Fleet, moves: int, emptying: int) -> None:
        if now_s() - self.told_s < TELL_S and not moves:
            return
        self.told_s = now_s()
        sizes = {
            pool: (
                sum(1 for item in fleet.machines.values() if item.pool == pool),
                len(need.idle),
                need.cpu_m,
            )
            for pool, need in sorted(fleet.needs.items())
        }
        log(
            Event.DECIDED,
            what="sizes",
            sizes=sizes,
            moves=moves,
            emptying=emptying,
            leaving=len(fleet.leaving),
            machines_age_s=round(now_s() - self.machines_s, 2),
        )

    def _maintained(self, plan: FleetPlan) -> dict[int, tuple[str, ...]]:
        found = {number: set(names) for number, names in plan.maintained.items()}
        for number, names in self.orders.maintained.items():
            found.setdefault(number, set()).update(names)
        return {number: tuple(sorted(names)) for number, names in found.items()}

    def _carry_out(self, orders: list[Maintain | Move], plan: FleetPlan) -> None:
        """Store the plan and the orders, then give them."""
        due = [order for order in orders if self._is_turn(order.machine)]
        if due:
            names = {order.machine for order in due}
            kept = [order for order in plan.orders if order.machine not in names]
            at_s = wall_s()
            kept += [MachineOrder(name, self.token, at_s) for name in sorted(names)]
            plan = replace(plan, orders=tuple(kept))
        if plan != self.board.plan and not self._write(plan):
            return
        if due and self.orders.give(due):
            self.machines_s = float("-inf")

    def _is_turn(self, name: str) -> bool:
        """Tell whether another coordinator's order is long enough ago."""
        last = self._last_order(name)
        if last is None or last.token == self.token:
            return True
        return wall_s() - last.at_s >= self.rules.turn_s

    def _last_order(self, name: str) -> MachineOrder | None:
        orders = self.board.plan.orders
        return next((order for order in orders if order.machine == name), None)

    def _complete(self, wave: Wave, plan: FleetPlan) -> FleetPlan:
        self._tell(wave, True)
        log(Event.WAVE_COMPLETED, wave=wave.number, machines=len(wave.machines))
        return replace(plan, completed=(*plan.completed, wave.number))

    def _tell(self, wave: Wave, completed: bool) -> None:
        if self.told.get(wave.number) == completed:
            return
        records = self.outside.records
        put = Put(
            f"{records.wave_status_prefix}{wave.number}",
            records.write_wave_progress(WaveProgress(wave.number, completed)),
        )
        outcome = self.store.transact(Transaction((self._claim(),), (put,)))
        if not outcome.succeeded:
            raise StoreError(f"{claim_key(COORDINATOR)} is another node's")
        self.told[wave.number] = completed

    def _write(self, plan: FleetPlan) -> bool:
        expects = (
            self._claim(),
            Expect(PLAN_KEY, self.board.plan_revision),
        )
        put = Put(PLAN_KEY, encode_json(plan))
        outcome = self.store.transact(Transaction(expects, (put,)))
        if outcome.succeeded:
            self.board.see_plan(plan, outcome.revision)
        return outcome.succeeded
