"""Where the time of an open request goes; kept on the greenlet that serves it."""

import functools
import time
from collections.abc import Callable
from dataclasses import astuple, dataclass
from enum import Enum
from typing import TypeVar

import gevent

# A submission may make more; the last ones tell why it took long.
MAX_STORE_CALLS = 12
MAX_ERROR_CHARS = 120

T = TypeVar("T")


class Stage(Enum):
    """What a request waits for; the value is for log lines."""

    HEAD = "head"
    BODY = "body"
    CONFIGURATION = "configuration"
    STORE_READ = "store read"
    STORE_WRITE = "store write"
    RETRY_PAUSE = "retry pause"
    OTHER = "other"
    ANSWER = "answer"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class StoreCall:
    """One attempt at a call to the store, with its hedges.

    Attributes:
        key: Key that is read, or the first key that is written.
        took_ms: Duration, milliseconds.
        error: Why it failed; empty if it was answered.
    """

    key: str
    took_ms: float
    error: str


class RequestTrace:
    """The stages of one request.

    Args:
        method: HTTP method.
        path: Path of the request.

    Attributes:
        started_s: When its request line had been read, monotonic seconds.
        stage: What it waits for.
        stage_since_s: When that stage began, monotonic seconds.
        subject: Key of the store that it waits for; empty in other stages.
        spent_s: Time spent in the earlier stages, seconds.
        attempts: Number of calls to the store.
        store_calls: The last of them.
        hedges: How often they were sent again before their timeout.
        stalls_s: Stalls of the process before the request, seconds.
        caller_left: True if the caller had closed the connection before the answer.
        failure: Why the answer is not complete; None if nothing failed.
        is_reported: True once a line says that the request is open.
    """

    def __init__(self, method: str, path: str):
        self.method = method
        self.path = path
        self.started_s = self.stage_since_s = time.monotonic()
        self.stage = Stage.HEAD
        self.subject = ""
        self.spent_s: dict[Stage, float] = {}
        self.attempts = 0
        self.store_calls: list[StoreCall] = []
        self.hedges = 0
        self.stalls_s = 0.0
        self.caller_left = False
        self.failure: BaseException | None = None
        self.is_reported = False

    def enter(self, stage: Stage) -> Stage:
        """Begin a stage; return the one that ends."""
        now_s = time.monotonic()
        previous = self.stage
        spent_s = self.spent_s.get(previous, 0.0)
        self.spent_s[previous] = spent_s + now_s - self.stage_since_s
        self.stage = stage
        self.stage_since_s = now_s
        return previous

    def note_store_call(self, call: StoreCall) -> None:
        """Record an attempt that has ended."""
        if len(self.store_calls) == MAX_STORE_CALLS:
            del self.store_calls[0]
        self.store_calls.append(call)

    def took_s(self) -> float:
        """Return the time until the answer was written, or until now, seconds."""
        end_s = time.monotonic()
        if self.stage is Stage.ANSWERED:
            end_s = self.stage_since_s
        return end_s - self.started_s

    def slowest_stage(self) -> Stage:
        """Return the stage before the end of the answer that took longest."""
        return max(self.spent_s, key=self.spent_s.get, default=self.stage)

    def fields(self) -> dict:
        """Return the fields of a log line about the request."""
        stage_s = time.monotonic() - self.stage_since_s
        return {
            "stage": self.stage.value,
            "stage_s": round(stage_s, 3),
            "subject": self.subject,
            **self.summary(),
            "store_calls": [astuple(call) for call in self.store_calls],
        }

    def summary(self) -> dict:
        """Return the fields that tell where the time has gone so far."""
        return {
            "took_s": round(self.took_s(), 3),
            "stages_ms": {
                stage.value: round(spent_s * 1000.0, 1)
                for stage, spent_s in self.spent_s.items()
            },
            "attempts": self.attempts,
            "hedges": self.hedges,
        }


def trace_of(greenlet: object) -> RequestTrace | None:
    """Return the trace of the request that a greenlet serves; None if none."""
    return getattr(greenlet, "request_trace", None)


def current_trace() -> RequestTrace | None:
    """Return the trace of the request that this greenlet serves."""
    return trace_of(gevent.getcurrent())


class InStage:
    """Context manager: the request of this greenlet, if any, is in a stage.

    Args:
        stage: The stage.
    """

    __slots__ = ("previous", "stage", "trace")

    def __init__(self, stage: Stage):
        self.stage = stage

    def __enter__(self) -> None:
        self.trace = current_trace()
        if self.trace is not None:
            self.previous = self.trace.enter(self.stage)

    def __exit__(self, *_error: object) -> None:
        if self.trace is not None:
            self.trace.enter(self.previous)


def timed(stage: Stage) -> Callable:
    """Return a decorator of methods during which a request is in a stage."""

    def decorate(method: Callable[..., T]) -> Callable[..., T]:
        @functools.wraps(method)
        def run(*args, **kwargs) -> T:
            with InStage(stage):
                return method(*args, **kwargs)

        return run

    return decorate


def record_store_call(stage: Stage, key: str, call: Callable[[], T]) -> T:
    """Return the answer of a call to the store; record it for the request, if any."""
    trace = current_trace()
    if trace is None:
        return call()
    previous = trace.enter(stage)
    started_s = trace.stage_since_s
    trace.subject = key
    trace.attempts += 1
    error = ""
    try:
        return call()
    except BaseException as failure:
        error = (str(failure) or repr(failure))[:MAX_ERROR_CHARS]
        raise
    finally:
        trace.enter(previous)
        trace.subject = ""
        took_ms = round((trace.stage_since_s - started_s) * 1000.0, 1)
        trace.note_store_call(StoreCall(key, took_ms, error))
