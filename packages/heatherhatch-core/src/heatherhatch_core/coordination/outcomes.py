"""Outcomes of keyed requests: on its node, each key runs at most once."""

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..exceptions import ErrorKind, HeatherhatchError

# Bytes counted for a record besides its headers, body and detail.
RECORD_BYTES = 500
# Seconds until an expired key whose request still runs is checked again.
RECHECK_S = 5.0
# The expiry heap is rebuilt once it has more entries than this multiple of the
# records plus the extra entries.
MAX_EXPIRIES_PER_RECORD = 2
EXTRA_EXPIRIES = 1_000


class RequestKey(NamedTuple):
    """An idempotency key, qualified by its team."""

    team: str
    key: str


class Step(Enum):
    """How to handle a request that was just received."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a request: a complete response or an error.

    Attributes:
        status: HTTP status code of the response, 0 for an error.
        headers: Names and values of the response headers.
        body: Complete body of the response.
        error: Kind of the error, None for a response.
        detail: Description of the error.
        retry_after_s: Seconds after which to retry, None if unknown.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    error: ErrorKind | None = None
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def size_bytes(self) -> int:
        """Bytes counted for keeping this outcome."""
        header_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return RECORD_BYTES + header_bytes + len(self.body) + len(self.detail)


def error_outcome(error: HeatherhatchError) -> Outcome:
    """Return the outcome that represents an error."""
    return Outcome(
        error=error.kind, detail=error.detail, retry_after_s=error.retry_after_s
    )


UNDECIDED_KINDS = {
    ErrorKind.NO_STANDING: ErrorKind.KEY_UNDECIDED,
    ErrorKind.SHUTTING_DOWN: ErrorKind.KEY_UNDECIDED,
    ErrorKind.STORE_UNAVAILABLE: ErrorKind.KEY_UNDECIDED,
    ErrorKind.UNAUTHENTICATED: ErrorKind.KEY_UNVERIFIED,
}


def not_asked_error(error: HeatherhatchError) -> HeatherhatchError:
    """Return the error to report if the node that owns a key was not queried.

    A refusal before that point gives no information about earlier attempts under
    the same key, so it must not state that the work has not run.
    """
    kind = UNDECIDED_KINDS.get(error.kind)
    if kind is None:
        return error
    detail = f"{error.kind.value}: {error.detail or error.answer.title}"
    return HeatherhatchError(kind, detail, error.retry_after_s)


@dataclass(slots=True)
class Record:
    """Record of one idempotency key.

    Attributes:
        fingerprint: Digest of the request that was sent with the key.
        expires_s: When the record may be deleted, monotonic seconds.
        outcome: Outcome of the request, None while it runs.
    """

    fingerprint: bytes
    expires_s: float
    outcome: Outcome | None = None


class OutcomeTable:
    """Decides for each keyed request whether it runs, joins or is replayed.

    A key without a record has not run: records are deleted only when they
    expire, and an expired key is refused. When the memory limit is reached, new
    work is refused as not run and no record is evicted. Responses of requests
    that were running when the limit was reached are still stored.

    Args:
        limit_bytes: Maximum size of all records in bytes.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.records: dict[RequestKey, Record] = {}
        self.expiries: list[tuple[float, RequestKey]] = []

    def begin(
        self, key: RequestKey, fingerprint: bytes, expires_s: float, now_s: float
    ) -> Step:
        """Return how to handle a request, and create a record if the key is new.

        Args:
            key: Key of the request.
            fingerprint: Digest of the request.
            expires_s: When the key expires, monotonic seconds.
            now_s: Current monotonic time in seconds.

        Raises:
            HeatherhatchError: ``KEY_EXPIRED``, ``KEY_REUSED`` or
                ``OUTCOMES_FULL``.
        """
        self.expire(now_s)
        if now_s >= expires_s:
            raise HeatherhatchError(ErrorKind.KEY_EXPIRED)
        record = self.records.get(key)
        if record is None:
            return self._create_record(key, fingerprint, expires_s, now_s)
        if record.fingerprint != fingerprint:
            raise HeatherhatchError(ErrorKind.KEY_REUSED)
        return Step.JOIN if record.outcome is None else Step.REPLAY

    def finish(self, key: RequestKey, outcome: Outcome) -> None:
        """Store the outcome of a running request."""
        self.records[key].outcome = outcome
        self.used_bytes += outcome.size_bytes - RECORD_BYTES

    def withdraw(self, key: RequestKey) -> None:
        """Delete the record of a request that provably has not run."""
        del self.records[key]
        self.used_bytes -= RECORD_BYTES
        self._drop_stale_expiries()

    def knows(self, key: RequestKey) -> bool:
        """Return whether there is a record of a key."""
        return key in self.records

    def outcome_of(self, key: RequestKey) -> Outcome:
        """Return the outcome of a finished request."""
        return self.records[key].outcome

    def expire(self, now_s: float) -> None:
        """Delete the expired records of finished requests."""
        while self.expiries and self.expiries[0][0] <= now_s:
            _, key = heapq.heappop(self.expiries)
            record = self.records.get(key)
            if record is None or record.expires_s > now_s:
                continue
            if record.outcome is None:
                heapq.heappush(self.expiries, (now_s + RECHECK_S, key))
                continue
            del self.records[key]
            self.used_bytes -= record.outcome.size_bytes

    def _create_record(self, key, fingerprint, expires_s, now_s) -> Step:
        if self.used_bytes + RECORD_BYTES > self.limit_bytes:
            raise HeatherhatchError(
                ErrorKind.OUTCOMES_FULL, retry_after_s=self._seconds_until_expiry(now_s)
            )
        self.records[key] = Record(fingerprint, expires_s)
        self.used_bytes += RECORD_BYTES
        heapq.heappush(self.expiries, (expires_s, key))
        return Step.RUN

    def _drop_stale_expiries(self) -> None:
        # Withdrawn requests leave their entry in the expiry heap. Without a rebuild,
        # many refused requests would use memory that ``used_bytes`` does not count.
        if (
            len(self.expiries)
            > MAX_EXPIRIES_PER_RECORD * len(self.records) + EXTRA_EXPIRIES
        ):
            self.expiries = [
                (record.expires_s, key) for key, record in self.records.items()
            ]
            heapq.heapify(self.expiries)

    def _seconds_until_expiry(self, now_s: float) -> float:
        return self.expiries[0][0] - now_s if self.expiries else 1.0
