"""The store, watched for the moment at which it answers again."""

from collections.abc import Callable
from typing import TypeVar

import gevent

from heatherhatch_core.exceptions import HistoryLostError, LeaseGoneError

from ..events import Event, log
from ..tasks.task import Task
from ..transport.store import (
    Changes,
    Entry,
    Outcome,
    PolledStore,
    Snapshot,
    Transaction,
)
from .clock import now_s

T = TypeVar("T")

QUIET_S = 1.0  # renewals alone bring two answers in this time
PROBE_PAUSE_S = 0.15  # pause between two probes of a silent store
FRESH_S = 0.05  # calls begun this shortly before a probe that was answered live on


class WatchedStore(Task):
    """Passes calls on; while none is answered, it probes.

    A call that a silent store swallowed would wait for its whole time, also
    when the store is long back. Once a probe is answered, calls that were sent
    before it are cut, so that their callers repeat them.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: PolledStore):
        super().__init__("watched store", PROBE_PAUSE_S, now_s)
        self.store = store
        self.answered_s = now_s()
        self.lost = False

    def get(self, key: str) -> Entry | None:
        """Return one entry, or None."""
        return self._pass_on(lambda: self.store.get(key))

    def range(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        return self._pass_on(lambda: self.store.range(prefix))

    def transact(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction."""
        return self._pass_on(lambda: self.store.transact(transaction))

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        return self._pass_on(lambda: self.store.grant_lease(ttl_s))

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it is gone."""
        return self._pass_on(lambda: self.store.keep_lease(lease))

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._pass_on(lambda: self.store.revoke_lease(lease))

    def poll(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first."""
        return self._pass_on(lambda: self.store.poll(prefix, revision, wait_s))

    def _pass_on(self, call: Callable[[], T]) -> T:
        try:
            answer = call()
        except (LeaseGoneError, HistoryLostError):
            self._note_answer(0.0)
            raise
        self._note_answer(0.0)
        return answer

    def _note_answer(self, age_s: float) -> None:
        silent_s = now_s() - self.answered_s
        self.answered_s = now_s()
        if not self.lost:
            return
        self.lost = False
        cut = self.store.cut(age_s + FRESH_S)
        log(Event.STORE_BACK, after_s=round(silent_s, 2), calls_cut=cut)

    def step(self) -> None:
        """Probe the store if it has answered nothing for a while."""
        silent_s = now_s() - self.answered_s
        if silent_s < QUIET_S:
            return
        if not self.lost:
            self.lost = True
            log(Event.STORE_LOST, silent_s=round(silent_s, 2))
        # One that hangs must not hold up the next.
        gevent.spawn(self._probe)

    def _probe(self) -> None:
        sent_s = now_s()
        if self.store.answers():
            self._note_answer(now_s() - sent_s)
