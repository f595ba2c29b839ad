"""What operators state: pools, teams, keys, classes of work, workers, waves."""

from dataclasses import dataclass
from enum import Enum


class WorkKind(Enum):
    """How the work of a class is carried out."""

    REQUEST = "request"
    JOB = "job"


class Role(Enum):
    """What the holder of an operator key may do."""

    VIEWER = "viewer"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of workers that serves the same classes of work.

    Attributes:
        name: Unique name.
        min_available: Workers that must serve at every moment.
        spare: True if the pool lends its workers to the others.
    """

    name: str
    min_available: int
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A party that submits work.

    Attributes:
        name: Unique name.
        share: Weight of the team when the fleet is full, above zero.
        limit: Units of work that may run at once over the whole fleet.
    """

    name: str
    share: float
    limit: int


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A key that a team presents with its work.

    Attributes:
        key_id: Public part of the key, which names it.
        team: Team that the key belongs to.
        digest: SHA-256 of the secret, in hexadecimal.
    """

    key_id: str
    team: str
    digest: str


@dataclass(frozen=True, slots=True)
class OperatorKey:
    """A key that an operator presents with a change or a query.

    Attributes:
        key_id: Public part of the key, which names it.
        operator: Name for the audit trail.
        role: What the operator may do.
        digest: SHA-256 of the secret, in hexadecimal.
    """

    key_id: str
    operator: str
    role: Role
    digest: str


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its target.

    Attributes:
        name: Unique name.
        pool: Pool that serves the class.
        kind: Request or job.
        target_s: Seconds in which a request answers or a job finishes.
        on_time_share: Part of the work that must meet ``target_s``, 0 to 1.
        idempotent: True if executing the work twice does no harm.
        open: True if work is accepted without a team's key.
    """

    name: str
    pool: str
    kind: WorkKind
    target_s: float
    on_time_share: float = 0.99
    idempotent: bool = False
    open: bool = False


@dataclass(frozen=True, slots=True)
class Worker:
    """A machine with its resources and the backend server that runs on it.

    Attributes:
        worker_id: Unique name.
        failure_domain: Zone that fails and is maintained together.
        rack: Rack within the failure domain.
        address: ``host:port`` of the backend server.
        control: ``host:port`` of the worker's task control, or empty.
        home_pool: Pool that the worker joins first.
        cpus: Processors.
        memory_mb: Memory in mebibytes.
        accelerators: Accelerator devices.
    """

    worker_id: str
    failure_domain: str
    rack: str
    address: str
    home_pool: str
    control: str = ""
    cpus: int = 32
    memory_mb: int = 65536
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance window that the provider has fixed.

    Attributes:
        wave_id: Unique name.
        start_s: Start, seconds since the epoch.
        end_s: End, seconds since the epoch.
        workers: Workers that must be released for the whole window.
    """

    wave_id: str
    start_s: float
    end_s: float
    workers: tuple[str, ...]


class WorkerState(Enum):
    """Where a worker is in its life within a pool."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    MAINTENANCE = "maintenance"
    RETURNING = "returning"
    FAILED = "failed"
    LOST = "lost"


class Cause(Enum):
    """Why a worker came to its state."""

    OPERATOR = "operator"
    WAVE = "wave"
    MOVE = "move"
    RESTART = "restart"
    CANCELLED = "cancelled"
    RETURN = "return"
    FAILURE = "failure"
    LOSS = "loss"
    RECOVERY = "recovery"


@dataclass(frozen=True, slots=True)
class Assignment:
    """The one pool that a worker belongs to, and its state there.

    A worker without an assignment serves its home pool.

    Attributes:
        worker_id: Worker.
        pool: Pool that it belongs to.
        state: Its state.
        cause: Why it came to this state.
        detail: The same in words, for the audit trail.
        since_s: When, seconds since the epoch.
        next_pool: Pool that it moves to when it is drained, empty if none.
        replaces: In an edit, the position of the assignment that this one follows;
            any if it is negative.
        seq: Position of the change that made it; set when that change is applied.
    """

    worker_id: str
    pool: str
    state: WorkerState
    cause: Cause = Cause.OPERATOR
    detail: str = ""
    since_s: float = 0.0
    next_pool: str = ""
    replaces: int = -1
    seq: int = 0
