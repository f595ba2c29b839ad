"""Removes the status records of jobs that ended long ago."""

from collections.abc import Callable
from dataclasses import asdict, dataclass

import gevent

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
from heatherhatch_core.state.work import JobStatus

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Transaction
from .clock import now_s, wall_s
from .keys import STATUS_PREFIX
from .supervision import spawn_supervised

SWEEP_INTERVAL_S = 60.0
CLOCK_MARGIN_S = 60.0  # clocks of instances differ, and removal is not urgent
# A condition and a deletion each; a transaction takes 32 in all.
MAX_KEYS_PER_TRANSACTION = 15


@dataclass(slots=True)
class SweepReport:
    """How far a sweep has come; for its log line.

    Attributes:
        records: Number of records read.
        bytes: Size of their keys and values.
        read_s: Time that the read took, seconds; None if it failed.
        removed: Number of records removed.
    """

    records: int = 0
    bytes: int = 0
    read_s: float | None = None
    removed: int = 0


class Sweeper:
    """Removes the status of each ended job once its retention time is over.

    Args:
        store: The platform's store.
        claim: Returns the transaction condition that the coordinator's claim is
            held.
        keep_s: How long callers can query the status of an ended job, seconds.
    """

    def __init__(self, store: PolledStore, claim: Callable[[], Expect], keep_s: float):
        self.store = store
        self.claim = claim
        self.keep_s = keep_s
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the periodic sweeps."""
        self.greenlet = spawn_supervised("sweeper", self._run)

    def stop(self) -> None:
        """Stop the periodic sweeps immediately."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def sweep(self) -> int:
        """Remove the records past their retention time; return their number.

        Raises:
            StoreError: If the store does not answer.
        """
        started_s = now_s()
        report = SweepReport()
        try:
            self._sweep(report, started_s)
        finally:
            took_s = round(now_s() - started_s, 3)
            log(Event.SWEPT, **asdict(report), took_s=took_s)
        return report.removed

    def _sweep(self, report: SweepReport, started_s: float) -> None:
        entries = self.store.range(STATUS_PREFIX).entries
        report.read_s = round(now_s() - started_s, 3)
        report.records = len(entries)
        report.bytes = sum(len(item.key) + len(item.value) for item in entries)
        expired = [entry for entry in entries if self._is_expired(entry)]
        for start in range(0, len(expired), MAX_KEYS_PER_TRANSACTION):
            batch = expired[start : start + MAX_KEYS_PER_TRANSACTION]
            expects = [Expect(entry.key, entry.revision) for entry in batch]
            keys = tuple(entry.key for entry in batch)
            outcome = self.store.transact(
                Transaction((self.claim(), *expects), (), keys)
            )
            report.removed += len(batch) if outcome.succeeded else 0

    def _is_expired(self, entry: Entry) -> bool:
        try:
            status = decode_json(entry.value, JobStatus)
        except HeatherhatchError as error:
            log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)
            return False
        age_s = wall_s() - status.ended_s
        return status.phase.final and age_s > self.keep_s + CLOCK_MARGIN_S

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            try:
                self.sweep()
            except StoreError as error:
                log(Event.WRITE_FAILED, what="sweep", error=str(error))
