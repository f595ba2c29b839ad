"""Client for the task control of workers."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind
from heatherhatch_core.state.jobs import JobSpec

from ..settings import Address
from .http import ExchangeError, HttpClient, HttpRequest

WORKER_CONNECTIONS = 2
WORKER_TIMEOUT_S = 1.0


class TaskState(Enum):
    """State of a task on its worker."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Reading:
    """A reading of a worker's monotonic clock.

    Attributes:
        boot: Incarnation of the worker's task control, to which the clock belongs.
        clock_s: Time of the worker's clock, monotonic seconds.
    """

    boot: str
    clock_s: float

    def plus(self, seconds: float) -> "Reading":
        """Return the reading that many seconds later."""
        return Reading(self.boot, self.clock_s + seconds)


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """An order to run a task under a lease.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the attempt; a worker refuses a lower one than it knows.
        spec: Specification of the job.
        until: Expiry of the lease by the worker's own clock. A worker refuses an
            order whose lease has expired or that names another incarnation, so
            that a delayed order starts nothing.
        progress: Fraction of the work that earlier attempts saved, 0 to 1.
    """

    job_id: str
    attempt: int
    spec: JobSpec
    until: Reading
    progress: float = 0.0


@dataclass(frozen=True, slots=True)
class Renewal:
    """Renewal of the lease of one task.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the attempt.
        until_s: New expiry of the lease by the worker's clock, monotonic seconds;
            an earlier one than the current expiry has no effect.
    """

    job_id: str
    attempt: int
    until_s: float


@dataclass(frozen=True, slots=True)
class WorkerSync:
    """Lease renewals for the tasks of one worker, in one message.

    Attributes:
        boot: Incarnation whose clock the times refer to, empty if none is known.
        renewals: Tasks whose leases to renew and whose reports to return.
    """

    boot: str = ""
    renewals: tuple[Renewal, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A worker's report on one task; the resource usage lags.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the attempt.
        state: State of the task.
        cpus: Processors in use recently, 0 if not known yet.
        memory_mb: Memory in use recently, in mebibytes, 0 if not known yet.
        progress: Fraction of the work that is done and saved, 0 to 1.
        detail: Reason of a failure, otherwise empty.
        run_s: Run time in seconds.
    """

    job_id: str
    attempt: int
    state: TaskState
    cpus: float = 0.0
    memory_mb: float = 0.0
    progress: float = 0.0
    detail: str = ""
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """The response to a sync.

    Attributes:
        reading: Reading of the worker's clock.
        tasks: One report for each task of the sync.
    """

    reading: Reading
    tasks: tuple[TaskReport, ...] = ()


class WorkerControl(Protocol):
    """Interface to the task control of workers.

    Methods take the address of a task control, and raise `ExchangeError` if there is
    no complete response.
    """

    def sync(self, control: str, message: WorkerSync) -> WorkerReport:
        """Renew leases; return the worker's clock and the tasks' reports."""

    def start(self, control: str, order: TaskOrder) -> TaskReport:
        """Start a task; return the report if this attempt was started before."""

    def checkpoint(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Save a task's work to a checkpoint and stop the task."""

    def throttle(self, control: str, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a fraction of its processors, 0 to 1."""

    def stop(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Stop a task; the worker refuses this and lower attempts from now on."""


class HttpWorkerControl:
    """Task control of workers by JSON over HTTP."""

    def __init__(self):
        self.clients: dict[str, HttpClient] = {}

    def sync(self, control: str, message: WorkerSync) -> WorkerReport:
        """Renew leases; return the worker's clock and the tasks' reports."""
        return self._call(control, "/sync", encode_json(message), WorkerReport)

    def start(self, control: str, order: TaskOrder) -> TaskReport:
        """Start a task; return the report if this attempt was started before."""
        path = f"/tasks/{order.job_id}"
        return self._call(control, path, encode_json(order), TaskReport)

    def checkpoint(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Save a task's work to a checkpoint and stop the task."""
        return self._call_action(control, job_id, attempt, "checkpoint")

    def throttle(self, control: str, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a fraction of its processors, 0 to 1."""
        self._call_action(control, job_id, attempt, f"throttle?share={share}")

    def stop(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Stop a task; the worker refuses this and lower attempts from now on."""
        return self._call_action(control, job_id, attempt, "stop")

    def _call_action(self, control, job_id, attempt, action):
        path = f"/tasks/{job_id}/{attempt}/{action}"
        return self._call(control, path, b"", TaskReport)

    def _call(self, control, path, body, kind):
        if control not in self.clients:
            address = Address.parse(control)
            client = HttpClient(address, WORKER_CONNECTIONS, WORKER_TIMEOUT_S)
            self.clients[control] = client
        request = HttpRequest("POST", path, body)
        answer = self.clients[control].exchange(request, WORKER_TIMEOUT_S)
        if answer.status != 200:
            detail = f"the worker responded with status {answer.status}"
            raise ExchangeError(ErrorKind.BACKEND_FAILED, detail, True)
        return decode_json(answer.body, kind)
