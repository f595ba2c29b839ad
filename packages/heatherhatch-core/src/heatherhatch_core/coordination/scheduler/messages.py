"""What goes into the scheduler and what comes out."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ...state.resources import NOTHING, Resources
from ...state.work import JobStatus, Progress


class TaskName(NamedTuple):
    """Name of one task; the same over all its runs.

    Attributes:
        job_id: Job that it belongs to.
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number within the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


class Ending(Enum):
    """How a run ended.

    ``LAPSED``: its lease ran out. ``BROKEN``: another member of its gang ended.
    ``ALONE``: the other members did not come. ``LOST``: the worker's life is
    over, or it surely never began.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """What a worker says of itself in the directory.

    Attributes:
        worker_id: Its identifier.
        machine: Machine that it is a life of; empty if it is not known.
        pool: Pool that it is in.
        data_centre: Where it is.
        born_ms: Start of this life, milliseconds since the epoch.
        capacity: What it offers.
        labels: Its kind and its rack.
        draining: True if it takes nothing new.
        leaves_s: Least time until a draining worker leaves, seconds.
        cold_s: How much longer it is slow after its start, seconds.
    """

    worker_id: str
    machine: str
    pool: str
    data_centre: str
    born_ms: int
    capacity: Resources = NOTHING
    labels: frozenset[str] = frozenset()
    draining: bool = False
    leaves_s: float = 0.0
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as alive.

    Attributes:
        task: Its task.
        number: Its run number.
        checkpoint: Last saved progress.
        percent: Share at which it works; 100 when it is fully at work.
        figure: Response tail in milliseconds of a task that serves, else
            thousandths of a core in use.
    """

    task: TaskName
    number: int
    checkpoint: str
    percent: float
    figure: float


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """A run that a worker lists as ended.

    Attributes:
        sequence: Number of the end in this life of the worker.
        task: Its task.
        number: Its run number.
        ending: How it ended.
        checkpoint: Last saved progress.
    """

    sequence: int
    task: TaskName
    number: int
    ending: Ending
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's answer to a renewal.

    Attributes:
        born_ms: Start of the life that answered; 0 if it didn't say.
        clock_ms: The worker's clock.
        runs: What runs.
        ends: What has ended and was not acknowledged.
        whole: False if more ends follow than one answer holds.
    """

    born_ms: int
    clock_ms: float
    runs: tuple[ListedRun, ...] = ()
    ends: tuple[ListedEnd, ...] = ()
    whole: bool = True


class StartResult(Enum):
    """A worker's answer to a start.

    ``REFUSED``: it did nothing, and never will for this run. ``NO_ROOM``: the
    same, for want of room. ``UNWELL``: it did nothing and is not well.
    ``NO_PERMIT``: the permit of the policy service is missing or over.
    ``UNKNOWN``: no answer; it may begin later.
    """

    STARTED = "started"
    REFUSED = "refused"
    NO_ROOM = "no room"
    UNWELL = "unwell"
    NO_PERMIT = "no permit"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Begin a run.

    Attributes:
        worker_id: Worker that shall begin it.
        task: Task to run.
        number: Run number.
        payload: What to run.
        checkpoint: Progress to resume from; empty for none.
        permit: Permit of the policy service; empty for none.
    """

    worker_id: str
    task: TaskName
    number: int
    payload: str
    checkpoint: str = ""
    permit: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """End a run.

    Attributes:
        worker_id: Worker that it may be on.
        task: Its task.
        number: Its run number.
    """

    worker_id: str
    task: TaskName
    number: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at a share of its speed.

    Attributes:
        worker_id: Worker that it is on.
        task: Its task.
        number: Its run number.
        percent: The share, 0 to 100.
    """

    worker_id: str
    task: TaskName
    number: int
    percent: int


Order = StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A job's progress that has to be stored.

    Attributes:
        job_id: The job.
        version: Rises with each change of the job.
        progress: What to store.
        status: What callers shall see, if that changes; None if it does not.
    """

    job_id: str
    version: int
    progress: Progress
    status: JobStatus | None
