"""Long jobs as they are recorded in the store."""

from dataclasses import dataclass
from enum import Enum


class JobState(Enum):
    """Where a job is in its life."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a submitter asks for; sizes and times are hints.

    Attributes:
        work_class: Class of work.
        command: Opaque text that the worker understands.
        cpus: Processors.
        memory_mb: Memory in mebibytes.
        accelerators: Accelerator devices.
        run_s: Expected seconds of run time.
    """

    work_class: str
    command: str
    cpus: int = 1
    memory_mb: int = 1024
    accelerators: int = 0
    run_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Job:
    """A recorded job.

    Attributes:
        job_id: Unique id.
        team: Team that submitted it.
        spec: What was asked for.
        submitted_s: Seconds since the epoch.
        state: Where it is in its life.
        attempt: Number of starts so far; fences earlier attempts.
        worker: Worker of the current attempt, empty if none.
        detail: Why it is in this state.
    """

    job_id: str
    team: str
    spec: JobSpec
    submitted_s: float
    state: JobState = JobState.QUEUED
    attempt: int = 0
    worker: str = ""
    detail: str = ""
