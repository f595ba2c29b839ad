"""Long jobs as they are recorded in the store."""

import hashlib
from dataclasses import dataclass
from enum import Enum

JOBS_PREFIX = "jobs/"
ENDED_PREFIX = "ended-jobs/"
JOB_ID_CHARS = 32


class JobState(Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset([JobState.DONE, JobState.FAILED, JobState.CANCELLED])


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job; resource amounts and run time are hints.

    Attributes:
        work_class: Class of work.
        command: Text that the worker interprets; opaque to the scheduler.
        cpus: Processors for each member of the gang.
        memory_mb: Memory for each member of the gang, mebibytes.
        accelerators: Accelerator devices for each member of the gang.
        run_s: Expected run time, seconds.
        gang: Number of workers that run the job together, all or none.
        checkpoints: True if a task can save a checkpoint and resume on another
            worker.
    """

    work_class: str
    command: str
    cpus: int = 1
    memory_mb: int = 1024
    accelerators: int = 0
    run_s: float = 60.0
    gang: int = 1
    checkpoints: bool = True


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a job used, for each member of its gang.

    Attributes:
        cpus: Processors.
        memory_mb: Memory, mebibytes.
        accelerators: Accelerator devices.
        run_s: Run time, seconds.
    """

    cpus: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that ended without a report from its worker.

    Attributes:
        worker_id: The worker.
        boot: Incarnation of the worker's task control that ran the attempt.
        alone: True if the worker ran no other job at the time.
    """

    worker_id: str
    boot: str
    alone: bool


@dataclass(frozen=True, slots=True)
class Job:
    """A job as recorded in the store.

    Attributes:
        job_id: Unique id.
        team: Team that submitted it; empty for work accepted without a team key.
        spec: Specification by the submitter.
        submitted_s: Time of submission, seconds since the epoch.
        state: State of the job.
        attempt: Number of starts so far; serves as the fencing token against
            earlier attempts.
        workers: Workers of the current attempt.
        detail: Reason for the current state.
        progress: Fraction of the work saved in checkpoints, 0 to 1.
        failed_on: Worker of each failure, in order.
        cancel: True if cancellation was requested.
        started_s: Start of the current attempt, seconds since the epoch.
        ended_s: End of the job, seconds since the epoch; 0 if it has not ended.
        used: Resources that it used, as far as known.
        boots: Incarnations of the task control of those workers; empty if unknown.
        losses: Attempts that were lost with a worker of which it is not known whether
            it crashed.
        crashed_on: Worker of each attempt that ended with a crash of its worker.
        sole_crashes: Number of these workers that ran no other job.
    """

    job_id: str
    team: str
    spec: JobSpec
    submitted_s: float
    state: JobState = JobState.QUEUED
    attempt: int = 0
    workers: tuple[str, ...] = ()
    detail: str = ""
    progress: float = 0.0
    failed_on: tuple[str, ...] = ()
    cancel: bool = False
    started_s: float = 0.0
    ended_s: float = 0.0
    used: Usage = Usage()
    boots: tuple[str, ...] = ()
    losses: tuple[Loss, ...] = ()
    crashed_on: tuple[str, ...] = ()
    sole_crashes: int = 0

    @property
    def is_suspect(self) -> bool:
        """True if the job may have crashed a worker."""
        return bool(self.crashed_on)

    @property
    def ended(self) -> bool:
        """True if the job is in a final state."""
        return self.state in ENDED_STATES

    @property
    def units(self) -> int:
        """Units that count against the team's limit; 0 unless the job runs."""
        return self.spec.gang if self.state is JobState.RUNNING else 0


def job_id_of(team: str, key: str) -> str:
    """Return the job id derived from a team and its Idempotency-Key."""
    digest = hashlib.sha256(f"{len(team)}:{team}{key}".encode()).hexdigest()
    return digest[:JOB_ID_CHARS]
