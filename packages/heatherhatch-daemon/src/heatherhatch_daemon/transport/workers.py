"""Control of tasks on workers: sync, start, checkpoint, throttle, stop."""

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
    """Where a task is on its worker."""

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
        boot: Id of this start of the worker's task control.
        clock_s: Monotonic seconds there.
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
        attempt: Number of the start; a worker refuses a lower one.
        spec: What to run.
        until: End of the lease by the worker's own clock. A worker refuses an
            order whose end is past or that names another boot, so that a late
            order starts nothing.
        progress: Part of the work that was saved by earlier attempts, 0 to 1.
    """

    job_id: str
    attempt: int
    spec: JobSpec
    until: Reading
    progress: float = 0.0


@dataclass(frozen=True, slots=True)
class Renewal:
    """A task whose lease is to be prolonged.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the start.
        until_s: End of the lease by the worker's clock; never shortens it.
    """

    job_id: str
    attempt: int
    until_s: float


@dataclass(frozen=True, slots=True)
class WorkerSync:
    """Renewals for the tasks of one worker, in one message.

    Attributes:
        boot: Boot that the times refer to, empty if none is known.
        renewals: Tasks to renew and to report on.
    """

    boot: str = ""
    renewals: tuple[Renewal, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker says of a task; usage lags.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the start.
        state: Where it is.
        cpus: Processors in use lately, 0 if not known yet.
        memory_mb: Memory in use lately, mebibytes, 0 if not known yet.
        progress: Part of the work that is done and saved, 0 to 1.
        detail: Why it failed, or empty.
        run_s: Seconds that it ran.
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
    """The answer to a sync.

    Attributes:
        reading: The worker's clock.
        tasks: A report for each task that was asked for.
    """

    reading: Reading
    tasks: tuple[TaskReport, ...] = ()


class WorkerControl(Protocol):
    """What the system needs of a worker; methods raise `ExchangeError`."""

    def sync(self, control: str, message: WorkerSync) -> WorkerReport:
        """Renew tasks, read the worker's clock and get reports."""

    def start(self, control: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return the report of the same attempt."""

    def checkpoint(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Save a task's work and stop it."""

    def throttle(self, control: str, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a part of its processors, 0 to 1."""

    def stop(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Stop a task and refuse its attempt, and lower ones, from now on."""


class HttpWorkerControl:
    """Workers that are controlled by HTTP and JSON."""

    def __init__(self):
        self.clients: dict[str, HttpClient] = {}

    def sync(self, control: str, message: WorkerSync) -> WorkerReport:
        """Renew tasks, read the worker's clock and get reports."""
        return self._call(control, "/sync", encode_json(message), WorkerReport)

    def start(self, control: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return the report of the same attempt."""
        path = f"/tasks/{order.job_id}"
        return self._call(control, path, encode_json(order), TaskReport)

    def checkpoint(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Save a task's work and stop it."""
        return self._act(control, job_id, attempt, "checkpoint")

    def throttle(self, control: str, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a part of its processors, 0 to 1."""
        self._act(control, job_id, attempt, f"throttle?share={share}")

    def stop(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Stop a task and refuse its attempt, and lower ones, from now on."""
        return self._act(control, job_id, attempt, "stop")

    def _act(self, control, job_id, attempt, action):
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
            detail = f"worker said {answer.status}"
            raise ExchangeError(ErrorKind.BACKEND_FAILED, detail, True)
        return decode_json(answer.body, kind)
