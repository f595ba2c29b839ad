"""The life of a job: what may follow on what, and when an attempt is over."""

import dataclasses
from dataclasses import dataclass

from ..state.jobs import Job, JobState, Usage

CLOCK_DRIFT = 0.05
FAILED_WORKERS_MAX = 3
FAILURES_MAX = 6


@dataclass(frozen=True, slots=True)
class LeaseEvidence:
    """What a dispatcher knows of the end of an attempt's lease.

    The lease is counted by the worker's own clock from a reading that the
    dispatcher was given. By the dispatcher's clock it ends at most one lease
    after the answer with that reading arrived, however late the order itself
    arrives, because the worker refuses an order whose end is past.

    Attributes:
        lease_s: Length of a task's lease, seconds.
        ends_by_s: When the lease has surely run out, monotonic seconds.
    """

    lease_s: float
    ends_by_s: float = float("-inf")

    def renewed(self, answered_s: float) -> "LeaseEvidence":
        """Return the evidence after a renewal was sent.

        Args:
            answered_s: When the answer with the clock reading arrived.
        """
        ends = answered_s + self.lease_s * (1 + CLOCK_DRIFT)
        return LeaseEvidence(self.lease_s, max(self.ends_by_s, ends))

    def over(self, now_s: float) -> bool:
        """Tell whether the attempt can't run any more."""
        return now_s > self.ends_by_s


def inherited(lease_s: float, claimed_s: float, grace_s: float) -> LeaseEvidence:
    """Return the evidence for an attempt that an earlier dispatcher started.

    Args:
        lease_s: Length of a task's lease, seconds.
        claimed_s: When this dispatcher's claim was answered, monotonic seconds.
        grace_s: Seconds for which an earlier dispatcher may go on renewing
            without the store.
    """
    return LeaseEvidence(lease_s).renewed(claimed_s + grace_s * (1 + CLOCK_DRIFT))


def start(job: Job, workers: tuple[str, ...], now_s: float) -> Job:
    """Return a job at the start of its next attempt."""
    return dataclasses.replace(
        job,
        state=JobState.RUNNING,
        attempt=job.attempt + 1,
        workers=workers,
        started_s=now_s,
        detail="",
    )


def requeue(job: Job, detail: str, progress: float = 0.0) -> Job:
    """Return a job whose attempt is surely over, waiting for the next one.

    Args:
        job: Running job.
        detail: Why the attempt ended.
        progress: Part of the work that is saved, 0 to 1.
    """
    return dataclasses.replace(
        job,
        state=JobState.QUEUED,
        workers=(),
        started_s=0.0,
        detail=detail,
        progress=max(job.progress, progress),
    )


def failed_attempt(
    job: Job,
    worker_id: str,
    detail: str,
    now_s: float,
    suspects: frozenset[str] = frozenset(),
) -> Job:
    """Return a job after its task failed on a worker.

    A job that failed on several different workers, or many times where there
    are no others, is itself at fault.

    Args:
        job: Running job.
        worker_id: Worker on which it failed.
        detail: What the worker said.
        now_s: Seconds since the epoch.
        suspects: Workers that may be at fault themselves; they don't count.
    """
    failed_on = (*job.failed_on, worker_id)
    after = dataclasses.replace(job, failed_on=failed_on)
    trusted = [item for item in failed_on if item not in suspects]
    different = sorted(set(trusted))
    if len(different) >= FAILED_WORKERS_MAX or len(trusted) >= FAILURES_MAX:
        names = ", ".join(different)
        return end(after, JobState.FAILED, f"failed on {names}: {detail}", now_s)
    return requeue(after, f"failed on {worker_id}: {detail}")


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
    """Return a job after its submitter gave it up.

    A queued job ends at once; a running one ends when its attempt is over.
    """
    if job.ended:
        return job
    if job.state is JobState.QUEUED:
        return end(job, JobState.CANCELLED, "cancelled while queued", now_s)
    return dataclasses.replace(job, cancel=True)
