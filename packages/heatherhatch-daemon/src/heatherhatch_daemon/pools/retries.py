"""Retries of calls to the store on behalf of callers."""

from collections.abc import Callable
from typing import TypeVar

from heatherhatch_core.exceptions import StoreError

from ..events import Event, log
from .clock import sleep

STORE_ATTEMPTS = 4  # after a brief store outage, callers need not retry
RETRY_AFTER_S = 1.0  # retry interval for callers after a store failure
MAX_RETRY_AFTER_S = 4.0  # upper bound, because the end of an outage is unknown
FIRST_PAUSE_S = 0.1  # pause after the first attempt; each further one is twice as long

T = TypeVar("T")


def retry_after_s(outage_s: float) -> float:
    """Return when callers may retry, given the length of the outage so far, seconds."""
    # An outage may last as long again as it has lasted so far.
    return min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, outage_s))


def call_with_retries(
    call: Callable[[], T], outage_s: Callable[[], float], subject: str
) -> T:
    """Return the result of a call that may be sent more than once.

    Args:
        call: The call.
        outage_s: Returns how long the store is known not to answer, seconds; there
            is no further attempt unless it is 0.
        subject: What the call is about, for the log.

    Raises:
        StoreError: Each attempt failed; a write may be applied if any attempt of it
            may be.
    """
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
            if attempt == STORE_ATTEMPTS or outage_s():
                raise StoreError(error.detail, maybe_applied) from error
        sleep(pause_s)
        pause_s *= 2
        attempt += 1
