"""The follower of running tasks: leases, reports and orders to workers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from heatherhatch_core.coordination.attempts import (
    CLOCK_DRIFT,
    LeaseEvidence,
    inherited_lease,
)
from heatherhatch_core.state.jobs import Job

from ..transport.http import ExchangeError
from ..transport.workers import (
    Reading,
    Renewal,
    TaskOrder,
    TaskReport,
    TaskState,
    WorkerControl,
    WorkerSync,
)

TERMINAL_STATES = frozenset(
    [
        TaskState.DONE,
        TaskState.FAILED,
        TaskState.STOPPED,
        TaskState.CHECKPOINTED,
    ]
)
RENEWALS_PER_LEASE = 4

AttemptId = tuple[str, int]
RunAll = Callable[[list[Callable[[], None]]], None]


@dataclass(frozen=True, slots=True)
class Known:
    """A reading of a worker's clock.

    Attributes:
        reading: What the worker's clock showed.
        answered_s: When the answer arrived, monotonic seconds.
    """

    reading: Reading
    answered_s: float

    def lease_end(self, now_s: float, lease_s: float) -> Reading:
        """Return an end that is at most one lease from now on.

        The worker's clock shows at least the reading plus the time since the
        answer, shortened by how far two clocks may drift apart.
        """
        passed = max(0.0, now_s - self.answered_s) * (1 - CLOCK_DRIFT)
        return self.reading.plus(passed + lease_s)


@dataclass(slots=True)
class Attempt:
    """What is known of one attempt.

    Attributes:
        job_id: Job that it belongs to.
        number: Number of the start.
        evidence: When its lease has surely run out.
        reports: Last report of each worker; a terminal one stays.
    """

    job_id: str
    number: int
    evidence: LeaseEvidence
    reports: dict[str, TaskReport] = field(default_factory=dict)

    def ended_on(self, worker_id: str) -> bool:
        """Tell whether a worker has confirmed that the attempt is over there."""
        report = self.reports.get(worker_id)
        return report is not None and report.state in TERMINAL_STATES

    def note(self, worker_id: str, report: TaskReport) -> None:
        """Keep a report unless a terminal one is known."""
        if not self.ended_on(worker_id):
            self.reports[worker_id] = report


class TaskFollower:
    """Owns the exchanges with workers about running tasks.

    Every message that could start or prolong a task carries an end by the
    worker's own clock, counted from a moment at which ``may_renew`` still held:
    however late the message arrives, the task ends within a lease of then.

    Args:
        control: Control of the workers.
        lease_s: Length of a task's lease, seconds.
        clock: Returns monotonic seconds.
        run_all: Runs calls side by side and returns when all have ended.

    Attributes:
        may_renew: Tells whether this node may start or renew tasks right now;
            its owner sets it.
    """

    def __init__(
        self,
        control: WorkerControl,
        lease_s: float,
        clock: Callable[[], float],
        run_all: RunAll,
    ):
        self.control = control
        self.lease_s = lease_s
        self.may_renew: Callable[[], bool] = lambda: False
        self.clock = clock
        self.run_all = run_all
        self.attempts: dict[AttemptId, Attempt] = {}
        self.known: dict[str, Known] = {}
        self.synced_s: dict[str, float] = {}

    def forget_all(self) -> None:
        """Forget everything, before the jobs of an earlier holder are taken on."""
        self.attempts.clear()
        self.known.clear()
        self.synced_s.clear()

    def adopt(self, job: Job, claimed_s: float, grace_s: float) -> Attempt:
        """Return an attempt, with cautious evidence if it is not known."""
        key = (job.job_id, job.attempt)
        if key not in self.attempts:
            evidence = inherited_lease(self.lease_s, claimed_s, grace_s)
            self.attempts[key] = Attempt(job.job_id, job.attempt, evidence)
        return self.attempts[key]

    def forget_others(self, keys: Iterable[AttemptId]) -> None:
        """Forget every attempt but some."""
        kept = set(keys)
        self.attempts = {k: v for k, v in self.attempts.items() if k in kept}

    def sync_due(self, tasks: dict[str, list[Attempt]], controls: dict[str, str]):
        """Renew and ask for the tasks of each worker whose turn it is.

        Args:
            tasks: Attempts by worker.
            controls: ``host:port`` of the task control by worker.
        """
        now = self.clock()
        period = self.lease_s / RENEWALS_PER_LEASE
        due = [
            worker_id
            for worker_id in tasks
            if worker_id in controls
            and now - self.synced_s.get(worker_id, float("-inf")) >= period
        ]
        self.run_all(
            [
                lambda worker_id=worker_id: self.sync(
                    worker_id, controls[worker_id], tasks[worker_id]
                )
                for worker_id in due
            ]
        )

    def sync(self, worker_id: str, control: str, tasks: list[Attempt]) -> bool:
        """Exchange one sync with a worker; return whether it answered."""
        self.synced_s[worker_id] = self.clock()
        open_tasks = [item for item in tasks if not item.ended_on(worker_id)]
        now = self.clock()
        if not self.may_renew():
            return False
        known = self.known.get(worker_id)
        boot, until_s = "", 0.0
        if known is not None:
            end = known.lease_end(now, self.lease_s)
            boot, until_s = end.boot, end.clock_s
            for item in open_tasks:
                item.evidence = item.evidence.renewed(now)
        renewals = tuple(Renewal(i.job_id, i.number, until_s) for i in open_tasks)
        try:
            answer = self.control.sync(control, WorkerSync(boot, renewals))
        except ExchangeError:
            return False
        self.known[worker_id] = Known(answer.reading, self.clock())
        for report in answer.tasks:
            for item in open_tasks:
                if (item.job_id, item.number) == (report.job_id, report.attempt):
                    item.note(worker_id, report)
        if known is None or known.reading.boot != answer.reading.boot:
            # Without a reading nothing was renewed; the next round does it.
            self.synced_s.pop(worker_id, None)
        return True

    def start(self, job: Job, worker_id: str, control: str) -> bool:
        """Send the order for one member of a job's gang.

        Returns:
            False if the member did not start for certain or perhaps.
        """
        attempt = self.attempts[(job.job_id, job.attempt)]
        known = self.known.get(worker_id)
        now = self.clock()
        if known is None or not self.may_renew():
            return False
        until = known.lease_end(now, self.lease_s)
        attempt.evidence = attempt.evidence.renewed(now)
        order = TaskOrder(job.job_id, job.attempt, job.spec, until, job.progress)
        try:
            report = self.control.start(control, order)
        except ExchangeError:
            return False
        attempt.note(worker_id, report)
        return report.state is not TaskState.UNKNOWN

    def end(self, attempt: Attempt, worker_id: str, control: str, save: bool) -> None:
        """Stop an attempt on a worker, with its work saved if that is wanted.

        Stopping is safe for anybody at any time, because an attempt that is to
        be stopped is never renewed again by the holder of the claim.
        """
        call = self.control.checkpoint if save else self.control.stop
        try:
            report = call(control, attempt.job_id, attempt.number)
        except ExchangeError:
            return
        attempt.note(worker_id, report)

    def throttle(self, attempt: Attempt, control: str, share: float) -> bool:
        """Limit an attempt to a part of its processors; return if that arrived."""
        try:
            self.control.throttle(control, attempt.job_id, attempt.number, share)
        except ExchangeError:
            return False
        return True
