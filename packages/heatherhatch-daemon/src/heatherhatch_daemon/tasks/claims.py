"""Claims: which node a caller's own idempotency key belongs to."""

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
BATCH_SIZE = 64
ROTATION_PART = 0.25
RETRY_AFTER_S = 1.0
STORE_HINT = (
    "the store must record the key first; tickets (POST /tickets) need no store"
)


@dataclass(frozen=True, slots=True)
class Claim:
    """A node's claim on a key, as it stands in the store.

    Attributes:
        node: Name of the node.
        incarnation: Start of its process.
        peers: ``host:port`` where it hears its peers.
        fingerprint: Digest of the request, in hexadecimal.
    """

    node: str
    incarnation: str
    peers: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Wish:
    """A claim that waits for the store.

    Attributes:
        key: Store key.
        claim: What to write there.
        result: Gets the claim that stands there in the end.
    """

    key: str
    claim: Claim
    result: AsyncResult


class ClaimWriter:
    """Writes claims in groups: one store transaction carries many requests.

    Args:
        store: The platform's store.
        outcome_s: How long outcomes are kept, in seconds.
        clock: Returns monotonic seconds.
    """

    def __init__(self, store: Store, outcome_s: float, clock: Callable[[], float]):
        self.store = store
        self.outcome_s = outcome_s
        self.clock = clock
        self.wishes: Queue[Wish] = Queue()
        self.lease = 0
        self.lease_until_s = float("-inf")
        self.greenlet: gevent.Greenlet | None = None

    def claim(self, team: str, key: str, claim: Claim, deadline_s: float) -> Claim:
        """Return the claim that stands in the store for a key.

        Raises:
            HeatherhatchError: ``STORE_UNAVAILABLE``; nothing was sent then.
        """
        wish = Wish(f"{CLAIMS_PREFIX}{team}/{key}", claim, AsyncResult())
        self.wishes.put(wish)
        if self.greenlet is None or self.greenlet.dead:
            self.greenlet = gevent.spawn(self._run)
        left = max(0.0, deadline_s - self.clock())
        try:
            return wish.result.get(timeout=left)
        except (StoreError, gevent.Timeout) as error:
            raise HeatherhatchError(
                ErrorKind.STORE_UNAVAILABLE, STORE_HINT, RETRY_AFTER_S
            ) from error

    def _run(self) -> None:
        while not self.wishes.empty():
            batch = [self.wishes.get()]
            while len(batch) < BATCH_SIZE and not self.wishes.empty():
                batch.append(self.wishes.get())
            self._settle_batch(batch)

    def _settle_batch(self, batch: list[Wish]) -> None:
        try:
            self._renew_lease()
            self._settle({wish.key: wish for wish in batch})
            for wish in batch:
                if not wish.result.ready():
                    # Its key stood twice in the batch.
                    wish.result.set(self._read(wish))
        except Exception as error:
            failure = (
                error if isinstance(error, StoreError) else StoreError(repr(error))
            )
            for wish in batch:
                if not wish.result.ready():
                    wish.result.set_exception(failure)

    def _settle(self, wishes: dict[str, Wish]) -> None:
        """Claim all of some keys; halve the group as long as one is taken."""
        group = list(wishes.values())
        if self._write(group):
            for wish in group:
                wish.result.set(wish.claim)
        elif len(group) == 1:
            group[0].result.set(self._read(group[0]))
        else:
            middle = len(group) // 2
            self._settle({wish.key: wish for wish in group[:middle]})
            self._settle({wish.key: wish for wish in group[middle:]})

    def _write(self, group: list[Wish]) -> bool:
        transaction = Transaction(
            expects=tuple(Expect(wish.key, 0) for wish in group),
            puts=tuple(
                Put(wish.key, encode_json(wish.claim), self.lease) for wish in group
            ),
        )
        try:
            return self.store.transact(transaction).succeeded
        except StoreError as error:
            if not error.maybe_applied:
                raise
        # The answer is lost, so each key is read back. A claim that names this
        # process is its own, whichever write put it there.
        return False

    def _read(self, wish: Wish) -> Claim:
        entry = self.store.get(wish.key)
        if entry is None:
            # The lease may have ended in an outage; the next group gets another.
            self.lease_until_s = float("-inf")
            raise StoreError("the claim is not there")
        return decode_json(entry.value, Claim)

    def _renew_lease(self) -> None:
        """Take a new lease if claims under the present one would end too early."""
        if self.clock() < self.lease_until_s:
            return
        rotation_s = ROTATION_PART * self.outcome_s
        asked = self.clock()
        self.lease = self.store.grant_lease(
            round(claim_lease_s(self.outcome_s) + rotation_s) + 1
        )
        self.lease_until_s = asked + rotation_s
