"""What the backend servers of a trial did, as one record."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a request.

    Attributes:
        backend: Name of the backend server.
        request_id: Id that the caller gave.
        team: Team that the caller named for the trial.
        at_s: Seconds since the epoch.
    """

    backend: str
    request_id: str
    team: str
    at_s: float


@dataclass(frozen=True, slots=True)
class LedgerPage:
    """A copy of the record.

    Attributes:
        starts: Every start in order.
        peaks: Most requests that ran at once, by team, over all backend servers.
    """

    starts: tuple[Start, ...]
    peaks: dict[str, int]


class Ledger:
    """Counts what runs at once over all backend servers of one process."""

    def __init__(self):
        self.starts: list[Start] = []
        self.running: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()

    @contextmanager
    def work(self, backend: str, request_id: str, team: str) -> Iterator[None]:
        """Record one execution for as long as it lasts."""
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
