"""Idempotency keys that callers generate: UUIDv7, which contain a timestamp."""

import uuid

from ..exceptions import ErrorKind, HeatherhatchError

UUID_VERSION = 7
# The timestamp of a UUIDv7 is stored in the bits above the lowest 80.
TIME_SHIFT_BITS = 80
# Largest difference tolerated between the clocks of callers and nodes.
CLOCK_SKEW_S = 60.0


def key_time_s(key: str) -> float:
    """Return the timestamp of a caller's key in seconds since the epoch.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the key is not a UUIDv7 (RFC 9562).
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError as error:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "Idempotency-Key is neither a ticket nor a UUIDv7"
        ) from error
    if parsed.version != UUID_VERSION or str(parsed) != key:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "Idempotency-Key is not a UUIDv7 in canonical form"
        )
    return (parsed.int >> TIME_SHIFT_BITS) / 1000.0


def seconds_left(key: str, now_s: float, outcome_s: float) -> float:
    """Return the seconds for which the outcome of a caller's key is still kept.

    Args:
        key: Idempotency key that the caller generated.
        now_s: Current time in seconds since the epoch.
        outcome_s: Retention time of outcomes in seconds.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the key is malformed or its
            timestamp is in the future, ``KEY_EXPIRED`` if its outcome is no
            longer kept.
    """
    age_s = now_s - key_time_s(key)
    if age_s < -CLOCK_SKEW_S:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST,
            "the timestamp of the idempotency key is in the future",
        )
    if age_s >= outcome_s:
        raise HeatherhatchError(
            ErrorKind.KEY_EXPIRED, f"the idempotency key was created {age_s:.0f} s ago"
        )
    return outcome_s - age_s


def claim_lease_s(outcome_s: float) -> float:
    """Return the lease in seconds with which a claim outlives its key on any clock."""
    return outcome_s + 2 * CLOCK_SKEW_S
