"""Control of running tasks: leases, reports and orders to workers."""

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
RunConcurrently = Callable[[list[Callable[[], None]]], None]


@dataclass(frozen=True, slots=True)
class WorkerClock:
    """Last reading of a worker's clock.

    Attributes:
        reading: Clock reading that the worker sent.
        answered_s: When the response with it arrived, monotonic seconds.
    """

    reading: Reading
    answered_s: float

    def lease_end(self, now_s: float, lease_s: float) -> Reading:
        """Return an end of lease, at most one lease duration from now.

        The end is on the worker's clock, which now shows at least the reading
        plus the time since the response, less the possible drift of two clocks.
        """
        elapsed_s = max(0.0, now_s - self.answered_s) * (1 - CLOCK_DRIFT)
        return self.reading.plus(elapsed_s + lease_s)


@dataclass(slots=True)
class Attempt:
    """State of one attempt to run a job, as known to the dispatcher.

    Attributes:
        job_id: Id of the job.
        number: Number of the attempt.
        evidence: Upper bound on the end of its lease.
        reports: Last report of each worker; a terminal report is kept.
    """

    job_id: str
    number: int
    evidence: LeaseEvidence
    reports: dict[str, TaskReport] = field(default_factory=dict)

    def ended_on(self, worker_id: str) -> bool:
        """Return whether a worker has confirmed that the attempt has ended there."""
        report = self.reports.get(worker_id)
        return report is not None and report.state in TERMINAL_STATES

    def store_report(self, worker_id: str, report: TaskReport) -> None:
        """Store a report of a worker unless it has sent a terminal one."""
        if not self.ended_on(worker_id):
            self.reports[worker_id] = report


class TaskMonitor:
    """Exchanges messages with workers about running tasks.

    Every message that can start a task or extend its lease states an end of lease
    on the worker's own clock, counted from a moment at which ``may_renew`` was
    true. However late the message arrives, the task ends within one lease of that
    moment.

    Args:
        control: Client of the task control of the workers.
        lease_s: Duration of a task's lease in seconds.
        clock: Returns monotonic seconds.
        run_all: Runs calls concurrently and returns when all have ended.

    Attributes:
        may_renew: Returns whether this node may start or renew tasks now; set by
            the dispatcher.
    """

    def __init__(
        self,
        control: WorkerControl,
        lease_s: float,
        clock: Callable[[], float],
        run_all: RunConcurrently,
    ):
        self.control = control
        self.lease_s = lease_s
        self.may_renew: Callable[[], bool] = lambda: False
        self.clock = clock
        self.run_all = run_all
        self.attempts: dict[AttemptId, Attempt] = {}
        self.worker_clocks: dict[str, WorkerClock] = {}
        self.synced_s: dict[str, float] = {}

    def forget_all(self) -> None:
        """Forget all state, before the jobs of an earlier holder are adopted."""
        self.attempts.clear()
        self.worker_clocks.clear()
        self.synced_s.clear()

    def adopt(self, job: Job, claimed_s: float, grace_s: float) -> Attempt:
        """Return an attempt, with the latest possible lease end if it is not known."""
        key = (job.job_id, job.attempt)
        if key not in self.attempts:
            evidence = inherited_lease(self.lease_s, claimed_s, grace_s)
            self.attempts[key] = Attempt(job.job_id, job.attempt, evidence)
        return self.attempts[key]

    def boots(self) -> dict[str, str]:
        """Return the last known incarnation of each worker's task control."""
        return {
            worker_id: clock.reading.boot
            for worker_id, clock in self.worker_clocks.items()
        }

    def keep_only(self, keys: Iterable[AttemptId]) -> None:
        """Forget every attempt except those given."""
        kept = set(keys)
        self.attempts = {k: v for k, v in self.attempts.items() if k in kept}

    def sync_due(self, tasks: dict[str, list[Attempt]], controls: dict[str, str]):
        """Sync with each worker whose last sync was long enough ago.

        Args:
            tasks: Attempts that run, by worker.
            controls: ``host:port`` of the task control, by worker.
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
        """Renew a worker's tasks and read its reports; return whether it answered."""
        self.synced_s[worker_id] = self.clock()
        open_tasks = [item for item in tasks if not item.ended_on(worker_id)]
        now = self.clock()
        if not self.may_renew():
            return False
        worker_clock = self.worker_clocks.get(worker_id)
        boot, until_s = "", 0.0
        if worker_clock is not None:
            end = worker_clock.lease_end(now, self.lease_s)
            boot, until_s = end.boot, end.clock_s
            for item in open_tasks:
                item.evidence = item.evidence.renewed(now)
        renewals = tuple(Renewal(i.job_id, i.number, until_s) for i in open_tasks)
        try:
            answer = self.control.sync(control, WorkerSync(boot, renewals))
        except ExchangeError:
            return False
        self.worker_clocks[worker_id] = WorkerClock(answer.reading, self.clock())
        for report in answer.tasks:
            for item in open_tasks:
                if (item.job_id, item.number) == (report.job_id, report.attempt):
                    item.store_report(worker_id, report)
        if worker_clock is None or worker_clock.reading.boot != answer.reading.boot:
            # Without a clock reading of this boot no lease was renewed, so another
            # sync is due in the next round.
            self.synced_s.pop(worker_id, None)
        return True

    def start(self, job: Job, worker_id: str, control: str) -> bool:
        """Order the start of a job's task on one worker of its gang.

        Returns:
            False if the task has not started or may not have started.
        """
        attempt = self.attempts[(job.job_id, job.attempt)]
        worker_clock = self.worker_clocks.get(worker_id)
        now = self.clock()
        if worker_clock is None or not self.may_renew():
            return False
        until = worker_clock.lease_end(now, self.lease_s)
        attempt.evidence = attempt.evidence.renewed(now)
        order = TaskOrder(job.job_id, job.attempt, job.spec, until, job.progress)
        try:
            report = self.control.start(control, order)
        except ExchangeError:
            return False
        attempt.store_report(worker_id, report)
        return report.state is not TaskState.UNKNOWN

    def end(self, attempt: Attempt, worker_id: str, control: str, save: bool) -> None:
        """Stop an attempt on a worker; ``save`` writes a checkpoint first.

        Any node may do this at any time, because the holder of the claim never
        renews an attempt again that is to be stopped.
        """
        call = self.control.checkpoint if save else self.control.stop
        try:
            report = call(control, attempt.job_id, attempt.number)
        except ExchangeError:
            return
        attempt.store_report(worker_id, report)

    def throttle(self, attempt: Attempt, control: str, share: float) -> bool:
        """Limit an attempt to a fraction of its processors; return True if accepted."""
        try:
            self.control.throttle(control, attempt.job_id, attempt.number, share)
        except ExchangeError:
            return False
        return True
