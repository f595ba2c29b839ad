"""Moves machines and carries out maintenance waves, on one node at a time."""

import gevent
from gevent.event import Event as Signal
from msgspec.structs import replace

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import FencedError, StoreError
from heatherhatch_core.state.maintenance import Machine, MachineState

from ..events import Event, log
from ..transport.http import ExchangeError
from ..transport.store import Expect, PolledStore, Put, Transaction
from .claims import Claims
from .clock import now_s, wall_s
from .coordinator_rules import CoordinatorRules
from .fleet_records import (
    FleetPlan,
    PoolReport,
    cleared_machines,
    with_drain_requests,
    with_orders,
)
from .keys import COORDINATOR, PLAN_KEY, pool_role
from .machine_orders import MachineOrders, Maintain, Move
from .operators import Operators
from .pool_resizer import PoolResizer, spare_cpu_m
from .pool_watchdog import GIVEN_UP_PAUSE_S
from .ports import ExternalPorts
from .record_watchers import PlanWatcher, ReportWatcher
from .sweeper import Sweeper
from .wave_executor import WaveExecutor

ROUND_S = 0.1  # maximum time between two rounds; a report starts the next one early
BATCH_WINDOW_S = 0.01  # reports that arrive within this time are handled in one round
LIST_PERIOD_S = 1.0  # time between two reads of the list of machines while all are up
BUSY_LIST_PERIOD_S = 0.4  # the same while machines are being moved or maintained
RETRY_S = 0.5  # pause after a failed call
FAILED_ROUNDS_LIMIT = 8  # rounds that fail in succession before the role is given up


class Coordinator:
    """Sizes the pools and carries out waves while this node holds the claim.

    The plan contains the requests to the pools' holders and the state that the
    next coordinator needs. It is stored before an order is sent.

    Args:
        node: Name of the node, sent to the provider with each order.
        token: Fencing token of the claim.
        claims: This node's claims.
        store: The platform's store.
        external_ports: The provider's interface.
        operators: The configuration and the announced waves.
        plan_watcher: The coordinator's plan.
        rules: Timing limits of the coordinator.
    """

    def __init__(
        self,
        node: str,
        token: int,
        claims: Claims,
        store: PolledStore,
        external_ports: ExternalPorts,
        operators: Operators,
        plan_watcher: PlanWatcher,
        rules: CoordinatorRules,
    ):
        self.token = token
        self.claims = claims
        self.store = store
        self.external_ports = external_ports
        self.operators = operators
        self.plan_watcher = plan_watcher
        self.rules = rules
        self.signal = Signal()
        self.reports = ReportWatcher(store, self.signal.set)
        self.orders = MachineOrders(
            external_ports.machines, node, token, self.may_act, rules.maintenance_s
        )
        self.waves = WaveExecutor(
            store, external_ports.records, operators, self.orders, self._claim, rules
        )
        self.sizes = PoolResizer(operators, self.orders, rules.gates)
        self.sweeper = Sweeper(store, self._claim, rules.keep_s)
        self.machines: dict[str, Machine] = {}
        self.machines_read_s = float("-inf")
        self.list_requested_s = float("-inf")
        self.failed_rounds = 0
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the rounds of the coordinator and the sweeper."""
        self.reports.feed.start()
        self.sweeper.start()
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the rounds of the coordinator and the sweeper."""
        self.reports.feed.stop()
        self.sweeper.stop()
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def may_act(self) -> bool:
        """Return whether orders may be sent at this moment."""
        return self.claims.token(COORDINATOR) == self.token and self.claims.holds(
            COORDINATOR
        )

    def _claim(self) -> Expect:
        return self.claims.expect(COORDINATOR)

    def _run(self) -> None:
        while True:
            self.signal.wait(ROUND_S)
            gevent.sleep(BATCH_WINDOW_S)
            self.signal.clear()
            if not self.may_act() or not self.plan_watcher.loaded:
                continue
            try:
                self._round()
                self.failed_rounds = 0
            except FencedError as error:
                log(Event.ROLE_FENCED, role=COORDINATOR, token=self.token)
                self.claims.drop(COORDINATOR, str(error))
                return
            except (StoreError, ExchangeError) as error:
                log(Event.MACHINE_REFUSED, error=str(error))
                self._note_failed_round(error)
            except Exception as error:  # one fault must not end the role
                log(Event.TASK_FAILED, task="coordinator", error=repr(error))
                self._note_failed_round(error)

    def _note_failed_round(self, error: Exception) -> None:
        """Leave the role to another node if no round succeeds on this one."""
        self.failed_rounds += 1
        if self.failed_rounds < FAILED_ROUNDS_LIMIT:
            gevent.sleep(RETRY_S)
            return
        self.failed_rounds = 0
        reason = f"{FAILED_ROUNDS_LIMIT} rounds failed, the last with {error!r}"
        self.claims.release(COORDINATOR, reason, GIVEN_UP_PAUSE_S)

    def _round(self) -> None:
        self._refresh_machines()
        reports = self._current_reports()
        plan = self.plan_watcher.plan
        machines = self.orders.with_accepted_moves(self.machines)
        cleared = cleared_machines(plan, list(reports.values()), machines)
        work = self.waves.plan_work(
            plan, self.machines, self.list_requested_s, cleared, reports
        )
        taken = {order.machine for order in work.orders}
        leaving = work.draining | taken
        moves, finishing = self.sizes.plan_moves(
            self.machines, cleared, reports, leaving, work.due
        )
        # Until a move shows, a run that starts on its machine would be lost.
        closed = {move.machine for move in moves} | self.orders.leaving(self.machines)
        plan = replace(
            with_drain_requests(plan, leaving, finishing | closed),
            due=tuple(sorted(work.due)),
            announced=self.waves.announced(plan),
            maintained=self.waves.maintained(plan),
            completed=(*plan.completed, *work.completed),
            spare_cpu_m=spare_cpu_m(machines, reports, plan.spare_cpu_m),
        )
        self._carry_out([*work.orders, *moves], plan)

    def _current_reports(self) -> dict[str, PoolReport]:
        """Return the reports of the pools' current holders.

        A machine that a former holder reported as empty may have received work
        since.
        """
        found = {}
        for pool, report in self.reports.reports.items():
            claim = self.claims.free_roles.claims.get(pool_role(pool))
            if claim is not None and claim.revision == report.token:
                found[pool] = report
        return found

    def _refresh_machines(self) -> None:
        """Refresh the list of machines, more often while some are not up."""
        busy = any(item.state is not MachineState.UP for item in self.machines.values())
        if now_s() - self.machines_read_s < (
            BUSY_LIST_PERIOD_S if busy else LIST_PERIOD_S
        ):
            return
        list_requested_s = now_s()
        self.machines = {
            item.name: item for item in self.external_ports.machines.machines()
        }
        self.list_requested_s = list_requested_s
        self.machines_read_s = now_s()

    def _carry_out(self, orders: list[Maintain | Move], plan: FleetPlan) -> None:
        """Store the plan and the orders, then send the orders."""
        due = [order for order in orders if self._may_order_machine(order.machine)]
        if due:
            names = {order.machine for order in due}
            plan = with_orders(plan, names, self.token, wall_s())
        if plan != self.plan_watcher.plan and not self._write(plan):
            return
        if due and self.orders.send_all(due):
            self.machines_read_s = float("-inf")

    def _may_order_machine(self, name: str) -> bool:
        """Return whether another coordinator's last order is old enough."""
        last = self.plan_watcher.plan.last_order(name)
        if last is None or last.token == self.token:
            return True
        return wall_s() - last.at_s >= self.rules.min_order_gap_s

    def _write(self, plan: FleetPlan) -> bool:
        expects = (
            self._claim(),
            Expect(PLAN_KEY, self.plan_watcher.plan_revision),
        )
        put = Put(PLAN_KEY, encode_json(plan))
        outcome = self.store.transact(Transaction(expects, (put,)))
        if outcome.succeeded:
            self.plan_watcher.update_plan(plan, outcome.revision)
        return outcome.succeeded
