"""Summarizes whether the jobs of a pool make progress."""

from dataclasses import dataclass

from heatherhatch_core.coordination.scheduler.live import LiveJob
from heatherhatch_core.coordination.scheduler.state import PoolState


@dataclass(frozen=True, slots=True)
class PoolHealth:
    """Progress of the jobs of a pool.

    Attributes:
        jobs: Number of jobs that are not final.
        idle_jobs: Number of those that are due and have nothing running.
        oldest_idle_job: Idle job that has been due for the longest time; empty if
            none is idle.
        oldest_idle_s: How long that job has been due, seconds; 0 if none is idle.
        usable_workers: Number of workers that may get new runs.
    """

    jobs: int
    idle_jobs: int
    oldest_idle_job: str
    oldest_idle_s: float
    usable_workers: int


def pool_health(state: PoolState, now_s: float, wall_s: float) -> PoolHealth:
    """Return the progress of the jobs of a pool.

    Args:
        state: State of the pool.
        now_s: Monotonic time, seconds.
        wall_s: Seconds since the epoch.
    """
    open_jobs = [job for job in state.jobs.values() if not job.phase.final]
    idle = []
    for job in open_jobs:
        due_s = _idle_due_s(job, wall_s)
        if due_s is not None:
            idle.append((due_s, job.job.job_id))
    due_s, oldest = min(idle, default=(wall_s, ""))
    return PoolHealth(
        jobs=len(open_jobs),
        idle_jobs=len(idle),
        oldest_idle_job=oldest,
        oldest_idle_s=round(max(0.0, wall_s - due_s), 2),
        usable_workers=sum(
            1
            for item in state.evacuated.in_service(state.workers.values())
            if item.is_usable(now_s)
        ),
    )


def _idle_due_s(job: LiveJob, wall_s: float) -> float | None:
    """Return since when a job with nothing running is due; None if it is not idle."""
    if any(task.runs for task in job.tasks.values()):
        return None
    pending = (
        number
        for number in range(job.occurrences)
        if number not in job.occurrences_done
    )
    due_s = job.due_s(next(pending, 0))
    return due_s if due_s <= wall_s else None
