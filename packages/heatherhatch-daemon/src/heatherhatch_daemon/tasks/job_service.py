"""Operations on long jobs for submitters and operators."""

import uuid
from collections.abc import Callable

from heatherhatch_core.api import JobFilter, JobPage
from heatherhatch_core.coordination.placement import unplaceable_reason
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.entities import WorkClass, WorkKind
from heatherhatch_core.state.jobs import (
    ENDED_PREFIX,
    ENDED_STATES,
    JOBS_PREFIX,
    Job,
    JobSpec,
    job_id_of,
)

from ..transport.store import Entry
from .gateway import Gateway
from .job_records import GroupCommit, JobRecords, job_of, live_key

MAX_RUN_S = 30 * 86_400.0
MAX_GANG_WORKERS = 256
MAX_SINGLE_READS = 20


class JobService:
    """Submits, shows, lists and cancels jobs; runs on every node.

    Args:
        records: Job records in the store.
        commits: Group commit of submissions.
        gateway: Checks classes of work and team keys.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        records: JobRecords,
        commits: GroupCommit,
        gateway: Gateway,
        wall_clock: Callable[[], float],
    ):
        self.records = records
        self.commits = commits
        self.gateway = gateway
        self.wall_clock = wall_clock

    def submit(self, token: str, spec: JobSpec, key: str = "") -> Job:
        """Record a job and return it once the store has recorded it.

        Args:
            token: Key of the team.
            spec: Command and needs of the job.
            key: Idempotency-Key; a resend with the same key returns the same job.

        Raises:
            HeatherhatchError: ``KEY_REQUIRED`` if the class is not idempotent
                and there is no key, ``BAD_REQUEST`` if the job can never run.
        """
        work_class = self.gateway.class_of(spec.work_class, WorkKind.JOB)
        team = self.gateway.authenticate(token, work_class)
        if not key and not work_class.idempotent:
            raise HeatherhatchError(ErrorKind.KEY_REQUIRED)
        self._check_spec(spec, work_class)
        job_id = job_id_of(team, key) if key else uuid.uuid4().hex
        return self.commits.submit(Job(job_id, team, spec, self.wall_clock()))

    def show(self, token: str, job_id: str) -> Job:
        """Return a job of the team that a key belongs to.

        Raises:
            HeatherhatchError: ``NOT_FOUND``, also for jobs of other teams.
        """
        entry = self.records.find(job_id)
        job = job_of(entry) if entry is not None else None
        if job is None or not self._owns(token, job):
            raise HeatherhatchError(ErrorKind.NOT_FOUND, f"job {job_id!r}")
        return job

    def list_jobs(self, job_filter: JobFilter) -> JobPage:
        """Return a page of matching jobs, live ones first, in order of their keys."""
        found: dict[str, Job] = {}
        for entry in self._entries(job_filter):
            job = job_of(entry)
            if job_filter.matches(job):
                found[job.job_id] = job
            if len(found) >= job_filter.limit:
                return JobPage(tuple(found.values()), entry.key)
        return JobPage(tuple(found.values()))

    def cancel(self, token: str, job_ids: tuple[str, ...]) -> int:
        """Cancel jobs of the team that a key belongs to; return how many were live."""
        entries = self._live_entries(frozenset(job_ids))
        owned = [entry for entry in entries if self._owns(token, job_of(entry))]
        return self.records.cancel(owned, self.wall_clock())

    def cancel_matching(self, job_filter: JobFilter) -> int:
        """Cancel every live job that matches; return how many were cancelled."""
        count = 0
        for page in self.records.pages(JOBS_PREFIX):
            matching = [entry for entry in page if job_filter.matches(job_of(entry))]
            count += self.records.cancel(matching, self.wall_clock())
        return count

    def _entries(self, job_filter: JobFilter):
        live = job_filter.state not in ENDED_STATES
        ended = job_filter.state is None or job_filter.state in ENDED_STATES
        after = job_filter.after
        if live and not after.startswith(ENDED_PREFIX):
            for page in self.records.pages(JOBS_PREFIX, after):
                yield from page
            after = ""
        if ended:
            after = after if after.startswith(ENDED_PREFIX) else ""
            for page in self.records.pages(ENDED_PREFIX, after):
                yield from page

    def _live_entries(self, job_ids: frozenset[str]) -> list[Entry]:
        if len(job_ids) <= MAX_SINGLE_READS:
            found = [self.records.store.get(live_key(job_id)) for job_id in job_ids]
            return [entry for entry in found if entry is not None]
        keys = {live_key(job_id) for job_id in job_ids}
        pages = self.records.pages(JOBS_PREFIX)
        return [entry for page in pages for entry in page if entry.key in keys]

    def _owns(self, token: str, job: Job) -> bool:
        work_class = self.gateway.follower.config.classes.get(job.spec.work_class)
        if work_class is None:
            return False
        return self.gateway.authenticate(token, work_class) == job.team

    def _check_spec(self, spec: JobSpec, work_class: WorkClass) -> None:
        problems = []
        if not 1 <= spec.gang <= MAX_GANG_WORKERS:
            problems.append(f"gang must be 1 to {MAX_GANG_WORKERS}")
        if not 0 < spec.run_s <= MAX_RUN_S:
            problems.append(f"run_s must be above 0 and at most {MAX_RUN_S:.0f}")
        if min(spec.cpus, spec.memory_mb, spec.accelerators) < 0:
            problems.append("cpus, memory_mb and accelerators must not be negative")
        unplaceable = unplaceable_reason(
            spec, work_class.pool, self.gateway.follower.config
        )
        if unplaceable:
            problems.append(f"the job can never run: {unplaceable}")
        if problems:
            raise HeatherhatchError(ErrorKind.BAD_REQUEST, "; ".join(problems))
