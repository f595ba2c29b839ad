"""Entities of the configuration: pools, teams, keys, classes of work, workers."""

from dataclasses import dataclass
from enum import Enum


class WorkKind(Enum):
    """Kind of the work of a class: request or job."""

    REQUEST = "request"
    JOB = "job"


class Role(Enum):
    """Permissions of an operator key."""

    VIEWER = "viewer"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of workers that serves the same classes of work.

    Attributes:
        name: Unique name.
        min_available: Minimum number of serving workers at any time.
        spare: True if the pool lends its workers to the others.
    """

    name: str
    min_available: int
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A team that submits work, with its share and limit.

    Attributes:
        name: Unique name.
        share: Weight of the team when a pool is at capacity, above zero.
        limit: Maximum number of units of work that run at the same time in the
            whole fleet.
    """

    name: str
    share: float
    limit: int


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A key that a team sends with its work.

    Attributes:
        key_id: Public part of the key, which identifies it.
        team: Team that the key belongs to.
        digest: SHA-256 of the secret, in hexadecimal.
    """

    key_id: str
    team: str
    digest: str


@dataclass(frozen=True, slots=True)
class OperatorKey:
    """A key that an operator sends with a change or a query.

    Attributes:
        key_id: Public part of the key, which identifies it.
        operator: Name of the operator in the audit trail.
        role: Permissions of the operator.
        digest: SHA-256 of the secret, in hexadecimal.
    """

    key_id: str
    operator: str
    role: Role
    digest: str


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its service level target.

    Attributes:
        name: Unique name.
        pool: Pool that serves the class.
        kind: Request or job.
        target_s: Time within which a request is answered or a job finishes, seconds.
        on_time_share: Fraction of the work that must meet ``target_s``, 0 to 1.
        idempotent: True if the work may safely be executed more than once.
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
    """A machine with its resources and its backend server.

    Attributes:
        worker_id: Unique name.
        failure_domain: Zone whose machines fail and are maintained together.
        rack: Rack within the failure domain.
        address: ``host:port`` of the backend server.
        control: ``host:port`` of the worker's task control endpoint, empty for none.
        home_pool: Pool that the worker belongs to without an assignment.
        cpus: Number of processors.
        memory_mb: Memory, mebibytes.
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
    """A maintenance window announced by the provider.

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
    """State of a worker within its pool."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    MAINTENANCE = "maintenance"
    RETURNING = "returning"
    FAILED = "failed"
    LOST = "lost"


class Cause(Enum):
    """Cause of a worker state transition."""

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
    """The pool that a worker belongs to, and its state there.

    A worker belongs to exactly one pool. Without an assignment it serves its home
    pool.

    Attributes:
        worker_id: Unique name of the worker.
        pool: Pool that the worker belongs to.
        state: State of the worker.
        cause: Cause of the transition to this state.
        detail: Explanation of the cause, for the audit trail.
        since_s: Time of the transition, seconds since the epoch.
        next_pool: Pool that the worker moves to once it is drained, empty for none.
        replaces: In an edit, the log position of the assignment that this one
            replaces; a negative value matches any.
        seq: Log position of the change that made the assignment; set when that
            change is applied.
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
