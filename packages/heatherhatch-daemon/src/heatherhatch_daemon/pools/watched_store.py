"""Store wrapper that aborts stuck calls once the store responds again."""

from collections.abc import Callable
from typing import TypeVar

import gevent

from heatherhatch_core.exceptions import LeaseExpiredError, RevisionCompactedError

from ..events import Event, log
from ..tasks.task import Task
from ..transport.request_trace import Stage, record_store_call
from ..transport.store import (
    Changes,
    Entry,
    Outcome,
    PendingCalls,
    PolledStore,
    Snapshot,
    Transaction,
)
from .clock import now_s

T = TypeVar("T")

# Probe after this silence; lease renewals alone get two responses in it.
QUIET_S = 1.0
PROBE_PAUSE_S = 0.15  # pause between two probes of a store that does not respond
# Calls that began this shortly before a successful probe are not aborted.
ABORT_MARGIN_S = 0.05


class WatchedStore(Task):
    """Forwards calls to the store, and probes it while no call is answered.

    A call that was sent while the store did not respond would wait for its whole
    timeout, even after the store has recovered. Once a probe is answered, calls
    that were sent before it are aborted, so that their callers retry them.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: PolledStore):
        super().__init__("watched store", PROBE_PAUSE_S, now_s)
        self.store = store
        self.answered_s = now_s()
        self.lost = False

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        return record_store_call(
            Stage.STORE_READ, key, lambda: self._forward(lambda: self.store.get(key))
        )

    def range(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        return self._forward(lambda: self.store.range(prefix))

    def transact(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction."""
        return record_store_call(
            Stage.STORE_WRITE,
            _first_key(transaction),
            lambda: self._forward(lambda: self.store.transact(transaction)),
        )

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        return self._forward(lambda: self.store.grant_lease(ttl_s))

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        return self._forward(lambda: self.store.keep_lease(lease))

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._forward(lambda: self.store.revoke_lease(lease))

    def poll(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first."""
        return self._forward(lambda: self.store.poll(prefix, revision, wait_s))

    def is_receiving(self, prefix: str) -> bool:
        """Return whether a large change under a prefix is being received."""
        return self.store.is_receiving(prefix)

    def pending(self) -> PendingCalls:
        """Return the calls that wait for an answer."""
        return self.store.pending()

    def _forward(self, call: Callable[[], T]) -> T:
        try:
            answer = call()
        except (LeaseExpiredError, RevisionCompactedError):
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
        aborted = self.store.abort_overdue(age_s + ABORT_MARGIN_S)
        log(Event.STORE_BACK, after_s=round(silent_s, 2), calls_cut=aborted)

    def step(self) -> None:
        """Probe the store if it has not answered any call for `QUIET_S`."""
        silent_s = now_s() - self.answered_s
        if silent_s < QUIET_S:
            return
        if not self.lost:
            self.lost = True
            log(Event.STORE_LOST, silent_s=round(silent_s, 2))
        # A probe that hangs must not delay the next one.
        gevent.spawn(self._probe)

    def _probe(self) -> None:
        sent_s = now_s()
        if self.store.is_available():
            self._note_answer(now_s() - sent_s)


def _first_key(transaction: Transaction) -> str:
    """Return the key that names a transaction in the log; empty if it has none."""
    for item in (*transaction.puts, *transaction.expects):
        return item.key
    return transaction.deletes[0] if transaction.deletes else ""
