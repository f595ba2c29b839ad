"""Idempotency keys that callers make: UUIDs of version 7, which carry their time."""

import uuid

from ..exceptions import ErrorKind, HeatherhatchError

UUID_VERSION = 7
TIME_SHIFT_BITS = 80
CLOCK_SKEW_S = 60.0


def key_time_s(key: str) -> float:
    """Return the time in a caller's key, seconds since the epoch.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the key is no UUIDv7 (RFC 9562).
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError as error:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "Idempotency-Key is neither a ticket nor a UUIDv7"
        ) from error
    if parsed.version != UUID_VERSION or str(parsed) != key:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "Idempotency-Key is no UUIDv7 in its usual form"
        )
    return (parsed.int >> TIME_SHIFT_BITS) / 1000.0


def seconds_left(key: str, now_s: float, outcome_s: float) -> float:
    """Return how long the outcome of a caller's key is still kept.

    Args:
        key: The caller's key.
        now_s: Seconds since the epoch.
        outcome_s: How long outcomes are kept, in seconds.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the key is malformed or from the
            future, ``KEY_EXPIRED`` if nothing is kept of it any more.
    """
    age_s = now_s - key_time_s(key)
    if age_s < -CLOCK_SKEW_S:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "the key is from the future")
    if age_s >= outcome_s:
        raise HeatherhatchError(ErrorKind.KEY_EXPIRED, f"made {age_s:.0f} s ago")
    return outcome_s - age_s


def claim_lease_s(outcome_s: float) -> float:
    """Return the life that a claim needs to outlast its key on every clock."""
    return outcome_s + 2 * CLOCK_SKEW_S
