"""The runner of long jobs: records, starts and follows them."""

import dataclasses
import uuid
from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.entities import Worker, WorkKind
from heatherhatch_core.state.jobs import Job, JobSpec, JobState

from ..transport.http import ExchangeError
from ..transport.store import Entry, Expect, Put, Store, Transaction
from ..transport.workers import TaskOrder, TaskState, WorkerControl
from .gateway import Gateway
from .task import Task

JOBS_PREFIX = "jobs/"
TASK_LEASE_S = 5.0


class JobRunner(Task):
    """Submits jobs to the store, starts queued ones and records their end.

    Args:
        store: The platform's store.
        gateway: Checks classes and keys.
        workers: Control of the workers.
        period_s: Seconds between two rounds.
        clock: Returns monotonic seconds.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        gateway: Gateway,
        workers: WorkerControl,
        period_s: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        super().__init__("job-runner", period_s, clock)
        self.store = store
        self.gateway = gateway
        self.workers = workers
        self.wall_clock = wall_clock

    def submit(self, token: str, spec: JobSpec) -> Job:
        """Record a job; it is not acknowledged before the store has it."""
        work_class = self.gateway.class_of(spec.work_class, WorkKind.JOB)
        team = self.gateway.authenticate(token, work_class)
        job = Job(uuid.uuid4().hex, team, spec, self.wall_clock())
        if not self._write(job, 0):
            raise HeatherhatchError(ErrorKind.CONFLICT, "job id in use")
        return job

    def list_jobs(self) -> tuple[Job, ...]:
        """Return all recorded jobs."""
        return tuple(_job_of(entry) for entry in self.store.range(JOBS_PREFIX).entries)

    def step(self) -> None:
        """Start queued jobs and look after running ones."""
        for entry in self.store.range(JOBS_PREFIX).entries:
            job = _job_of(entry)
            if job.state is JobState.QUEUED:
                self._start(job, entry.revision)
            elif job.state is JobState.RUNNING:
                self._follow(job, entry.revision)

    def _start(self, job: Job, revision: int) -> None:
        worker = self._worker_for(job)
        if worker is None:
            return
        started = dataclasses.replace(
            job,
            state=JobState.RUNNING,
            attempt=job.attempt + 1,
            worker=worker.worker_id,
        )
        if not self._write(started, revision):
            return
        order = TaskOrder(job.job_id, started.attempt, job.spec, TASK_LEASE_S)
        try:
            self.workers.start(worker.control, order)
        except ExchangeError:
            # The worker's own lease ends the attempt if it did begin.
            return

    def _follow(self, job: Job, revision: int) -> None:
        worker = self.gateway.follower.config.workers.get(job.worker)
        if worker is None:
            return
        try:
            report = self.workers.renew(worker.control, job.job_id, job.attempt)
        except ExchangeError:
            return
        ends = {TaskState.DONE: JobState.DONE, TaskState.FAILED: JobState.FAILED}
        if report.state in ends:
            ended = dataclasses.replace(
                job, state=ends[report.state], detail=report.detail
            )
            self._write(ended, revision)

    def _worker_for(self, job: Job) -> Worker | None:
        config = self.gateway.follower.config
        work_class = config.classes.get(job.spec.work_class)
        if work_class is None or not self.gateway.follower.has_standing():
            return None
        workers = config.serving_workers(work_class.pool)
        able = [worker for worker in workers if worker.control]
        return self.gateway.random.choice(able) if able else None

    def _write(self, job: Job, revision: int) -> bool:
        key = JOBS_PREFIX + job.job_id
        transaction = Transaction(
            (Expect(key, revision),), (Put(key, encode_json(job)),)
        )
        return self.store.transact(transaction).succeeded


def _job_of(entry: Entry) -> Job:
    return decode_json(entry.value, Job)
