"""Runs one pool for as long as this node holds its claim."""

import gevent
from gevent.event import Event as Signal

from heatherhatch_core.coordination.scheduler import JobWrite, Rules, Scheduler

from ..events import Event, log
from ..transport.store import PolledStore
from .claims import Claims
from .clock import now_s, wall_s
from .committer import Committer
from .directory import Directory
from .feed import RETRY_S
from .keys import pool_role
from .left_parts import LeftParts
from .operators import Operators
from .permit_calls import PermitCalls
from .permit_requester import PermitRequester
from .pool_grants import PoolGrants
from .pool_metrics import record_decision
from .pool_records import PoolRecords
from .pool_reporter import PoolReporter
from .pool_watchdog import GIVEN_UP_PAUSE_S, PoolWatchdog
from .ports import DirectoryEntry, ExternalPorts
from .record_watchers import PlanWatcher
from .start_gate import StartGate
from .supervision import spawn_supervised
from .worker_links import WorkerLinks

ROUND_S = 0.1  # maximum time between two rounds of the scheduler
BATCH_WINDOW_S = 0.004  # events that arrive within this time are handled in one round
ROUNDS_CPU_SHARE = 0.25  # the remaining CPU time is for orders and responses
REPORT_PERIOD_S = 0.05  # pause between two updates of grants and reports
UNCONFIRMED_RENEWAL_S = 2.0  # worker leases are renewed this long without a claim


class PoolHolder:
    """Runs one pool: reads its records, runs its scheduler, sends its workers orders.

    Args:
        pool: The pool.
        token: Fencing token of the claim.
        claims: This node's claims.
        store: The platform's store.
        external_ports: Interfaces to the workers and to other external services.
        operators: The operators' records.
        directory: The registered workers.
        plan_watcher: The coordinator's plan and the grants of team limits.
        rules: Timing limits of the scheduler.
        permit_calls: Sends the requests of all pools to the policy service.
    """

    def __init__(
        self,
        pool: str,
        token: int,
        claims: Claims,
        store: PolledStore,
        external_ports: ExternalPorts,
        operators: Operators,
        directory: Directory,
        plan_watcher: PlanWatcher,
        rules: Rules,
        permit_calls: PermitCalls,
    ):
        self.pool = pool
        self.role = pool_role(pool)
        self.token = token
        self.claims = claims
        self.store = store
        self.external_ports = external_ports
        self.operators = operators
        self.directory = directory
        self.plan_watcher = plan_watcher
        self.scheduler = Scheduler(pool, rules, now_s())
        self.starts = StartGate(operators, directory, self.scheduler)
        self.links = WorkerLinks(self)
        self.signal = Signal()
        self.stopped = False
        self.loaded = False
        self.config_version = -1
        self.committer = Committer(
            store, pool, self._claim, self.may_write, self._on_stored, self._on_conflict
        )
        self.records = PoolRecords(
            store, pool, self.scheduler, self.committer, self.wake, self._on_error
        )
        left_parts = LeftParts(claims.free_roles, rules.unfenced_s)
        self.grants = PoolGrants(
            store, plan_watcher, pool, self._claim, self.scheduler, left_parts
        )
        self.reports = PoolReporter(
            store, self.scheduler, self._claim, token, plan_watcher
        )
        self.permits = PermitRequester(permit_calls, pool, self.scheduler, self.wake)
        self.watchdog = PoolWatchdog(self.scheduler, self.may_order, self.give_up)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to load the pool and to schedule its jobs."""
        watch = spawn_supervised(f"watchdog of pool {self.pool}", self.watchdog.run)
        self.greenlets += [gevent.spawn(self._run), watch]

    def stop(self) -> None:
        """Stop sending orders; the next holder takes over the tasks that run."""
        if self.stopped:
            return
        self.stopped = True
        self.links.stop()
        self.records.stop()
        self.permits.stop()
        self.committer.stop()
        gevent.killall(self.greenlets, block=False)

    def may_order(self) -> bool:
        """Return whether orders may be sent at this moment."""
        return self.may_write() and self.claims.holds(self.role)

    def may_write(self) -> bool:
        """Return whether records may still be written."""
        return not self.stopped and self.claims.token(self.role) == self.token

    def may_renew(self) -> bool:
        """Return whether worker leases may be renewed."""
        return self.renewal_left_s() > 0.0

    def renewal_left_s(self) -> float:
        """Return for how long worker leases may be renewed, seconds.

        A short outage of the store, during which the claim cannot be confirmed, must
        not end the tasks that run. The next holder waits until these leases are over.
        """
        if not self.may_write() or not self.loaded:
            return 0.0
        return self.claims.confirmed_s + UNCONFIRMED_RENEWAL_S - now_s()

    def wake(self) -> None:
        """Wake the scheduler for its next round."""
        self.signal.set()

    def on_fenced(self, reason: str) -> None:
        """Drop the role, because a newer holder has sent orders."""
        log(Event.ROLE_FENCED, role=self.role, token=self.token, reason=reason)
        self.claims.drop(self.role, reason)

    def give_up(self, reason: str, pause_s: float) -> None:
        """Leave the role to other nodes, because this one does not run the pool."""
        if self.may_write():
            self.claims.release(self.role, reason, pause_s)

    def update_worker(self, entry: DirectoryEntry) -> None:
        """Handle a new or changed directory entry of a worker."""
        if entry.info.pool != self.pool:
            self.remove_worker(entry.info.worker_id)
            self.scheduler.note_machine_left(entry.info)
            return
        self.scheduler.update_worker(entry.info, now_s())
        if self.loaded:
            self.links.update(entry)

    def remove_worker(self, worker_id: str) -> None:
        """Handle that a worker has no directory entry."""
        self.scheduler.remove_worker(worker_id)
        self.wake()

    def unlink(self, worker_id: str) -> None:
        """Close the connection to a worker."""
        self.links.close(worker_id)

    def _claim(self):
        return self.claims.expect(self.role)

    def _run(self) -> None:
        try:
            self._load_and_schedule()
        except Exception as error:
            # Writes and orders may be lost, so the records must be read again.
            log(Event.TASK_FAILED, task=f"pool {self.pool}", error=repr(error))
            self._on_error(f"ended with an error: {error!r}")

    def _load_and_schedule(self) -> None:
        while not self.records.load(self.token):
            self.watchdog.note_failed_load()
            gevent.sleep(RETRY_S)
        self.loaded = True
        self.watchdog.note_loaded()
        for entry in list(self.directory.entries.values()):
            self.update_worker(entry)
        self.records.start()
        self.greenlets.append(
            spawn_supervised(f"reports of pool {self.pool}", self._report_loop)
        )
        self.permits.start()
        pause_s = 0.0
        while True:
            self.signal.wait(ROUND_S)
            gevent.sleep(max(BATCH_WINDOW_S, pause_s))
            self.signal.clear()
            begun_s = now_s()
            try:
                self._decide()
            except Exception as error:  # one fault must not stop the pool
                log(Event.TASK_FAILED, task=f"pool {self.pool}", error=repr(error))
                gevent.sleep(ROUND_S)
            self._flush()
            # Long rounds run less often, so that they do not delay responses.
            pause_s = min(ROUND_S, (now_s() - begun_s) * (1 / ROUNDS_CPU_SHARE - 1))

    def _decide(self) -> None:
        config = self.operators.config
        if config is None:
            return
        if config.version != self.config_version:
            self.config_version = config.version
            self.scheduler.configure(config)
        plan = self.plan_watcher.plan
        self.scheduler.set_drains(plan.vacating, plan.resting, frozenset(plan.due))
        if self.may_order() and self.plan_watcher.loaded:
            self.scheduler.decide(now_s(), wall_s(), self.starts.is_open())
            self.watchdog.note_round()

    def _flush(self) -> None:
        most = self.committer.free_capacity()
        if most and (writes := self.scheduler.take_writes(wall_s(), most)):
            self.committer.submit(writes)
        for order in self.scheduler.take_orders():
            self.links.send(order)
        for what, details in self.scheduler.take_notes():
            log(Event.DECIDED, what=what, pool=self.pool, **details)
            record_decision(self.scheduler.state, what, details)

    def _on_stored(self, writes: tuple[JobWrite, ...]) -> None:
        for write in writes:
            self.scheduler.stored(write.job_id, write.version, now_s())
        self._flush()
        self.wake()

    def _on_conflict(self, reason: str) -> None:
        self.give_up(reason, 0.0)

    def _on_error(self, reason: str) -> None:
        self.give_up(reason, GIVEN_UP_PAUSE_S)

    def _report_loop(self) -> None:
        """Update the pool's parts of the team limits and store its report."""
        while True:
            gevent.sleep(REPORT_PERIOD_S)
            config = self.operators.config
            if config is None or not self.may_order() or not self.plan_watcher.loaded:
                continue
            # Both log a failure of the store and retry in the next period.
            self.grants.step(config)
            self.reports.step()
