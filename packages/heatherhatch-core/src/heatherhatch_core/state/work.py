"""Jobs of steps and tasks, and what the store keeps of them."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from .resources import NOTHING, Resources


class Phase(Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """True if the job can't change any more."""
        return self not in (Phase.QUEUED, Phase.RUNNING)


@dataclass(frozen=True, slots=True)
class Step:
    """A number of tasks that are alike.

    Attributes:
        count: Number of tasks.
        need: What one task occupies on its worker.
        estimate_s: Rough duration of a task, seconds.
        after: Numbers of the steps that must be done first.
        checkpoints: True if a task saves its progress.
        gang: True if the tasks work only all together.
        same_rack: True if the tasks are slower on more than one rack.
        label: Label that the worker must have; empty for any.
        rack: Rack that holds the data; empty for none.
        spread: Most tasks of one occurrence on one worker; 0 for no bound.
        speculative: True if copies of a task may run side by side.
        lasting: True if the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        tail_target_ms: Bound on the response tail of a serving task; 0 for none.
        fills: True if the tasks use only processor time that others leave.
        may_miss: Tasks that the system may take away at the same time; 0 for
            no bound.
    """

    count: int = 1
    need: Resources = NOTHING
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    spread: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def occupies(self) -> Resources:
        """What one task takes of its worker's capacity."""
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


@dataclass(frozen=True, slots=True)
class Schedule:
    """When a job's steps run.

    Attributes:
        first_s: Due time of the first occurrence, seconds since the epoch.
        interval_s: Seconds between two occurrences.
        count: Number of occurrences; 0 if the steps run once, at once.
    """

    first_s: float = 0.0
    interval_s: float = 0.0
    count: int = 0


@dataclass(frozen=True, slots=True)
class Terms:
    """What the queue promised when a job was accepted.

    They stay with the job, whatever becomes of its queue.

    Attributes:
        attempts: Failed runs after which a task fails its job.
        priority: 0 goes first.
        stretch: Objective, in lengths of the longest chain of work.
        target_s: Time that the objective adds to the chain, seconds.
    """

    attempts: int = 1
    priority: int = 0
    stretch: float = 1.0
    target_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted; never changes.

    Attributes:
        job_id: Identifier that the caller chose.
        queue: Name of its queue.
        pool: Pool that runs it.
        team: Team that it belongs to; empty on a public queue.
        payload: What the workers are told to run.
        steps: Its steps.
        schedule: When they run.
        accepted_s: When it was accepted, seconds since the epoch.
        terms: What its queue promised.
    """

    job_id: str
    queue: str
    pool: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()
    accepted_s: float = 0.0
    terms: Terms = Terms()


class JobStatus(msgspec.Struct, frozen=True):
    """What callers see of a job.

    Attributes:
        phase: Where it stands.
        pool: Pool that runs it.
        queue: Its queue.
        team: Its team.
        ended_s: When it ended, seconds since the epoch; 0 before.
    """

    phase: Phase
    pool: str
    queue: str
    team: str = ""
    ended_s: float = 0.0


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task that may be alive.

    Attributes:
        number: Rises with each start of the task.
        worker_id: Worker that it was placed on.
        born_ms: Start of that worker's life, milliseconds since the epoch.
    """

    number: int
    worker_id: str
    born_ms: int


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one task.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number within the step.
        last_run: Highest run number that was used.
        failures: Runs that ended as failed.
        done: True once a run has ended well.
        checkpoint: Last saved progress; empty for none.
        runs: Runs that may be alive.
    """

    occurrence: int
    step: int
    index: int
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple[RunRecord, ...]


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job: one record of the store.

    Attributes:
        tasks: Tasks that have begun, of occurrences that are not done.
        occurrences_done: Occurrences whose tasks are all done.
    """

    tasks: tuple[TaskRecord, ...] = ()
    occurrences_done: tuple[int, ...] = ()
