"""Messages into and out of the scheduler."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ...state.resources import NO_RESOURCES, Resources
from ...state.work import JobStatus, Progress


class TaskName(NamedTuple):
    """Name of a task; all its runs share it.

    Attributes:
        job_id: Job that the task belongs to.
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task within the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


class Ending(Enum):
    """How a run ended.

    ``LAPSED``: the lease expired. ``BROKEN``: another member of the gang ended.
    ``ALONE``: the other members of the gang did not start. ``LOST``: the worker
    incarnation has ended, or the run certainly never started.
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
    """Directory entry of a worker.

    Attributes:
        worker_id: Identifier of the worker.
        machine: Machine that the worker runs on; empty if unknown.
        pool: Pool that the worker is in.
        data_centre: Data centre that the worker is in.
        born_ms: Start time of this incarnation, milliseconds since the epoch.
        capacity: Resources that the worker offers.
        labels: Labels of the worker: its kind and its rack.
        draining: True if the worker takes no new runs.
        leaves_in_s: Minimum time until a draining worker leaves, seconds.
        warmup_left_s: Remaining time for which the worker is slow after its start,
            seconds.
    """

    worker_id: str
    machine: str
    pool: str
    data_centre: str
    born_ms: int
    capacity: Resources = NO_RESOURCES
    labels: frozenset[str] = frozenset()
    draining: bool = False
    leaves_in_s: float = 0.0
    warmup_left_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as alive.

    Attributes:
        task: Task of the run.
        number: Run number.
        checkpoint: Last saved checkpoint.
        percent: Share of its speed at which the run works; 100 at full speed.
        measurement: For a serving task, the response tail in milliseconds; otherwise
            the CPU in use, in thousandths of a core.
    """

    task: TaskName
    number: int
    checkpoint: str
    percent: float
    measurement: float


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """A run that a worker lists as ended.

    Attributes:
        sequence: Sequence number of the end in this worker incarnation.
        task: Task of the run.
        number: Run number.
        ending: How the run ended.
        checkpoint: Last saved checkpoint.
    """

    sequence: int
    task: TaskName
    number: int
    ending: Ending
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's answer to a lease renewal.

    Attributes:
        born_ms: Start time of the worker incarnation that answered, milliseconds
            since the epoch; 0 if the answer does not include it.
        clock_ms: Reading of the worker's clock, milliseconds.
        runs: Runs that are alive.
        ends: Runs that have ended and whose end is not acknowledged.
        complete: False if there are more ends than one answer holds.
    """

    born_ms: int
    clock_ms: float
    runs: tuple[ListedRun, ...] = ()
    ends: tuple[ListedEnd, ...] = ()
    complete: bool = True


class StartResult(Enum):
    """Result of a start order.

    ``REFUSED``: the worker did not start the run and never will. ``NO_ROOM``: the
    same, for lack of free capacity. ``UNWELL``: the worker did not start the run
    because it is unhealthy. ``NO_PERMIT``: the permit of the policy service is
    missing or has expired. ``UNKNOWN``: no answer; the run may still start.
    """

    STARTED = "started"
    REFUSED = "refused"
    NO_ROOM = "no room"
    UNWELL = "unwell"
    NO_PERMIT = "no permit"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Attributes:
        worker_id: Worker that is to start the run.
        task: Task to run.
        number: Run number.
        payload: What to run.
        checkpoint: Checkpoint to resume from; empty for none.
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
    """Order to stop a run.

    Attributes:
        worker_id: Worker that the run may be on.
        task: Task of the run.
        number: Run number.
    """

    worker_id: str
    task: TaskName
    number: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to throttle a run to a share of its speed.

    Attributes:
        worker_id: Worker that the run is on.
        task: Task of the run.
        number: Run number.
        percent: Share of its full speed, 0 to 100.
    """

    worker_id: str
    task: TaskName
    number: int
    percent: int


Order = StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class JobWrite:
    """Progress of a job to store.

    Attributes:
        job_id: Identifier of the job.
        version: Version of the job; increases with each change.
        progress: Progress to store.
        status: New status for callers; None if it does not change.
    """

    job_id: str
    version: int
    progress: Progress
    status: JobStatus | None
