"""Outcomes of keyed requests: each key runs at most once in one memory."""

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..exceptions import ErrorKind, HeatherhatchError

RECORD_BYTES = 500
RECHECK_S = 5.0
STALE_FACTOR = 2
STALE_ROOM = 1_000


class RequestKey(NamedTuple):
    """An idempotency key within its team."""

    team: str
    key: str


class Step(Enum):
    """What to do with a request that has just come."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended: a whole answer, or an error.

    Attributes:
        status: HTTP status code of the answer, 0 for an error.
        headers: Names and values of the answer.
        body: Content of the answer, complete.
        error: Kind of the error, None for an answer.
        detail: What happened, for an error.
        retry_after_s: When to try again, if that is known.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    error: ErrorKind | None = None
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def size_bytes(self) -> int:
        """Bytes that it takes to remember this outcome."""
        heads = sum(len(name) + len(value) for name, value in self.headers)
        return RECORD_BYTES + heads + len(self.body) + len(self.detail)


def outcome_of(error: HeatherhatchError) -> Outcome:
    """Return the outcome that an error is."""
    return Outcome(
        error=error.kind, detail=error.detail, retry_after_s=error.retry_after_s
    )


UNDECIDED_KINDS = {
    ErrorKind.NO_STANDING: ErrorKind.KEY_UNDECIDED,
    ErrorKind.SHUTTING_DOWN: ErrorKind.KEY_UNDECIDED,
    ErrorKind.STORE_UNAVAILABLE: ErrorKind.KEY_UNDECIDED,
    ErrorKind.UNAUTHENTICATED: ErrorKind.KEY_UNVERIFIED,
}


def undecided(error: HeatherhatchError) -> HeatherhatchError:
    """Return the error to show if a key's owner has not been asked.

    A refusal before that says nothing of earlier attempts under the same key,
    so it must not claim that the work has not run.
    """
    kind = UNDECIDED_KINDS.get(error.kind)
    if kind is None:
        return error
    detail = f"{error.kind.value}: {error.detail or error.answer.title}"
    return HeatherhatchError(kind, detail, error.retry_after_s)


@dataclass(slots=True)
class Record:
    """What is known of one key.

    Attributes:
        fingerprint: Digest of the request that the key came with.
        expires_s: When it may be forgotten, monotonic seconds.
        outcome: How it ended, None while it runs.
    """

    fingerprint: bytes
    expires_s: float
    outcome: Outcome | None = None


class OutcomeBook:
    """Decides for each keyed request whether it runs, joins or is replayed.

    A key without a record has not run: records are forgotten by time alone,
    and a key whose time is over is refused. When the memory is full, new work
    is refused as not run and nothing is forgotten. Answers of requests that
    were running when the bound was reached are still remembered.

    Args:
        limit_bytes: Bytes that all records may take.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.records: dict[RequestKey, Record] = {}
        self.expiries: list[tuple[float, RequestKey]] = []

    def begin(
        self, key: RequestKey, fingerprint: bytes, expires_s: float, now_s: float
    ) -> Step:
        """Return what to do with a request, and note that it runs if it is new.

        Args:
            key: The request's key.
            fingerprint: Digest of the request.
            expires_s: When the key's time is over, monotonic seconds.
            now_s: Monotonic seconds.

        Raises:
            HeatherhatchError: ``KEY_EXPIRED``, ``KEY_REUSED`` or
                ``OUTCOMES_FULL``.
        """
        self.expire(now_s)
        if now_s >= expires_s:
            raise HeatherhatchError(ErrorKind.KEY_EXPIRED)
        record = self.records.get(key)
        if record is None:
            return self._open(key, fingerprint, expires_s, now_s)
        if record.fingerprint != fingerprint:
            raise HeatherhatchError(ErrorKind.KEY_REUSED)
        return Step.JOIN if record.outcome is None else Step.REPLAY

    def finish(self, key: RequestKey, outcome: Outcome) -> None:
        """Remember how a running request ended."""
        self.records[key].outcome = outcome
        self.used_bytes += outcome.size_bytes - RECORD_BYTES

    def withdraw(self, key: RequestKey) -> None:
        """Forget a running request that provably has not run."""
        del self.records[key]
        self.used_bytes -= RECORD_BYTES
        self._drop_stale_expiries()

    def knows(self, key: RequestKey) -> bool:
        """Tell whether there is a record of a key."""
        return key in self.records

    def outcome_of(self, key: RequestKey) -> Outcome:
        """Return the outcome of a finished request."""
        return self.records[key].outcome

    def expire(self, now_s: float) -> None:
        """Forget finished requests whose time is over."""
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

    def _open(self, key, fingerprint, expires_s, now_s) -> Step:
        if self.used_bytes + RECORD_BYTES > self.limit_bytes:
            raise HeatherhatchError(
                ErrorKind.OUTCOMES_FULL, retry_after_s=self._seconds_to_room(now_s)
            )
        self.records[key] = Record(fingerprint, expires_s)
        self.used_bytes += RECORD_BYTES
        heapq.heappush(self.expiries, (expires_s, key))
        return Step.RUN

    def _drop_stale_expiries(self) -> None:
        # Requests that were refused leave their expiry behind; a flood of them
        # must not fill the memory that the records are counted in.
        if len(self.expiries) > STALE_FACTOR * len(self.records) + STALE_ROOM:
            self.expiries = [
                (record.expires_s, key) for key, record in self.records.items()
            ]
            heapq.heapify(self.expiries)

    def _seconds_to_room(self, now_s: float) -> float:
        return self.expiries[0][0] - now_s if self.expiries else 1.0
