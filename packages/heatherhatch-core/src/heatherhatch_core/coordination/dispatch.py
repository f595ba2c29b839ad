"""The dispatcher's view of all live jobs."""

import dataclasses
from collections import Counter

from ..state.configuration import Configuration
from ..state.jobs import Job, JobState, Usage
from .job_queue import JobQueue, TeamShares
from .live_job import Live
from .placement import lacking
from .quarantine import Quarantine
from .sizes import Estimator

SILENT_S = 10.0


class Dispatch:
    """Holds every live job and decides which starts next, and where.

    It is told of records by ``put`` and ``drop``; ``dispatch_round`` decides from
    it what starts. It owns no socket and no clock.

    Args:
        now_s: Monotonic seconds.

    Attributes:
        live, running: Live and running jobs by id.
        queue: Jobs that wait.
        shares: What each team was served.
        round_s: Monotonic seconds of the last round.
        left: Jobs that stopped running since the last round.
        estimator: Learned sizes.
        quarantine: Workers that fail what they start.
        silent_until: When a worker that did not answer is tried again.
        held_pools: Pools that make way for urgent work; nothing starts there.
    """

    def __init__(self, now_s: float):
        self.live: dict[str, Live] = {}
        self.running: dict[str, Live] = {}
        self.queue = JobQueue()
        self.shares = TeamShares()
        self.round_s = now_s
        self.left: list[Live] = []
        self.estimator = Estimator()
        self.quarantine = Quarantine()
        self.silent_until: dict[str, float] = {}
        self.held_pools: frozenset[str] = frozenset()

    def note_silent(self, worker_id: str, now_s: float) -> None:
        """Note that a worker does not answer; nothing starts there for a while."""
        self.silent_until[worker_id] = now_s + SILENT_S

    def admits(self, worker_id: str, now_s: float) -> bool:
        """Tell whether a job may start on a worker."""
        if now_s < self.silent_until.get(worker_id, now_s):
            return False
        return self.quarantine.admits(worker_id, now_s)

    def put(self, job: Job, revision: int) -> None:
        """Note a record of a live job."""
        known = self.live.get(job.job_id)
        if known is not None and known.revision >= revision:
            return
        live = Live(job, revision)
        still = known is not None and known.job.attempt == job.attempt
        if still and job.state is known.job.state:
            live = dataclasses.replace(known, job=job, revision=revision)
        else:
            self._leave(job.job_id)
        self.live[job.job_id] = live
        self.queue.remove(job.job_id)
        if job.state is JobState.QUEUED:
            self.queue.add(job)
        elif job.state is JobState.RUNNING:
            self.running[job.job_id] = live

    def drop(self, job_id: str) -> None:
        """Forget a job that is not live any more."""
        self._leave(job_id)
        self.live.pop(job_id, None)
        self.queue.remove(job_id)

    def _leave(self, job_id: str) -> None:
        # What ran since the last round is charged in the next one.
        live = self.running.pop(job_id, None)
        if live is not None:
            self.left.append(live)

    def units(self) -> Counter:
        """Return the running units of each team."""
        counts: Counter = Counter()
        for live in self.running.values():
            counts[live.job.team] += live.job.units
        return counts

    def need_of(self, job: Job, run_part: float = 0.5) -> Usage:
        """Return what each member of a job's gang is thought to use."""
        return self.estimator.estimate(job.team, job.spec, run_part)

    def remaining_s(self, job: Job, now_s: float, run_part: float = 0.5) -> float:
        """Return the estimated seconds until a job ends, once it runs.

        Args:
            job: A waiting or running job.
            now_s: Seconds since the epoch.
            run_part: Part of the jobs that must end within the time.
        """
        left = self.need_of(job, run_part).run_s * (1 - job.progress)
        if job.state is JobState.RUNNING:
            left -= now_s - job.started_s
        return max(0.0, left)

    def stuck(self, config: Configuration) -> list[tuple[Job, str]]:
        """Return the waiting jobs that can never run, with what is lacking."""
        answers: dict[tuple, str] = {}
        found = []
        for job in self.queue.jobs():
            spec = job.spec
            key = (spec.work_class, spec.accelerators, spec.gang)
            if key not in answers:
                work_class = config.classes.get(spec.work_class)
                answers[key] = (
                    lacking(spec, work_class.pool, config)
                    if work_class is not None
                    else f"class {spec.work_class!r} does not exist"
                )
            if answers[key]:
                found.append((job, answers[key]))
        return found
