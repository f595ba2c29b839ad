"""Life cycle of a job: its state transitions and the end of its attempts."""

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass

from ..state.jobs import Job, JobState, Loss, Usage

# Fraction by which the clock of a worker or of an earlier dispatcher may run slower
# than this dispatcher's clock.
CLOCK_DRIFT = 0.05
# A job fails after failures on this many different workers, or after this many
# failures in total.
MAX_FAILED_WORKERS = 3
MAX_FAILURES = 6
# A job fails after crashes of this many workers that ran nothing else, after crashes of
# this many workers of which one ran nothing else, or after this many in any case.
MAX_SOLE_CRASHES = 2
MAX_CRASHES = 3
MAX_SHARED_CRASHES = 5


@dataclass(frozen=True, slots=True)
class LeaseEvidence:
    """Upper bound on the end of an attempt's lease, as known to a dispatcher.

    The lease is measured by the worker's clock, from a clock reading that the
    worker sent to the dispatcher. By the dispatcher's clock the lease ends at
    most one lease duration after the response with that reading arrived. This
    holds however late the order arrives at the worker, because the worker
    refuses an order whose end has passed.

    Attributes:
        lease_s: Duration of a task's lease in seconds.
        ends_by_s: When the lease has certainly expired, monotonic seconds.
    """

    lease_s: float
    ends_by_s: float = float("-inf")

    def renewed(self, answered_s: float) -> "LeaseEvidence":
        """Return the evidence after a renewal was sent.

        Args:
            answered_s: When the response with the clock reading arrived, monotonic
                seconds.
        """
        ends = answered_s + self.lease_s * (1 + CLOCK_DRIFT)
        return LeaseEvidence(self.lease_s, max(self.ends_by_s, ends))

    def has_expired(self, now_s: float) -> bool:
        """Return whether the attempt can no longer be running."""
        return now_s > self.ends_by_s


def inherited_lease(lease_s: float, claimed_s: float, grace_s: float) -> LeaseEvidence:
    """Return the evidence for an attempt that an earlier dispatcher started.

    Args:
        lease_s: Duration of a task's lease in seconds.
        claimed_s: When this dispatcher's claim was confirmed, monotonic seconds.
        grace_s: Seconds for which an earlier dispatcher may continue to renew
            leases without the store.
    """
    return LeaseEvidence(lease_s).renewed(claimed_s + grace_s * (1 + CLOCK_DRIFT))


def start(
    job: Job, workers: tuple[str, ...], now_s: float, boots: tuple[str, ...] = ()
) -> Job:
    """Return a job at the start of its next attempt."""
    return dataclasses.replace(
        job,
        state=JobState.RUNNING,
        attempt=job.attempt + 1,
        workers=workers,
        started_s=now_s,
        detail="",
        boots=boots,
    )


def requeue(
    job: Job, detail: str, progress: float = 0.0, losses: tuple[Loss, ...] = ()
) -> Job:
    """Return a job in the queued state after its attempt has certainly ended.

    Args:
        job: Running job.
        detail: Why the attempt ended.
        progress: Fraction of the work that is saved in a checkpoint, 0 to 1.
        losses: Its workers that sent no report on the end.
    """
    return dataclasses.replace(
        job,
        state=JobState.QUEUED,
        workers=(),
        started_s=0.0,
        detail=detail,
        progress=max(job.progress, progress),
        boots=(),
        losses=(*job.losses, *losses),
    )


def failed_attempt(
    job: Job,
    worker_id: str,
    detail: str,
    now_s: float,
    suspects: frozenset[str] = frozenset(),
) -> Job:
    """Return a job after its task failed on a worker.

    A job that failed on several different workers, or many times where there are
    no other workers, is itself considered faulty and fails.

    Args:
        job: Running job.
        worker_id: Worker on which the task failed.
        detail: Error that the worker reported.
        now_s: Current time in seconds since the epoch.
        suspects: Workers that may be faulty themselves; failures on them are not
            counted.
    """
    failed_on = (*job.failed_on, worker_id)
    after = dataclasses.replace(job, failed_on=failed_on)
    trusted = [item for item in failed_on if item not in suspects]
    different = sorted(set(trusted))
    if len(different) >= MAX_FAILED_WORKERS or len(trusted) >= MAX_FAILURES:
        names = ", ".join(different)
        return end(after, JobState.FAILED, f"failed on {names}: {detail}", now_s)
    return requeue(after, f"failed on {worker_id}: {detail}")


def may_start(job: Job) -> bool:
    """Return whether a job may start while it is unknown why attempts were lost."""
    return len(job.crashed_on) + len(job.losses) < MAX_SHARED_CRASHES


def resolve_losses(job: Job, boots: Mapping[str, str], now_s: float) -> Job:
    """Return a job with those of its losses counted whose worker has crashed.

    A worker whose task control has another incarnation has crashed; one that answers
    with the same incarnation was only silent.

    Args:
        job: Queued job.
        boots: Current incarnation of the task control of each worker that is known.
        now_s: Current time in seconds since the epoch.
    """
    known = [loss for loss in job.losses if loss.worker_id in boots]
    if not known:
        return job
    crashes = [loss for loss in known if boots[loss.worker_id] != loss.boot]
    after = dataclasses.replace(
        job,
        losses=tuple(loss for loss in job.losses if loss not in known),
        crashed_on=(*job.crashed_on, *(loss.worker_id for loss in crashes)),
        sole_crashes=job.sole_crashes
        + sum(loss.alone and loss.worker_id not in job.crashed_on for loss in crashes),
    )
    if not _crashes_workers(after):
        return after
    names = ", ".join(sorted(set(after.crashed_on)))
    return end(after, JobState.FAILED, f"its workers crashed: {names}", now_s)


def _crashes_workers(job: Job) -> bool:
    return (
        job.sole_crashes >= MAX_SOLE_CRASHES
        or (job.sole_crashes > 0 and len(set(job.crashed_on)) >= MAX_CRASHES)
        or len(job.crashed_on) >= MAX_SHARED_CRASHES
    )


def end(
    job: Job, state: JobState, detail: str, now_s: float, used: Usage | None = None
) -> Job:
    """Return an ended job."""
    return dataclasses.replace(
        job,
        state=state,
        detail=detail,
        ended_s=now_s,
        used=used or job.used,
        progress=1.0 if state is JobState.DONE else job.progress,
    )


def cancel(job: Job, now_s: float) -> Job:
    """Return a job after its submitter cancelled it.

    A queued job ends immediately; a running job ends when its attempt has ended.
    """
    if job.ended:
        return job
    if job.state is JobState.QUEUED:
        return end(job, JobState.CANCELLED, "cancelled while queued", now_s)
    return dataclasses.replace(job, cancel=True)
