"""Store wrapper that sends calls again whose answer is late."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

import gevent

from heatherhatch_core.coordination.hedging import HedgePolicy
from heatherhatch_core.exceptions import StoreError

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.store import (
    Changes,
    Entry,
    HedgeableStore,
    Outcome,
    PendingCalls,
    Snapshot,
    Transaction,
)
from .caller_calls import is_callers_read
from .clock import now_s
from .hedged_call import HedgeContext, HedgedCall
from .repeatable_writes import encoded_bytes, resolve, takes_effect_once

T = TypeVar("T")

# A link of 5 Mbit/s carries this in 26 ms, less than the shortest delay of a hedge.
MAX_HEDGED_BYTES = 16_384
LOG_INTERVAL_S = 1.0
# An instance doesn't know how many there are; the largest deployment has 97.
MAX_INSTANCES = 128
ROLES_FRACTION = 0.4  # of the rates; holders of roles write most


@dataclass(frozen=True, slots=True)
class HedgeRates:
    """Hedges that all instances together may send in a second; 0 for none.

    Attributes:
        writes_per_s: Hedges of transactions and renewals of leases.
        reads_per_s: Hedges of reads of one key.
    """

    writes_per_s: float = 0.0
    reads_per_s: float = 0.0

    @property
    def enabled(self) -> bool:
        """True if any call may be hedged."""
        return self.writes_per_s > 0.0 or self.reads_per_s > 0.0


NO_HEDGES = HedgeRates()


class HedgedStore:
    """Forwards calls to the store, and hedges those that may be sent twice.

    These are reads of small records, renewals of leases, and small transactions of
    which two sends cannot both take effect. Ranges and polls are sent once, and so
    is a check of the configuration, whose answer contains it if the check fails.

    Args:
        store: The platform's store.
        rates: Rates of hedges over all instances.
        share: Returns this instance's share of the rates, 0 to 1.
    """

    def __init__(
        self, store: HedgeableStore, rates: HedgeRates, share: Callable[[], float]
    ):
        self.store = store
        self.counts: Counter[str] = Counter()
        self.log_is_due = False
        self.writes = self._context("write", rates.writes_per_s, share)
        self.reads = self._context("read", rates.reads_per_s, share)

    def _context(
        self, kind: str, rate_per_s: float, share: Callable[[], float]
    ) -> HedgeContext:
        return HedgeContext(
            HedgePolicy(rate_per_s),
            share,
            self.store.is_answering,
            self.store.is_transferring,
            partial(self._count, kind),
            self._note_error,
        )

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        send = partial(self.store.get, key)
        if not is_callers_read(key):
            return self._send_once(send)
        return HedgedCall(send, self.reads).run()

    def transact(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction."""
        send = partial(self.store.transact, transaction)
        if (
            not takes_effect_once(transaction)
            or encoded_bytes(transaction) > MAX_HEDGED_BYTES
        ):
            return self._send_once(send)
        call = HedgedCall(send, self.writes)
        outcome = call.run()
        # A condition may have failed because another send took effect.
        return resolve(transaction, outcome) if call.hedges else outcome

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        return HedgedCall(partial(self.store.keep_lease, lease), self.writes).run()

    def range(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        return self._send_once(partial(self.store.range, prefix))

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        return self._send_once(partial(self.store.grant_lease, ttl_s))

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._send_once(partial(self.store.revoke_lease, lease))

    def poll(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first."""
        return self._send_once(partial(self.store.poll, prefix, revision, wait_s))

    def is_available(self) -> bool:
        """Return whether the store responds to a small read now."""
        return self.store.is_available()

    def is_receiving(self, prefix: str) -> bool:
        """Return whether a large change under a prefix is being received."""
        return self.store.is_receiving(prefix)

    def abort_overdue(self, waited_s: float) -> int:
        """Abort calls that have waited ``waited_s`` or longer; return their number."""
        return self.store.abort_overdue(waited_s)

    def pending(self) -> PendingCalls:
        """Return the calls that wait for an answer."""
        return self.store.pending()

    def _send_once(self, send: Callable[[], T]) -> T:
        try:
            return send()
        except StoreError as error:
            self._note_error(error)
            raise

    def _note_error(self, error: StoreError) -> None:
        if error.rate_limited:
            self.writes.policy.note_rate_limit(now_s())
            self.reads.policy.note_rate_limit(now_s())

    def _count(self, kind: str, outcome: str, amount: int) -> None:
        METER.sink.count(Metric.HEDGES, amount, f"{kind}_{outcome}")
        self.counts[f"{kind}_{outcome}"] += amount
        if not self.log_is_due:
            self.log_is_due = True
            gevent.spawn_later(LOG_INTERVAL_S, self._log_counts)

    def _log_counts(self) -> None:
        """Log the outcomes of the last second in one line."""
        self.log_is_due = False
        counts, self.counts = self.counts, Counter()
        log(
            Event.DECIDED,
            what="calls to the store sent again",
            write_delay_s=self.writes.policy.delay_s(now_s()),
            read_delay_s=self.reads.policy.delay_s(now_s()),
            write_budget=round(self.writes.policy.budget, 1),
            write_loss_share=round(self.writes.policy.loss_share, 3),
            **dict(counts),
        )


def share_of_rate(held: int, existing: int) -> float:
    """Return an instance's share of the rates of hedges, so that all add up to 1.

    Args:
        held: Number of roles that the instance holds.
        existing: Number of roles that exist.
    """
    own = (1.0 - ROLES_FRACTION) / MAX_INSTANCES
    return own + (ROLES_FRACTION * min(1.0, held / existing) if existing else 0.0)
