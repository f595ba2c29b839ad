"""Claim of the one node that dispatches long jobs or carries out the plan."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.coordination.attempts import CLOCK_DRIFT

from ..events import Event, log
from ..transport.store import Expect, Put, Store, Transaction

CLAIM_KEY = "dispatcher"
TOKEN_BYTES = 8
RENEWALS_PER_TTL = 3


@dataclass(frozen=True, slots=True)
class ClaimEvents:
    """Events that are logged when the holder of a claim changes.

    Attributes:
        acquired: This node has acquired the claim.
        lost: The claim of this node has expired.
    """

    acquired: Event = Event.CLAIM_TAKEN
    lost: Event = Event.CLAIM_LOST


DISPATCHER_EVENTS = ClaimEvents()


class Claim:
    """A store lease that one node holds at a time.

    Every write of the holder has the claim's revision as a condition, so that the
    writes of a former holder fail. Its messages to workers are bounded by ``holds``,
    which is measured by the node's own clock from the moment at which the last
    successful renewal was sent.

    Args:
        store: The platform's store.
        ttl_s: Time to live of the claim without renewal, whole seconds.
        poll_s: Seconds between two polls of a node that does not hold the claim.
        settle_s: Seconds for which ``may_acquire`` must have been true without a
            break, so that a former holder that continues without the store has
            noticed that the store is back.
        may_acquire: Returns whether this node may reclaim expired entries.
        clock: Returns monotonic seconds.
        key: Key of the claim in the store.
        events: Events that are logged when the holder changes.
        next_poll_in_s: Returns the seconds until the next poll after one that
            found another holder; None for ``poll_s``.

    Attributes:
        token: Value of the key by which this node recognises its own claim.
        lease: Id of the store lease, 0 if there is none.
        revision: Store revision of the claim, 0 if this node does not hold it.
        claimed_s: When this node acquired the claim, monotonic seconds.
        valid_until_s: When the claim expires by this node's clock, monotonic
            seconds.
        next_action_s: When the next renewal or poll is due, monotonic seconds.
        allowed_since_s: Since when ``may_acquire`` has been true, monotonic
            seconds; plus infinity if it is false.
    """

    def __init__(
        self,
        store: Store,
        ttl_s: int,
        poll_s: float,
        settle_s: float,
        may_acquire: Callable[[], bool],
        clock: Callable[[], float],
        key: str = CLAIM_KEY,
        events: ClaimEvents = DISPATCHER_EVENTS,
        next_poll_in_s: Callable[[], float] | None = None,
    ):
        self.store = store
        self.key = key
        self.events = events
        self.next_poll_in_s = next_poll_in_s
        self.ttl_s = ttl_s
        self.poll_s = poll_s
        self.settle_s = settle_s
        self.may_acquire = may_acquire
        self.clock = clock
        self.token = secrets.token_hex(TOKEN_BYTES).encode()
        self.lease = 0
        self.revision = 0
        self.claimed_s = float("-inf")
        self.valid_until_s = float("-inf")
        self.next_action_s = float("-inf")
        self.allowed_since_s = float("inf")

    @property
    def expect(self) -> Expect:
        """Condition that fails once another node has acquired the claim."""
        return Expect(self.key, self.revision)

    def holds(self) -> bool:
        """Return whether this node certainly holds the claim now."""
        return self.revision != 0 and self.clock() < self.valid_until_s

    def renew_or_acquire(self) -> bool:
        """Renew or acquire the claim if that is due; return whether it is held.

        Raises:
            StoreError: If the store does not respond.
        """
        self._update_allowed_since()
        if self.clock() >= self.next_action_s:
            if self.revision:
                self._renew()
            else:
                self._acquire()
        return self.holds()

    def release(self) -> None:
        """Release the claim, so that the next holder does not have to wait."""
        if self.lease:
            self.store.revoke_lease(self.lease)
        self._clear()

    def _update_allowed_since(self) -> None:
        if not self.may_acquire():
            self.allowed_since_s = float("inf")
        elif self.allowed_since_s == float("inf"):
            self.allowed_since_s = self.clock()

    def _renew(self) -> None:
        sent_s = self.clock()
        if not self.store.keep_lease(self.lease):
            log(self.events.lost)
            self._clear()
            return
        self._extend(sent_s)

    def _acquire(self) -> None:
        if self.clock() - self.allowed_since_s < self.settle_s:
            return
        sent_s = self.clock()
        self.next_action_s = sent_s + self.poll_s
        entry = self.store.get(self.key)
        if entry is not None:
            # The write that acquired the claim may have succeeded although its
            # response was lost.
            if entry.value == self.token and entry.lease == self.lease:
                self._complete_acquisition(entry.revision, sent_s)
            elif self.next_poll_in_s is not None:
                # The longer interval, during which other nodes poll, applies only
                # after a poll that got a response.
                self.next_action_s = sent_s + self.next_poll_in_s()
            return
        sent_s = self.clock()
        self.lease = self.store.grant_lease(self.ttl_s)
        put = Put(self.key, self.token, self.lease)
        outcome = self.store.transact(Transaction((Expect(self.key, 0),), (put,)))
        if outcome.succeeded:
            self._complete_acquisition(outcome.revision, sent_s)

    def _complete_acquisition(self, revision: int, sent_s: float) -> None:
        # A claim that was found by a read is valid only once it is renewed.
        if not self.store.keep_lease(self.lease):
            return
        self.revision = revision
        self.claimed_s = self.clock()
        self._extend(sent_s)
        log(self.events.acquired, revision=revision)

    def _extend(self, sent_s: float) -> None:
        self.valid_until_s = sent_s + self.ttl_s * (1 - CLOCK_DRIFT)
        self.next_action_s = sent_s + self.ttl_s / RENEWALS_PER_TTL

    def _clear(self) -> None:
        self.lease = 0
        self.revision = 0
        self.valid_until_s = float("-inf")
        self.next_action_s = float("-inf")
