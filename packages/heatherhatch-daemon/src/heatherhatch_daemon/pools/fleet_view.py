"""Reads the records of roles, pools and jobs for operators."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.work import JobStatus, Progress

from ..transport.store import Entry, PolledStore
from .fleet_records import PoolReport
from .job_location import JobLocation, find_status, locate
from .keys import CLAIM_PREFIX, REPORT_PREFIX, run_key
from .ports import OperatorRecords


@dataclass(frozen=True, slots=True)
class RoleRow:
    """A role and the instance that holds it.

    Attributes:
        role: Name of the role.
        holder: Name and incarnation of the holder.
        token: Fencing token of the holder.
    """

    role: str
    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class PoolRow:
    """The last report of a pool's holder.

    Attributes:
        pool: Name of the pool.
        age_s: Age of the report by this machine's clock, seconds.
        waiting: Number of jobs that have not started.
        needed_cores: Cores that the pool's work would use.
        machines: Number of machines.
        busy: Number of machines with runs.
        lasting: Number of tasks that run until their job is cancelled.
        backlog: Work that waits, core-seconds.
        problem: Why the report cannot be read; empty if it can.
        disabled: Names of the feature gates that are disabled on the holder.
    """

    pool: str
    age_s: float = 0.0
    waiting: int = 0
    needed_cores: float = 0.0
    machines: int = 0
    busy: int = 0
    lasting: int = 0
    backlog: float = 0.0
    problem: str = ""
    disabled: str = ""


@dataclass(frozen=True, slots=True)
class JobRow:
    """The status of a job as callers see it.

    Attributes:
        queue: Name of the queue.
        job: Identifier of the job.
        phase: Phase of the job.
        pool: Pool that runs it.
        team: Team that submitted it.
        tasks_done: Number of tasks that have succeeded, of occurrences in progress.
        runs: Number of runs that may be in progress.
        reason: Why the job failed; empty if it has not.
    """

    queue: str
    job: str
    phase: str
    pool: str
    team: str
    tasks_done: int
    runs: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that may be in progress.

    Attributes:
        task: Occurrence, step and index of the task.
        run: Run number.
        worker: Worker that the run was placed on.
        failures: Number of failed runs of the task.
        crashes: Number of workers that crashed with a run of the task.
    """

    task: str
    run: int
    worker: str
    failures: int
    crashes: int


@dataclass(frozen=True, slots=True)
class JobDetails:
    """A job and its runs.

    Attributes:
        summary: The job.
        runs: Its runs that may be in progress.
    """

    summary: JobRow
    runs: tuple[RunRow, ...]


class FleetViewer:
    """Reads what the holders of roles have stored, and changes nothing.

    Args:
        store: The platform's store.
        records: The operators' records.
        wall_s: Returns seconds since the epoch.
    """

    def __init__(
        self, store: PolledStore, records: OperatorRecords, wall_s: Callable[[], float]
    ):
        self.store = store
        self.records = records
        self.wall_s = wall_s

    def roles(self) -> tuple[RoleRow, ...]:
        """Return the claimed roles.

        Raises:
            StoreError: If the store does not answer.
        """
        return tuple(
            RoleRow(
                entry.key.removeprefix(CLAIM_PREFIX),
                entry.value.decode(errors="replace"),
                entry.revision,
            )
            for entry in self.store.range(CLAIM_PREFIX).entries
        )

    def pools(self) -> tuple[PoolRow, ...]:
        """Return the pools that have reported.

        Raises:
            StoreError: If the store does not answer.
        """
        entries = self.store.range(REPORT_PREFIX).entries
        return tuple(self._pool(entry) for entry in entries)

    def job(self, queue: str, job_id: str) -> JobDetails:
        """Return a job and its runs.

        Args:
            queue: Name of the job's queue now, or when it was accepted.
            job_id: Identifier of the job.

        Raises:
            HeatherhatchError: ``NO_SUCH_JOB`` if the job is not known.
            StoreError: If the store does not answer.
        """
        found = find_status(self._locate(queue, job_id), self.store.get)
        if found is None or found.status.withdrawn:
            raise HeatherhatchError(
                ErrorKind.NO_SUCH_JOB, f'no job "{job_id}" of queue "{queue}"'
            )
        progress = Progress()
        entry = self.store.get(run_key(found.status.pool, job_id))
        if entry is not None and not found.status.phase.final:
            progress = decode_json(entry.value, Progress)
        runs = tuple(
            RunRow(
                f"{task.occurrence}.{task.step}.{task.index}",
                run.number,
                run.worker_id,
                task.failures,
                task.crashes,
            )
            for task in progress.tasks
            for run in task.runs
        )
        return JobDetails(_summary(job_id, found.status, progress, len(runs)), runs)

    def _locate(self, queue: str, job_id: str) -> JobLocation:
        entry = self.store.get(self.records.config_key)
        config = self.records.read_config(entry.value) if entry else None
        found = config.queue_named(queue) if config is not None else None
        if found is None:
            return JobLocation(job_id, "", queue)
        return locate(config, found, job_id)

    def _pool(self, entry: Entry) -> PoolRow:
        name = entry.key.removeprefix(REPORT_PREFIX)
        try:
            report = decode_json(entry.value, PoolReport)
        except HeatherhatchError as error:
            return PoolRow(name, problem=error.detail)
        return PoolRow(
            name,
            round(self.wall_s() - report.at_s, 1),
            sum(report.waiting.values()),
            report.needed_cpu_m / 1000,
            len(report.loads),
            sum(1 for load in report.loads if load.runs),
            sum(load.lasting for load in report.loads),
            round(report.backlog.waiting, 1),
            disabled=", ".join(report.disabled_gates),
        )


def _summary(job_id: str, status: JobStatus, progress: Progress, runs: int) -> JobRow:
    return JobRow(
        status.queue,
        job_id,
        status.phase.value,
        status.pool,
        status.team,
        sum(1 for task in progress.tasks if task.done),
        runs,
        status.reason,
    )
