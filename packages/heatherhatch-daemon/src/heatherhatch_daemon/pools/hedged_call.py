"""A call to the store that is sent again on another connection while unanswered."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import gevent
from gevent.event import Event as Signal

from heatherhatch_core.coordination.hedging import HedgePolicy
from heatherhatch_core.exceptions import LeaseExpiredError, StoreError

from ..transport.request_trace import trace_of
from .clock import now_s

T = TypeVar("T")

# With a share of 0.4 of the sends lost, 2.6 % of the calls get no answer to any.
MAX_SENDS = 4


class CallSuperseded(BaseException):
    """Raised in a greenlet whose call another send has completed."""


@dataclass(frozen=True, slots=True)
class HedgeContext:
    """What all hedged calls of one kind share.

    Attributes:
        policy: Decides when and whether a call is sent again.
        share: Returns this instance's share of the rate of hedges, 0 to 1.
        is_answering: Returns whether the call of a greenlet has received data.
        is_transferring: Returns whether a large answer is being received.
        count: Called with an outcome and how many hedges had it.
        note_error: Called with the error of each send that failed.
    """

    policy: HedgePolicy
    share: Callable[[], float]
    is_answering: Callable[[gevent.Greenlet], bool]
    is_transferring: Callable[[], bool]
    count: Callable[[str, int], None]
    note_error: Callable[[StoreError], None]


class HedgedCall(Generic[T]):
    """One call, sent at first by the calling greenlet and then by others.

    The first answer decides, and the other sends are aborted, which closes their
    connections. A call that is answered in time costs one timer and no greenlet.

    Args:
        send: Sends the call once.
        context: What the hedged calls of this kind share.

    Attributes:
        hedges: When each further send was made, seconds of `now_s`.
    """

    def __init__(self, send: Callable[[], T], context: HedgeContext):
        self.send = send
        self.context = context
        self.caller = gevent.getcurrent()
        self.superseded = CallSuperseded()
        self.hedges: dict[gevent.Greenlet, float] = {}
        self.open_hedges: set[gevent.Greenlet] = set()
        self.errors: list[StoreError] = []
        self.first_is_open = False
        self.decided = False
        self.answer: T | LeaseExpiredError | None = None
        self.settled: Signal | None = None
        self.sends = 1
        self.delay_s = 0.0
        self.timer = None

    def run(self) -> T:
        """Return the answer.

        Raises:
            StoreError: No send was answered; a write may be applied if any may be.
        """
        sent_s = now_s()
        delay_s = self.context.policy.delay_s(sent_s)
        if delay_s is not None:
            self._start_timer(delay_s)
        self.first_is_open = True
        try:
            self._send_first(sent_s)
            if not self.decided:
                self._await_hedges()
        finally:
            self.first_is_open = False
            self._close()
        if isinstance(self.answer, LeaseExpiredError):
            raise self.answer
        return self.answer

    def _send_first(self, sent_s: float) -> None:
        try:
            answer = self.send()
        except CallSuperseded as stop:
            if stop is not self.superseded:
                raise
        except LeaseExpiredError as error:
            self._decide(error, sent_s, by_hedge=False)
        except StoreError as error:
            self._note_error(error)
        else:
            self._decide(answer, sent_s, by_hedge=False)
        self.first_is_open = False

    def _await_hedges(self) -> None:
        if self.open_hedges:
            self.settled = Signal()
            self.settled.wait()
        if not self.decided:
            self._raise_errors()

    def _raise_errors(self) -> None:
        maybe_applied = any(error.maybe_applied for error in self.errors)
        if maybe_applied:
            self.context.policy.note_unanswered()
        if len(self.errors) == 1:
            raise self.errors[0]
        rate_limited = any(error.rate_limited for error in self.errors)
        raise StoreError(self.errors[0].detail, maybe_applied, rate_limited)

    def _start_timer(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.timer = gevent.get_hub().loop.timer(delay_s)
        self.timer.start(self._on_delay)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.stop()
            self.timer.close()
            self.timer = None

    def _on_delay(self) -> None:
        """Send the call again unless an answer is arriving; runs in the hub."""
        self._stop_timer()
        answering = {
            greenlet
            for greenlet in (self.caller, *self.open_hedges)
            if self.context.is_answering(greenlet)
        }
        if answering:
            # A second copy of a large answer would delay both on a slow link.
            for greenlet in self.open_hedges - answering:
                greenlet.kill(block=False)
            return
        policy = self.context.policy
        # A large answer to another call explains the delay on a slow link.
        if not self.context.is_transferring():
            if policy.take(self.context.share(), now_s()):
                self._send_hedge()
            else:
                self.context.count("refused", 1)
        self.sends += 1
        if self.sends < MAX_SENDS:
            self._start_timer(2 * self.delay_s)

    def _send_hedge(self) -> None:
        greenlet = gevent.Greenlet(self._hedge)
        # A hedge that is aborted before it runs ends without its body.
        greenlet.rawlink(self._on_hedge_end)
        self.hedges[greenlet] = now_s()
        self.open_hedges.add(greenlet)
        self.context.count("sent", 1)
        trace = trace_of(self.caller)
        if trace is not None:
            trace.hedges += 1
        greenlet.start()

    def _hedge(self) -> None:
        sent_s = self.hedges[gevent.getcurrent()]
        try:
            answer = self.send()
        except LeaseExpiredError as error:
            self._decide(error, sent_s, by_hedge=True)
        except StoreError as error:
            self._note_error(error)
        except BaseException:
            # An aborted send may still take effect.
            self.errors.append(StoreError("a send was aborted", True))
            raise
        else:
            self._decide(answer, sent_s, by_hedge=True)

    def _on_hedge_end(self, greenlet: gevent.Greenlet) -> None:
        """Let the call end if nothing remains to be awaited; runs in the hub."""
        self.open_hedges.discard(greenlet)
        if self.settled is not None and (self.decided or not self.open_hedges):
            self.settled.set()

    def _decide(
        self, answer: T | LeaseExpiredError, sent_s: float, by_hedge: bool
    ) -> None:
        if self.decided:
            return
        self.decided = True
        self.answer = answer
        at_s = now_s()
        self.context.policy.note_answer(at_s - sent_s, by_hedge, at_s)
        if by_hedge:
            self.context.count("won", 1)
            gevent.get_hub().loop.run_callback(self._supersede_first)
        if len(self.hedges) > by_hedge:
            self.context.count("lost", len(self.hedges) - by_hedge)

    def _supersede_first(self) -> None:
        # The first send may have ended since this was scheduled.
        if self.first_is_open:
            self.caller.throw(self.superseded)

    def _note_error(self, error: StoreError) -> None:
        self.errors.append(error)
        self.context.note_error(error)

    def _close(self) -> None:
        self._stop_timer()
        for greenlet in list(self.open_hedges):
            greenlet.kill(block=False)
