"""Control of tasks on workers: start, renew, checkpoint, throttle, stop."""

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
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """An order to run a task under a lease.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the start; a worker refuses a lower one.
        spec: What to run.
        lease_s: Seconds after which an unrenewed task stops itself.
    """

    job_id: str
    attempt: int
    spec: JobSpec
    lease_s: float


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker says of a task; usage lags.

    Attributes:
        job_id: Job that the task belongs to.
        attempt: Number of the start.
        state: Where it is.
        cpus: Processors in use lately.
        memory_mb: Memory in use lately, mebibytes.
        progress: Part of the work that is done, 0 to 1.
        detail: Why it failed, or empty.
    """

    job_id: str
    attempt: int
    state: TaskState
    cpus: float = 0.0
    memory_mb: float = 0.0
    progress: float = 0.0
    detail: str = ""


class WorkerControl(Protocol):
    """What the system needs of a worker; methods raise `ExchangeError`."""

    def start(self, control: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return the report of the same attempt."""

    def renew(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Renew a task's lease."""

    def checkpoint(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Save a task's work and stop it."""

    def throttle(self, control: str, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a part of its processors, 0 to 1."""

    def stop(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Stop a task."""


class HttpWorkerControl:
    """Workers that are controlled by HTTP and JSON."""

    def __init__(self):
        self.clients: dict[str, HttpClient] = {}

    def start(self, control: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return the report of the same attempt."""
        return self._call(control, f"/tasks/{order.job_id}", encode_json(order))

    def renew(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Renew a task's lease."""
        return self._call(control, f"/tasks/{job_id}/{attempt}/renew")

    def checkpoint(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Save a task's work and stop it."""
        return self._call(control, f"/tasks/{job_id}/{attempt}/checkpoint")

    def throttle(self, control: str, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a part of its processors, 0 to 1."""
        self._call(control, f"/tasks/{job_id}/{attempt}/throttle?share={share}")

    def stop(self, control: str, job_id: str, attempt: int) -> TaskReport:
        """Stop a task."""
        return self._call(control, f"/tasks/{job_id}/{attempt}/stop")

    def _call(self, control, path, body=b""):
        if control not in self.clients:
            address = Address.parse(control)
            client = HttpClient(address, WORKER_CONNECTIONS, WORKER_TIMEOUT_S)
            self.clients[control] = client
        request = HttpRequest("POST", path, body)
        answer = self.clients[control].exchange(request, WORKER_TIMEOUT_S)
        if answer.status != 200:
            detail = f"worker said {answer.status}"
            raise ExchangeError(ErrorKind.BACKEND_FAILED, detail, True)
        return decode_json(answer.body, TaskReport)
