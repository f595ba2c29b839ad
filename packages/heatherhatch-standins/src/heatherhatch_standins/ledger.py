"""Record of the requests that the backend servers of a trial executed."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Start:
    """Start of the execution of one request.

    Attributes:
        backend: Name of the backend server.
        request_id: Id that the caller sent.
        team: Team that the caller sent in the header of the trial, empty if none.
        at_s: Seconds since the epoch.
    """

    backend: str
    request_id: str
    team: str
    at_s: float


@dataclass(frozen=True, slots=True)
class LedgerPage:
    """Copy of the record.

    Attributes:
        starts: All starts in order of time.
        peaks: Peak number of concurrent requests over all backend servers, by team.
    """

    starts: tuple[Start, ...]
    peaks: dict[str, int]


class Ledger:
    """Records starts and concurrent requests over all backend servers of a process."""

    def __init__(self):
        self.starts: list[Start] = []
        self.running: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()

    @contextmanager
    def work(self, backend: str, request_id: str, team: str) -> Iterator[None]:
        """Record one execution; it is counted as running until the context ends."""
        self.starts.append(Start(backend, request_id, team, time.time()))
        self.running[team] += 1
        self.peaks[team] = max(self.peaks[team], self.running[team])
        try:
            yield
        finally:
            self.running[team] -= 1

    def page(self) -> LedgerPage:
        """Return a copy of the record."""
        return LedgerPage(tuple(self.starts), dict(self.peaks))
