"""Removes the records of jobs that ended long ago."""

from collections.abc import Callable

import gevent

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
from heatherhatch_core.state.work import JobStatus

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Transaction
from .clock import wall_s
from .keys import STATUS_PREFIX

PERIOD_S = 60.0  # time between two sweeps
MARGIN_S = 60.0  # clocks of instances differ, and nobody hurries
KEYS_MOST = 15  # a condition and a deletion for each, of the store's 32


class Sweeper:
    """Keeps what callers see of a job for its time, and no longer.

    Args:
        store: The platform's store.
        claim: Returns the condition of the coordinator's claim.
        keep_s: How long callers may ask for a job that ended, seconds.
    """

    def __init__(self, store: PolledStore, claim: Callable[[], Expect], keep_s: float):
        self.store = store
        self.claim = claim
        self.keep_s = keep_s
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to sweep."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop at once."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def sweep(self) -> int:
        """Remove what is old; return the number of records.

        Raises:
            StoreError: If the store gives no answer.
        """
        entries = self.store.range(STATUS_PREFIX).entries
        old = [entry for entry in entries if self._is_old(entry)]
        removed = 0
        for begin in range(0, len(old), KEYS_MOST):
            part = old[begin : begin + KEYS_MOST]
            expects = [Expect(entry.key, entry.revision) for entry in part]
            keys = tuple(entry.key for entry in part)
            outcome = self.store.transact(
                Transaction((self.claim(), *expects), (), keys)
            )
            removed += len(part) if outcome.succeeded else 0
        return removed

    def _is_old(self, entry: Entry) -> bool:
        try:
            status = decode_json(entry.value, JobStatus)
        except HeatherhatchError as error:
            log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)
            return False
        age_s = wall_s() - status.ended_s
        return status.phase.final and age_s > self.keep_s + MARGIN_S

    def _run(self) -> None:
        while True:
            gevent.sleep(PERIOD_S)
            try:
                removed = self.sweep()
            except StoreError as error:
                log(Event.WRITE_FAILED, what="sweep", error=str(error))
                continue
            log(Event.DECIDED, what="swept", removed=removed)
