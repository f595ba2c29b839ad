"""In-memory state of all live jobs, as the dispatcher sees them."""

import dataclasses
from collections import Counter

from ..state.configuration import Configuration
from ..state.jobs import Job, JobState, Usage
from .active_job import ActiveJob
from .job_queue import JobQueue, TeamShares
from .placement import unplaceable_reason
from .quarantine import Quarantine
from .sizes import Estimator

UNRESPONSIVE_RETRY_S = 10.0


class Dispatch:
    """Tracks every live job, the queue and what is known about workers.

    Job records arrive through ``put`` and ``drop``; ``dispatch_round`` reads this
    state to decide which jobs start, and where. It performs no I/O and reads no
    clock.

    Args:
        now_s: Monotonic seconds.

    Attributes:
        live, running: Live and running jobs by id.
        queue: Waiting jobs.
        shares: Accumulated use of each team.
        round_s: Time of the last round, monotonic seconds.
        recently_stopped: Jobs that stopped running since the last round.
        estimator: Learned sizes and run times of jobs.
        quarantine: Workers on which jobs fail repeatedly.
        unresponsive_until_s: When each worker that did not answer is tried again,
            monotonic seconds.
        paused_pools: Pools whose jobs yield to urgent work; no job starts there.
    """

    def __init__(self, now_s: float):
        self.live: dict[str, ActiveJob] = {}
        self.running: dict[str, ActiveJob] = {}
        self.queue = JobQueue()
        self.shares = TeamShares()
        self.round_s = now_s
        self.recently_stopped: list[ActiveJob] = []
        self.estimator = Estimator()
        self.quarantine = Quarantine()
        self.unresponsive_until_s: dict[str, float] = {}
        self.paused_pools: frozenset[str] = frozenset()

    def mark_unresponsive(self, worker_id: str, now_s: float) -> None:
        """Start no jobs on an unresponsive worker for ``UNRESPONSIVE_RETRY_S``."""
        self.unresponsive_until_s[worker_id] = now_s + UNRESPONSIVE_RETRY_S

    def admits(self, worker_id: str, now_s: float) -> bool:
        """Return True if a job may start on a worker."""
        if now_s < self.unresponsive_until_s.get(worker_id, now_s):
            return False
        return self.quarantine.admits(worker_id, now_s)

    def put(self, job: Job, revision: int) -> None:
        """Apply a record of a live job, unless a newer one is known."""
        previous = self.live.get(job.job_id)
        if previous is not None and previous.revision >= revision:
            return
        active_job = ActiveJob(job, revision)
        same_attempt = previous is not None and previous.job.attempt == job.attempt
        if same_attempt and job.state is previous.job.state:
            active_job = dataclasses.replace(previous, job=job, revision=revision)
        else:
            self._stop_running(job.job_id)
        self.live[job.job_id] = active_job
        self.queue.remove(job.job_id)
        if job.state is JobState.QUEUED:
            self.queue.add(job)
        elif job.state is JobState.RUNNING:
            self.running[job.job_id] = active_job

    def drop(self, job_id: str) -> None:
        """Remove a job that is no longer live."""
        self._stop_running(job_id)
        self.live.pop(job_id, None)
        self.queue.remove(job_id)

    def _stop_running(self, job_id: str) -> None:
        # The next round charges the team for the time since the last round.
        active_job = self.running.pop(job_id, None)
        if active_job is not None:
            self.recently_stopped.append(active_job)

    def units(self) -> Counter:
        """Return the number of units that each team runs."""
        counts: Counter = Counter()
        for active_job in self.running.values():
            counts[active_job.job.team] += active_job.job.units
        return counts

    def estimated_usage(self, job: Job, run_quantile: float = 0.5) -> Usage:
        """Return the estimated usage of each member of a job's gang."""
        return self.estimator.estimate(job.team, job.spec, run_quantile)

    def remaining_s(self, job: Job, now_s: float, run_quantile: float = 0.5) -> float:
        """Return the estimated remaining run time of a job, in seconds.

        Args:
            job: A waiting or running job.
            now_s: Seconds since the epoch.
            run_quantile: Share of such jobs that end within the estimated time.
        """
        left = self.estimated_usage(job, run_quantile).run_s * (1 - job.progress)
        if job.state is JobState.RUNNING:
            left -= now_s - job.started_s
        return max(0.0, left)

    def unplaceable_jobs(self, config: Configuration) -> list[tuple[Job, str]]:
        """Return the waiting jobs that can never run, each with the reason."""
        reasons: dict[tuple, str] = {}
        unplaceable = []
        for job in self.queue.jobs():
            spec = job.spec
            key = (spec.work_class, spec.accelerators, spec.gang)
            if key not in reasons:
                work_class = config.classes.get(spec.work_class)
                reasons[key] = (
                    unplaceable_reason(spec, work_class.pool, config)
                    if work_class is not None
                    else f"class {spec.work_class!r} does not exist"
                )
            if reasons[key]:
                unplaceable.append((job, reasons[key]))
        return unplaceable
