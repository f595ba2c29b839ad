"""Long jobs as they are recorded in the store."""

import hashlib
from dataclasses import dataclass
from enum import Enum

JOBS_PREFIX = "jobs/"
ENDED_PREFIX = "ended-jobs/"
JOB_ID_CHARS = 32


class JobState(Enum):
    """Where a job is in its life."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset([JobState.DONE, JobState.FAILED, JobState.CANCELLED])


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a submitter asks for; sizes and times are hints.

    Attributes:
        work_class: Class of work.
        command: Opaque text that the worker understands.
        cpus: Processors for each member of the gang.
        memory_mb: Memory in mebibytes for each member.
        accelerators: Accelerator devices for each member.
        run_s: Expected seconds of run time.
        gang: Workers that run the job together, all or none.
        checkpoints: True if a task can save its work and go on elsewhere.
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
    """What a job used, each member of its gang alike.

    Attributes:
        cpus: Processors.
        memory_mb: Memory in mebibytes.
        accelerators: Accelerator devices.
        run_s: Seconds of run time.
    """

    cpus: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Job:
    """A recorded job.

    Attributes:
        job_id: Unique id.
        team: Team that submitted it, empty for open work.
        spec: What was asked for.
        submitted_s: Seconds since the epoch.
        state: Where it is in its life.
        attempt: Number of starts so far; fences earlier attempts.
        workers: Workers of the current attempt.
        detail: Why it is in this state.
        progress: Part of the work that is saved, 0 to 1.
        failed_on: Worker of each failure, in order.
        cancel: True if it is to be cancelled.
        started_s: Start of the current attempt, seconds since the epoch.
        ended_s: End, seconds since the epoch, 0 if it has not ended.
        used: What it used, as far as known.
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

    @property
    def ended(self) -> bool:
        """True if nothing more will happen to the job."""
        return self.state in ENDED_STATES

    @property
    def units(self) -> int:
        """Units that the job counts against its team's limit while it runs."""
        return self.spec.gang if self.state is JobState.RUNNING else 0


def job_id_of(team: str, key: str) -> str:
    """Return the job id that belongs to a team's Idempotency-Key."""
    digest = hashlib.sha256(f"{len(team)}:{team}{key}".encode()).hexdigest()
    return digest[:JOB_ID_CHARS]
