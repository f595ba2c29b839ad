"""Claims of nodes on idempotency keys that callers generated."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.queue import Queue

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.caller_keys import claim_lease_s
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError

from ..transport.store import Expect, Put, Store, Transaction

CLAIMS_PREFIX = "claims/"
MAX_CLAIMS_PER_BATCH = 64
LEASE_ROTATION_FRACTION = 0.25
RETRY_AFTER_S = 1.0
STORE_HINT = (
    "the store must record the key first; tickets (POST /tickets) need no store"
)


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """A node's claim on a key, as stored.

    Attributes:
        node: Name of the node.
        incarnation: Incarnation of the node.
        peers: ``host:port`` on which the node listens for its peers.
        fingerprint: Digest of the request, in hexadecimal.
    """

    node: str
    incarnation: str
    peers: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim that has not been written yet.

    Attributes:
        key: Store key.
        claim: Value to write to the key.
        result: Receives the claim that the store holds for the key.
    """

    key: str
    claim: KeyClaim
    result: AsyncResult


class ClaimWriter:
    """Writes claims in batches, with many claims in one store transaction.

    Args:
        store: The platform's store.
        outcome_s: Retention time of outcomes, in seconds.
        clock: Returns monotonic seconds.

    Attributes:
        pending: Claims to write.
        lease: Id of the store lease under which claims are written.
        lease_until_s: Until when new claims may be written under the lease,
            monotonic seconds.
        greenlet: Greenlet that writes the pending claims, None before the first.
    """

    def __init__(self, store: Store, outcome_s: float, clock: Callable[[], float]):
        self.store = store
        self.outcome_s = outcome_s
        self.clock = clock
        self.pending: Queue[PendingClaim] = Queue()
        self.lease = 0
        self.lease_until_s = float("-inf")
        self.greenlet: gevent.Greenlet | None = None

    def claim(
        self, team: str, key: str, claim: KeyClaim, deadline_s: float
    ) -> KeyClaim:
        """Write a claim unless the key has one; return the claim in the store.

        Args:
            team: Team of the caller.
            key: Idempotency key.
            claim: Claim to write.
            deadline_s: When the result is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``STORE_UNAVAILABLE``; the request has then not
                been sent to any backend server.
        """
        item = PendingClaim(f"{CLAIMS_PREFIX}{team}/{key}", claim, AsyncResult())
        self.pending.put(item)
        if self.greenlet is None or self.greenlet.dead:
            self.greenlet = gevent.spawn(self._run)
        remaining_s = max(0.0, deadline_s - self.clock())
        try:
            return item.result.get(timeout=remaining_s)
        except (StoreError, gevent.Timeout) as error:
            raise HeatherhatchError(
                ErrorKind.STORE_UNAVAILABLE, STORE_HINT, RETRY_AFTER_S
            ) from error

    def _run(self) -> None:
        while not self.pending.empty():
            batch = [self.pending.get()]
            while len(batch) < MAX_CLAIMS_PER_BATCH and not self.pending.empty():
                batch.append(self.pending.get())
            self._write_batch(batch)

    def _write_batch(self, batch: list[PendingClaim]) -> None:
        try:
            self._renew_lease()
            self._claim_keys({item.key: item for item in batch})
            for item in batch:
                if not item.result.ready():
                    # The batch contained the key twice.
                    item.result.set(self._read(item))
        except Exception as error:
            failure = (
                error if isinstance(error, StoreError) else StoreError(repr(error))
            )
            for item in batch:
                if not item.result.ready():
                    item.result.set_exception(failure)

    def _claim_keys(self, pending: dict[str, PendingClaim]) -> None:
        """Claim all of the keys; halve the group while any key is claimed already."""
        group = list(pending.values())
        if self._try_write(group):
            for item in group:
                item.result.set(item.claim)
        elif len(group) == 1:
            group[0].result.set(self._read(group[0]))
        else:
            middle = len(group) // 2
            self._claim_keys({item.key: item for item in group[:middle]})
            self._claim_keys({item.key: item for item in group[middle:]})

    def _try_write(self, group: list[PendingClaim]) -> bool:
        transaction = Transaction(
            expects=tuple(Expect(item.key, 0) for item in group),
            puts=tuple(
                Put(item.key, encode_json(item.claim), self.lease) for item in group
            ),
        )
        try:
            return self.store.transact(transaction).succeeded
        except StoreError as error:
            if not error.maybe_applied:
                raise
        # The response is lost, so each key is read. A claim that names this process
        # belongs to it, whichever write created it.
        return False

    def _read(self, item: PendingClaim) -> KeyClaim:
        entry = self.store.get(item.key)
        if entry is None:
            # The lease may have expired in an outage; the next batch gets a new one.
            self.lease_until_s = float("-inf")
            raise StoreError("the claim is not in the store")
        return decode_json(entry.value, KeyClaim)

    def _renew_lease(self) -> None:
        """Grant a new lease if claims under the current one would expire too early."""
        if self.clock() < self.lease_until_s:
            return
        rotation_s = LEASE_ROTATION_FRACTION * self.outcome_s
        sent_s = self.clock()
        self.lease = self.store.grant_lease(
            round(claim_lease_s(self.outcome_s) + rotation_s) + 1
        )
        self.lease_until_s = sent_s + rotation_s
