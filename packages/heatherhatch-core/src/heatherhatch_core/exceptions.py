"""Error kinds, the HTTP answer to each, and the exception classes."""

from dataclasses import dataclass
from enum import Enum


class Execution(Enum):
    """Whether the work of a failed request may have been executed."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class Retry(Enum):
    """When a client may retry a failed request."""

    NEVER = "never"
    AFTER_FIX = "after fixing the request"
    LATER = "after the time in Retry-After"
    SAME_KEY = "with the same Idempotency-Key only"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The HTTP answer to one error kind.

    Attributes:
        code: Stable number of the kind; never reused for another kind.
        status: HTTP status code.
        execution: Whether the work may have been executed.
        retry: When the client may retry the request.
        title: Summary of the kind, one sentence.
        exit_code: Exit code of the command-line client for this kind.
    """

    code: int
    status: int
    execution: Execution
    retry: Retry
    title: str
    exit_code: int


class ErrorKind(Enum):
    """Every kind of error that clients can receive."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    NO_SUCH_JOB = "no-such-job"
    CONFLICT = "conflict"
    INVALID_CHANGE = "invalid-change"
    TOO_LARGE = "too-large"
    LIMIT_REACHED = "limit-reached"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    NO_STANDING = "no-standing"
    STORE_UNAVAILABLE = "store-unavailable"
    NO_BACKEND = "no-backend"
    SHUTTING_DOWN = "shutting-down"
    OUTCOMES_FULL = "outcomes-full"
    MEMORY_LIMIT = "memory-limit"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_EXPIRED = "idempotency-key-expired"
    ISSUER_GONE = "ticket-issuer-gone"
    KEY_REUSED = "idempotency-key-reused"
    KEY_UNDECIDED = "idempotency-key-undecided"
    KEY_UNVERIFIED = "idempotency-key-unverified"
    BACKEND_FAILED = "backend-failed"
    BACKEND_TIMEOUT = "backend-timeout"
    PARTIAL_ANSWER = "partial-answer"
    BUDGET_EXCEEDED = "budget-exceeded"
    CHANGE_UNKNOWN = "change-outcome-unknown"
    INTERNAL = "internal"


_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        100, 400, _NOT_RUN, Retry.AFTER_FIX, "The request is malformed.", 2
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        101, 401, _NOT_RUN, Retry.AFTER_FIX, "The key is missing or not valid.", 3
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(
        102, 403, _NOT_RUN, Retry.AFTER_FIX, "The key does not permit this request.", 3
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(
        103, 404, _NOT_RUN, Retry.AFTER_FIX, "The requested resource does not exist.", 4
    ),
    ErrorKind.NO_SUCH_JOB: ErrorResponse(
        107, 410, _NOT_RUN, Retry.NEVER, "The job does not exist.", 4
    ),
    ErrorKind.CONFLICT: ErrorResponse(
        104, 409, _NOT_RUN, Retry.LATER, "The request conflicts with another change.", 5
    ),
    ErrorKind.INVALID_CHANGE: ErrorResponse(
        105, 422, _NOT_RUN, Retry.AFTER_FIX, "The change is not valid.", 2
    ),
    ErrorKind.TOO_LARGE: ErrorResponse(
        106, 413, _NOT_RUN, Retry.AFTER_FIX, "The request is too large.", 2
    ),
    ErrorKind.LIMIT_REACHED: ErrorResponse(
        200, 429, _NOT_RUN, Retry.LATER, "The team has reached its limit.", 6
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        201, 503, _NOT_RUN, Retry.LATER, "The request cannot meet its deadline now.", 6
    ),
    ErrorKind.NO_STANDING: ErrorResponse(
        202, 503, _NOT_RUN, Retry.LATER, "The state of this node may be out of date.", 7
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(
        203, 503, _NOT_RUN, Retry.LATER, "The store is unavailable.", 7
    ),
    ErrorKind.NO_BACKEND: ErrorResponse(
        204, 503, _NOT_RUN, Retry.LATER, "No backend server can accept the request.", 6
    ),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(
        205, 503, _NOT_RUN, Retry.LATER, "This node is shutting down.", 7
    ),
    ErrorKind.OUTCOMES_FULL: ErrorResponse(
        206, 503, _NOT_RUN, Retry.LATER, "This node's memory for outcomes is full.", 7
    ),
    ErrorKind.MEMORY_LIMIT: ErrorResponse(
        207,
        503,
        _NOT_RUN,
        Retry.LATER,
        "This node has no memory for large requests.",
        7,
    ),
    ErrorKind.KEY_REQUIRED: ErrorResponse(
        300, 400, _NOT_RUN, Retry.AFTER_FIX, "An Idempotency-Key is required.", 2
    ),
    ErrorKind.KEY_EXPIRED: ErrorResponse(
        301,
        409,
        _UNKNOWN,
        Retry.NEVER,
        "The Idempotency-Key is older than the retention time of outcomes.",
        5,
    ),
    ErrorKind.ISSUER_GONE: ErrorResponse(
        302,
        409,
        _UNKNOWN,
        Retry.NEVER,
        "The node that issued the ticket has stopped or restarted.",
        5,
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        303,
        422,
        _UNKNOWN,
        Retry.NEVER,
        "The Idempotency-Key was used for another request.",
        5,
    ),
    ErrorKind.KEY_UNDECIDED: ErrorResponse(
        304, 503, _UNKNOWN, Retry.SAME_KEY, "An earlier attempt may have run.", 7
    ),
    ErrorKind.KEY_UNVERIFIED: ErrorResponse(
        305,
        401,
        _UNKNOWN,
        Retry.SAME_KEY,
        "The key is missing or not valid; an earlier attempt may have run.",
        3,
    ),
    ErrorKind.BACKEND_FAILED: ErrorResponse(
        400, 502, _UNKNOWN, Retry.SAME_KEY, "The backend server failed.", 8
    ),
    ErrorKind.BACKEND_TIMEOUT: ErrorResponse(
        401,
        504,
        _UNKNOWN,
        Retry.SAME_KEY,
        "The backend server did not respond in time.",
        8,
    ),
    ErrorKind.PARTIAL_ANSWER: ErrorResponse(
        402, 502, _UNKNOWN, Retry.SAME_KEY, "The response was incomplete.", 8
    ),
    ErrorKind.BUDGET_EXCEEDED: ErrorResponse(
        500,
        409,
        _NOT_RUN,
        Retry.LATER,
        "The change would exceed the pool's availability budget.",
        5,
    ),
    ErrorKind.CHANGE_UNKNOWN: ErrorResponse(
        501, 504, _UNKNOWN, Retry.SAME_KEY, "The change may have been accepted.", 8
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        900, 500, _UNKNOWN, Retry.SAME_KEY, "An internal error occurred.", 9
    ),
}


class HeatherhatchError(Exception):
    """Base class of all errors that the system raises itself.

    Attributes:
        kind: Kind of the error.
        detail: Description of this occurrence for users; never contains a secret.
        retry_after_s: Time after which to retry, seconds; None if not known.
    """

    def __init__(
        self, kind: ErrorKind, detail: str = "", retry_after_s: float | None = None
    ):
        super().__init__(f"{kind.value}: {detail or ERROR_RESPONSES[kind].title}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s

    @property
    def answer(self) -> ErrorResponse:
        """HTTP answer to the kind of this error."""
        return ERROR_RESPONSES[self.kind]


class SettingsError(HeatherhatchError):
    """A settings file has one or more problems.

    Attributes:
        problems: One line of text for each problem.
    """

    def __init__(self, problems: tuple[str, ...]):
        super().__init__(ErrorKind.BAD_REQUEST, "; ".join(problems))
        self.problems = problems


class StoreError(HeatherhatchError):
    """The store rejected a call or did not answer.

    Attributes:
        maybe_applied: True if a write may have taken effect.
        rate_limited: True if the store refused the call to limit the rate.
    """

    def __init__(
        self, detail: str, maybe_applied: bool = False, rate_limited: bool = False
    ):
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)
        self.maybe_applied = maybe_applied
        self.rate_limited = rate_limited


class RevisionCompactedError(StoreError):
    """The store has compacted the requested changes."""


class LeaseExpiredError(StoreError):
    """The lease of a write no longer exists; nothing was written."""


class FencedError(HeatherhatchError):
    """The receiver has seen a newer fencing token of the same role."""

    def __init__(self, detail: str):
        super().__init__(ErrorKind.CONFLICT, detail)


class WrongIncarnationError(HeatherhatchError):
    """The worker has restarted; another incarnation of it answered."""

    def __init__(self, detail: str):
        super().__init__(ErrorKind.NOT_FOUND, detail)
