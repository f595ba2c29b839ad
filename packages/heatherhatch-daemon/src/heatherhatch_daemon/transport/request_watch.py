"""Logs requests that are answered late, still open, or never answered completely."""

import time
from collections.abc import Sized
from dataclasses import dataclass
from enum import Enum

import gevent

from ..events import Event, log
from ..metrics import METER, Metric
from .request_trace import RequestTrace, Stage

SLOW_ANSWER_S = 0.5  # an answer that took longer is logged
OPEN_REQUEST_S = 1.5  # a request that waits longer is logged while it waits
CHECK_PERIOD_S = 0.25  # pause between two looks at the open requests
MIN_STALL_S = 0.05  # a look that is later by more means that the process stood still
MAX_LINES_PER_S = 20  # of each event; the metrics count all
MAX_REQUEST_LINE_CHARS = 200


@dataclass(frozen=True, slots=True)
class AnswerBounds:
    """Times after which a request is logged; infinite for those that may take long.

    Attributes:
        slow_s: An answer that took longer is logged, seconds.
        open_s: A request that is open for longer is logged, seconds.
    """

    slow_s: float = float("inf")
    open_s: float = float("inf")


NO_BOUNDS = AnswerBounds()
CALLER_BOUNDS = AnswerBounds(SLOW_ANSWER_S, OPEN_REQUEST_S)


class Loss(Enum):
    """Why a request got no complete answer; the value is for log lines."""

    CALLER_LEFT = "the caller had closed the connection before the answer"
    NOT_WRITTEN = "the answer was not written"
    INTERRUPTED = "the answer was written in part"
    ENDED = "the greenlet was ended"
    STOPPED = "the process stopped before the answer"


class LimitedEvent:
    """An event of which a bounded number of lines is logged in a second.

    Args:
        event: The event.

    Attributes:
        skipped: Lines left out since the last one, which the next one tells.
    """

    def __init__(self, event: Event):
        self.event = event
        self.second = 0
        self.lines = 0
        self.skipped = 0

    def log(self, **details: object) -> None:
        """Log the event, or count it as skipped."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines = 0
        if self.lines >= MAX_LINES_PER_S:
            self.skipped += 1
            return
        self.lines += 1
        skipped, self.skipped = self.skipped, 0
        log(self.event, **details, skipped=skipped)


class RequestWatch:
    """Knows the open requests of one listener.

    Args:
        bounds: Times after which a request is logged.
        connections: The open connections, to log their number.

    Attributes:
        open: The open requests in the order in which they began.
        stalled_s: How long the process has stood still so far, seconds.
        due_s: When the next look is due, monotonic seconds; infinite before the start.
    """

    def __init__(self, bounds: AnswerBounds, connections: Sized):
        self.bounds = bounds
        self.connections = connections
        self.open: dict[RequestTrace, None] = {}
        self.stalled_s = 0.0
        self.due_s = float("inf")
        self.refused = LimitedEvent(Event.CALL_REFUSED)
        self.slow = LimitedEvent(Event.CALL_SLOW)
        self.waiting = LimitedEvent(Event.CALL_OPEN)
        self.lost = LimitedEvent(Event.CALL_UNANSWERED)
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to look at the open requests."""
        if self.bounds.open_s != float("inf"):
            self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Log the requests that are still open and stop."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        for trace in list(self.open):
            self._log_loss(trace, Loss.STOPPED, "")
        self.open.clear()

    def begin(self, request_line: str) -> RequestTrace:
        """Return the trace of a request whose request line was read."""
        words = request_line.split()
        path = words[1].partition("?")[0] if len(words) > 1 else ""
        trace = RequestTrace(
            words[0][:MAX_REQUEST_LINE_CHARS] if words else "",
            path[:MAX_REQUEST_LINE_CHARS],
        )
        trace.stalls_s = self._stalls_s(trace.started_s)
        self.open[trace] = None
        return trace

    def end(self, trace: RequestTrace, status: str, loss: Loss | None) -> None:
        """Log a request that has ended if its answer was late or is not complete.

        Args:
            trace: The request.
            status: Status of the answer; empty if there was none.
            loss: Why the answer is not complete; None if it is.
        """
        if trace not in self.open:
            return
        del self.open[trace]
        if loss is not None:
            self._log_loss(trace, loss, status)
        elif trace.took_s() >= self.bounds.slow_s:
            METER.sink.count(Metric.SLOW_CALLS, label=trace.slowest_stage().value)
            self.slow.log(**self._fields(trace), status=status)

    def refuse(self, trace: RequestTrace, error: object) -> None:
        """Log a request that was answered with 400 because it can't be read."""
        self.refused.log(
            **self._fields(trace), kind="bad-request", status=400, detail=str(error)
        )

    def check(self) -> None:
        """Log each request once that has been open for too long."""
        now_s = time.monotonic()
        for trace in list(self.open):
            if now_s - trace.started_s < self.bounds.open_s:
                break
            if not trace.is_reported and trace.stage is not Stage.ANSWERED:
                trace.is_reported = True
                METER.sink.count(Metric.OPEN_CALLS, label=trace.stage.value)
                self.waiting.log(**self._fields(trace))

    def _log_loss(self, trace: RequestTrace, loss: Loss, status: str) -> None:
        METER.sink.count(Metric.UNANSWERED_CALLS, label=loss.name.lower())
        error = "" if trace.failure is None else repr(trace.failure)
        fields = self._fields(trace)
        self.lost.log(**fields, why=loss.value, error=error, status=status)

    def _fields(self, trace: RequestTrace) -> dict:
        return {
            "method": trace.method,
            "path": trace.path,
            **trace.fields(),
            "stalled_s": round(self._stalls_s(time.monotonic()) - trace.stalls_s, 3),
            "open_calls": len(self.open),
            "connections": len(self.connections),
        }

    def _stalls_s(self, now_s: float) -> float:
        """Return all stalls until now, with the one that may be going on."""
        return self.stalled_s + max(0.0, now_s - self.due_s)

    def _run(self) -> None:
        while True:
            self.due_s = time.monotonic() + CHECK_PERIOD_S
            gevent.sleep(CHECK_PERIOD_S)
            late_s = time.monotonic() - self.due_s
            if late_s >= MIN_STALL_S:
                self.stalled_s += late_s
            try:
                self.check()
            except Exception as error:
                log(Event.TASK_FAILED, task="request watch", error=repr(error))
