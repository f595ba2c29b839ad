"""Retries of calls to the store on behalf of callers."""

from collections.abc import Callable
from typing import TypeVar

from heatherhatch_core.coordination.competition.return_line import (
    CallRate,
    ReturnLine,
)
from heatherhatch_core.exceptions import StoreError

from ..events import Event, log
from ..transport.request_trace import InStage, Stage
from .clock import now_s, sleep

STORE_ATTEMPTS = 4  # after a brief store outage, callers need not retry
RETRY_AFTER_S = 1.0  # retry interval for callers after a store failure
MAX_RETRY_AFTER_S = 4.0  # upper bound, because the end of an outage is unknown
FIRST_PAUSE_S = 0.1  # pause after the first attempt; each further one is twice as long

MAX_SPREAD_S = 4.0  # time over which callers return after an outage, at most
# A pool takes peaks of several times its mean; twice the rate before the outage leaves
# room for the callers that come for the first time.
RETURN_RATE_FACTOR = 2.0

T = TypeVar("T")


class ReturnTimes:
    """When the callers that this instance refuses without the store may return.

    Attributes:
        accepted: Rate of the jobs that this instance accepted.
        line: The callers that were told when to return.
    """

    def __init__(self):
        self.accepted = CallRate()
        self.line = ReturnLine()

    def next_s(self, earliest_s: float) -> float:
        """Return when the next caller may return, seconds.

        Callers are spread over the time in which the pools can take them. One that
        asked before another is never told a later time.

        Args:
            earliest_s: Time until the store may answer, seconds.
        """
        rate = RETURN_RATE_FACTOR * self.accepted.per_s
        spacing_s = 1.0 / rate if rate else 0.0
        return self.line.wait_s(
            earliest_s, spacing_s, earliest_s + MAX_SPREAD_S, now_s()
        )


def retry_after_s(outage_s: float) -> float:
    """Return when callers may retry, given the length of the outage so far, seconds."""
    # An outage may last as long again as it has lasted so far.
    return min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, outage_s))


def call_with_retries(
    call: Callable[[], T],
    outage_s: Callable[[], float],
    subject: str,
    limit_s: float = float("inf"),
) -> T:
    """Return the result of a call that may be sent more than once.

    Args:
        call: The call.
        outage_s: Returns how long the store is known not to answer, seconds; there
            is no further attempt unless it is 0.
        subject: What the call is about, for the log.
        limit_s: Time after which there is no further attempt, seconds.

    Raises:
        StoreError: Each attempt failed; a write may be applied if any attempt of it
            may be.
    """
    until_s = now_s() + limit_s
    maybe_applied = False
    pause_s = FIRST_PAUSE_S
    attempt = 1
    while True:
        try:
            return call()
        except StoreError as error:
            maybe_applied = maybe_applied or error.maybe_applied
            log(
                Event.DECIDED,
                what="attempt at a store call failed",
                subject=subject,
                attempt=attempt,
                error=str(error),
            )
            is_last = attempt == STORE_ATTEMPTS or now_s() + pause_s >= until_s
            if is_last or outage_s():
                raise StoreError(error.detail, maybe_applied) from error
        with InStage(Stage.RETRY_PAUSE):
            sleep(pause_s)
        pause_s *= 2
        attempt += 1
