"""The claim of the one node that dispatches long jobs, or holds the plan."""

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
    """What is logged when a claim changes hands.

    Attributes:
        taken: This node has it from now on.
        lost: It has lapsed.
    """

    taken: Event = Event.CLAIM_TAKEN
    lost: Event = Event.CLAIM_LOST


DISPATCHER_EVENTS = ClaimEvents()


class Claim:
    """A store lease that one node holds at a time.

    Every write of the holder states the claim's revision as a condition, so
    that a former holder's writes fail. Its messages to workers are bounded by
    ``holds``, counted by this node's own clock from the moment the last
    successful renewal was sent.

    Args:
        store: The platform's store.
        ttl_s: Life of the claim without renewal, whole seconds.
        look_s: Seconds between two looks of a node that does not hold it.
        settle_s: Seconds for which ``may_take`` must have held without a break,
            so that a former holder that goes on without the store has seen it.
        may_take: Tells whether this node may reclaim what lapsed.
        clock: Returns monotonic seconds.
        key: Key of the claim in the store.
        events: What is logged when it changes hands.
        next_look_s: Returns the seconds to the next look after one that found
            another holder; ``look_s`` if there is none.
    """

    def __init__(
        self,
        store: Store,
        ttl_s: int,
        look_s: float,
        settle_s: float,
        may_take: Callable[[], bool],
        clock: Callable[[], float],
        key: str = CLAIM_KEY,
        events: ClaimEvents = DISPATCHER_EVENTS,
        next_look_s: Callable[[], float] | None = None,
    ):
        self.store = store
        self.key = key
        self.events = events
        self.next_look_s = next_look_s
        self.ttl_s = ttl_s
        self.look_s = look_s
        self.settle_s = settle_s
        self.may_take = may_take
        self.clock = clock
        self.token = secrets.token_hex(TOKEN_BYTES).encode()
        self.lease = 0
        self.revision = 0
        self.claimed_s = float("-inf")
        self.valid_until_s = float("-inf")
        self.next_s = float("-inf")
        self.allowed_since_s = float("inf")

    @property
    def expect(self) -> Expect:
        """Condition that fails once another node has taken the claim."""
        return Expect(self.key, self.revision)

    def holds(self) -> bool:
        """Tell whether the claim surely is this node's at this moment."""
        return self.revision != 0 and self.clock() < self.valid_until_s

    def keep(self) -> bool:
        """Renew or take the claim if that is due; tell whether it holds.

        Raises:
            StoreError: If the store gives no answer.
        """
        self._note_allowed()
        if self.clock() >= self.next_s:
            if self.revision:
                self._renew()
            else:
                self._take()
        return self.holds()

    def release(self) -> None:
        """Give the claim up, so that the next node need not wait."""
        if self.lease:
            self.store.revoke_lease(self.lease)
        self._forget()

    def _note_allowed(self) -> None:
        if not self.may_take():
            self.allowed_since_s = float("inf")
        elif self.allowed_since_s == float("inf"):
            self.allowed_since_s = self.clock()

    def _renew(self) -> None:
        asked = self.clock()
        if not self.store.keep_lease(self.lease):
            log(self.events.lost)
            self._forget()
            return
        self._extend(asked)

    def _take(self) -> None:
        if self.clock() - self.allowed_since_s < self.settle_s:
            return
        asked = self.clock()
        self.next_s = asked + self.look_s
        entry = self.store.get(self.key)
        if entry is not None:
            # A take whose answer was lost shows here as this node's own.
            if entry.value == self.token and entry.lease == self.lease:
                self._taken(entry.revision, asked)
            elif self.next_look_s is not None:
                # Only a look that got its answer may stand for the others'.
                self.next_s = asked + self.next_look_s()
            return
        asked = self.clock()
        self.lease = self.store.grant_lease(self.ttl_s)
        put = Put(self.key, self.token, self.lease)
        outcome = self.store.transact(Transaction((Expect(self.key, 0),), (put,)))
        if outcome.succeeded:
            self._taken(outcome.revision, asked)

    def _taken(self, revision: int, asked: float) -> None:
        # A claim found by reading it back is valid only once it is renewed.
        if not self.store.keep_lease(self.lease):
            return
        self.revision = revision
        self.claimed_s = self.clock()
        self._extend(asked)
        log(self.events.taken, revision=revision)

    def _extend(self, asked: float) -> None:
        self.valid_until_s = asked + self.ttl_s * (1 - CLOCK_DRIFT)
        self.next_s = asked + self.ttl_s / RENEWALS_PER_TTL

    def _forget(self) -> None:
        self.lease = 0
        self.revision = 0
        self.valid_until_s = float("-inf")
        self.next_s = float("-inf")
