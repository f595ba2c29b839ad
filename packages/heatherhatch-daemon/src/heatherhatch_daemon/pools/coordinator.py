"""Moves machines and carries out maintenance waves, on one node at a time."""

from dataclasses import dataclass

import gevent
from msgspec.structs import replace

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.wave_plan import WaveState, next_machines
from heatherhatch_core.exceptions import (
    ErrorKind,
    FencedError,
    HeatherhatchError,
    StoreError,
)
from heatherhatch_core.state.maintenance import Machine, Wave, WaveProgress

from ..events import Event, log
from ..transport.http import ExchangeError
from ..transport.store import Expect, PolledStore, Put, Transaction
from .board import Board, FleetPlan, MachineOrder
from .claims import Claims
from .clock import now_s, wall_s
from .keys import COORDINATOR, PLAN_KEY
from .operators import Operators
from .ports import Outside

ROUND_S = 0.2  # time between two rounds
LOOK_S = 1.0  # the machines are read this often while nothing is under way
BUSY_LOOK_S = 0.4  # the same while machines are being moved or maintained
RETRY_S = 0.5  # pause after a call that failed


@dataclass(frozen=True, slots=True)
class CoordinatorRules:
    """Bounds of the coordinator.

    Attributes:
        turn_s: Two coordinators give orders for one machine at least so far
            apart, seconds.
        maintenance_s: How long a machine is down for its maintenance, seconds.
        move_s: How long a machine is down for a move, seconds.
    """

    turn_s: float = 3.0
    maintenance_s: float = 2.0
    move_s: float = 1.5


class Coordinator:
    """Carries out waves while this node has the claim.

    What it asks of the pools' holders, and what its successor has to know, is
    in the plan, which is stored before an order is given.

    Args:
        node: Name of the node, as the provider is told.
        token: Fencing token of the claim.
        claims: This node's claims.
        store: The platform's store.
        outside: The provider's interface.
        operators: The announced waves.
        board: The plan, and the reports of the pools.
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
        board: Board,
        rules: CoordinatorRules,
    ):
        self.node = node
        self.token = token
        self.claims = claims
        self.store = store
        self.outside = outside
        self.operators = operators
        self.board = board
        self.rules = rules
        self.machines: dict[str, Machine] = {}
        self.machines_s = float("-inf")
        self.reported: dict[int, bool] = {}
        self.since_s: dict[str, float] = {}
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to coordinate."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop at once."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_S)
            if not self._may_act() or not self.board.read:
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

    def _may_act(self) -> bool:
        return self.claims.token(COORDINATOR) == self.token and self.claims.holds(
            COORDINATOR
        )

    def _round(self) -> None:
        waves = [
            (wave, seen_s)
            for wave, seen_s in self.operators.waves.values()
            if wave.number not in self.board.plan.completed
        ]
        if not waves:
            self._ask((), ())
            return
        self._look()
        vacating: list[str] = []
        due: list[str] = []
        for wave, _seen_s in sorted(waves, key=lambda item: item[0].number):
            state = self._wave_state(wave)
            self._tell(wave, False)
            if state.finished:
                self._complete(wave)
                continue
            ready, emptying = next_machines(state)
            for machine in ready:
                self._maintain(machine, wave)
            vacating.extend(emptying)
            due.extend(state.open)
        self._ask(tuple(sorted(set(vacating))), tuple(sorted(set(due))))

    def _look(self) -> None:
        busy = any(machine.worker_id == "" for machine in self.machines.values())
        if now_s() - self.machines_s < (BUSY_LOOK_S if busy else LOOK_S):
            return
        self.machines = {item.name: item for item in self.outside.machines.machines()}
        self.machines_s = now_s()

    def _wave_state(self, wave: Wave) -> WaveState:
        plan = self.board.plan
        done = set(plan.maintained.get(wave.number, ()))
        pools = {pool.name for pool in self.operators.config.pools if not pool.standby}
        cleared = {
            machine
            for report in self.board.reports.values()
            for machine in report.cleared
        }
        return WaveState(
            wave=wave,
            machines=self.machines,
            done=frozenset(done),
            cleared=frozenset(cleared),
            working=frozenset(pools),
            loads={
                load.machine: load.lasting * 100_000 + load.used_cpu_m
                for report in self.board.reports.values()
                for load in report.loads
            },
            down=frozenset(self._down(done)),
        )

    def _down(self, done: set[str]) -> set[str]:
        """Return the machines that may be down for their maintenance."""
        orders = {order.machine: order for order in self.board.plan.orders}
        down = set()
        for name in done:
            machine = self.machines.get(name)
            order = orders.get(name)
            young = order is not None and (
                wall_s() - order.at_s < self.rules.maintenance_s
            )
            if machine is not None and (young or not machine.worker_id):
                down.add(name)
        return down

    def _maintain(self, name: str, wave: Wave) -> None:
        if not self._take_turn(name):
            return
        if not self._may_act():
            return
        done = self.outside.machines.maintain(name, wave.number, self.node, self.token)
        log(
            Event.MACHINE_ORDERED if done else Event.MACHINE_REFUSED,
            order="maintenance",
            machine=name,
            wave=wave.number,
            token=self.token,
        )
        self.machines_s = float("-inf")
        if not done:
            return
        plan = self.board.plan
        maintained = dict(plan.maintained)
        maintained[wave.number] = (*maintained.get(wave.number, ()), name)
        self._write(replace(plan, maintained=maintained))

    def _take_turn(self, name: str) -> bool:
        """Store that an order for a machine follows; False if it is too early."""
        plan = self.board.plan
        others = [order for order in plan.orders if order.machine != name]
        last = next((order for order in plan.orders if order.machine == name), None)
        foreign = last is not None and last.token != self.token
        if foreign and wall_s() - last.at_s < self.rules.turn_s:
            return False
        orders = (*others, MachineOrder(name, self.token, wall_s()))
        return self._write(replace(plan, orders=orders))

    def _ask(self, vacating: tuple[str, ...], due: tuple[str, ...]) -> None:
        plan = self.board.plan
        if plan.vacating == vacating and plan.due == due:
            return
        self._write(replace(plan, vacating=vacating, due=due))

    def _complete(self, wave: Wave) -> None:
        self._tell(wave, True)
        plan = self.board.plan
        completed = (*plan.completed, wave.number)
        if self._write(replace(plan, completed=completed)):
            log(Event.WAVE_COMPLETED, wave=wave.number, machines=len(wave.machines))

    def _tell(self, wave: Wave, completed: bool) -> None:
        if self.reported.get(wave.number) == completed:
            return
        records = self.outside.records
        put = Put(
            f"{records.wave_status_prefix}{wave.number}",
            records.write_wave_progress(WaveProgress(wave.number, completed)),
        )
        outcome = self.store.transact(
            Transaction((self.claims.expect(COORDINATOR),), (put,))
        )
        if not outcome.succeeded:
            raise HeatherhatchError(ErrorKind.CONFLICT, "the claim is another node's")
        self.reported[wave.number] = completed

    def _write(self, plan: FleetPlan) -> bool:
        expects = (
            self.claims.expect(COORDINATOR),
            Expect(PLAN_KEY, self.board.plan_revision),
        )
        put = Put(PLAN_KEY, encode_json(plan))
        outcome = self.store.transact(Transaction(expects, (put,)))
        if outcome.succeeded:
            self.board.see_plan(plan, outcome.revision)
        return outcome.succeeded
