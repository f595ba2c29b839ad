"""Claims of this node on roles, under one lease of the store."""

import zlib
from collections.abc import Callable

import gevent

from heatherhatch_core.coordination.scheduler.rules import CLOCK_DRIFT
from heatherhatch_core.exceptions import LeaseGoneError, StoreError

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Put, Transaction
from .capacity import PLAIN_NODE, NodeCapacity
from .clock import now_s
from .feed import Feed
from .keys import CLAIM_PREFIX, claim_key

TTL_S = 1.5  # a lost holder's roles are free after this time; Rules.unfenced_s counts
# on a former holder to renew leases for no more than RENEW_ALONE_S in all
RENEW_S = 0.3  # a slow store still answers two renewals in the life of the lease
TURNED_AWAY_S = 1.0  # a node whose polls fail for so long gives its roles up
LOOK_S = 0.1  # pause between two looks at free roles
SPREAD_S = 0.05  # nodes that are loaded alike are spread over this time


class Claims:
    """Takes free roles, keeps them, and gives them up at the end.

    The fencing token of a role is the revision at which its claim was written,
    so it rises with each holder.

    Args:
        store: The platform's store.
        node: Name of the node; a new process of the same name replaces the old.
        life: Distinguishes this process from earlier ones of the same name.
        roles: Returns the roles that exist now.
        on_taken: Called with a role and its token.
        on_lost: Called with a role.
        capacity: What this node can carry; those that carry more come first.
    """

    def __init__(
        self,
        store: PolledStore,
        node: str,
        life: str,
        roles: Callable[[], list[str]],
        on_taken: Callable[[str, int], None],
        on_lost: Callable[[str], None],
        capacity: NodeCapacity = PLAIN_NODE,
    ):
        self.store = store
        self.node = node
        self.value = f"{node}/{life}".encode()
        self.roles = roles
        self.on_taken = on_taken
        self.on_lost = on_lost
        self.capacity = capacity
        self.lease = 0
        self.confirmed_s = float("-inf")
        self.renewing_since_s = float("inf")
        self.held: dict[str, int] = {}
        self.dropped: dict[str, int] = {}
        self.holders: dict[str, Entry] = {}
        self.free_since_s: dict[str, float] = {}
        self.ending = False
        self.greenlets: list[gevent.Greenlet] = []
        self.feed = Feed(store, CLAIM_PREFIX, self._see, self._miss)

    def start(self) -> None:
        """Begin to look for roles."""
        self.feed.start()
        self.greenlets = [gevent.spawn(self._renew_loop), gevent.spawn(self._look_loop)]

    def token(self, role: str) -> int:
        """Return the token of a role that is held, else 0."""
        return self.held.get(role, 0)

    def holds(self, role: str) -> bool:
        """Tell whether a role surely is this node's at this moment."""
        valid_until_s = self.confirmed_s + TTL_S * (1 - CLOCK_DRIFT)
        return role in self.held and now_s() < valid_until_s

    def expect(self, role: str) -> Expect:
        """Return the condition that fails once another node has the role."""
        return Expect(claim_key(role), self.held.get(role, -1))

    def drop(self, role: str, reason: str) -> None:
        """Let go of a role that another node has taken."""
        token = self.held.pop(role, None)
        if token is not None:
            self.dropped[role] = token
            log(Event.ROLE_LOST, role=role, token=token, reason=reason)
            self.on_lost(role)

    def give_up(self, role: str, reason: str) -> None:
        """Let go of a role that this node still has, so that it is taken anew."""
        transaction = Transaction((self.expect(role),), (), (claim_key(role),))
        self.drop(role, reason)
        self._release(transaction)

    def release_all(self) -> None:
        """Give all roles up at once, so that others need not wait."""
        self.ending = True
        self.feed.stop()
        gevent.killall(self.greenlets, block=False)
        held = list(self.held)
        expects = tuple(self.expect(role) for role in held)
        keys = tuple(claim_key(role) for role in held)
        for role in held:
            self.drop(role, "this node ends")
        if not held:
            return
        self._release(Transaction(expects, (), keys))

    def _release(self, transaction: Transaction) -> None:
        try:
            self.store.transact(transaction)
        except StoreError as error:
            # The claims lapse with their lease.
            log(Event.WRITE_FAILED, what="release of claims", error=str(error))

    def _see(self, entry: Entry) -> None:
        role = entry.key.removeprefix(CLAIM_PREFIX)
        self.holders[role] = entry
        self.free_since_s.pop(role, None)
        if entry.value == self.value:
            # Also a take whose answer was lost, or that was done late.
            self._hold(role, entry.revision)
        elif role in self.held and entry.revision > self.held[role]:
            self.drop(role, f"taken by {entry.value.decode(errors='replace')}")

    def _miss(self, key: str) -> None:
        role = key.removeprefix(CLAIM_PREFIX)
        self.holders.pop(role, None)
        self.free_since_s[role] = now_s()
        if role in self.held:
            self.drop(role, "the claim lapsed")

    def _renew_loop(self) -> None:
        while True:
            try:
                self._renew()
            except StoreError:
                # The feeds log that the store is away; holds() bounds the roles.
                self.renewing_since_s = float("inf")
                gevent.sleep(LOOK_S)
                continue
            gevent.sleep(RENEW_S)

    def _renew(self) -> None:
        asked_s = now_s()
        if self.lease and not self.store.keep_lease(self.lease):
            self.lease = 0
            for role in list(self.held):
                self.drop(role, "the lease lapsed")
        self.renewing_since_s = min(self.renewing_since_s, asked_s)
        since_s = max(self.feed.failing_since_s, self.renewing_since_s)
        if self.lease and asked_s - since_s > TURNED_AWAY_S:
            # A node whose lease is renewed while its other calls are refused
            # would keep roles that it can't fill. A store that is away for all
            # renews nothing: then roles are kept until it is back.
            self._leave("the store turns this node away")
            return
        if not self.lease:
            self.lease = self.store.grant_lease(TTL_S)
        self.confirmed_s = asked_s

    def _leave(self, reason: str) -> None:
        lease, self.lease = self.lease, 0
        for role in list(self.held):
            self.drop(role, reason)
        if not lease:
            return
        try:
            self.store.revoke_lease(lease)
        except StoreError as error:
            # It lapses by itself.
            log(Event.WRITE_FAILED, what="end of the lease", error=str(error))

    def _look_loop(self) -> None:
        pause_s = LOOK_S
        while True:
            gevent.sleep(pause_s)
            pause_s = LOOK_S
            if not self.lease or not self.feed.loaded:
                continue
            for role in self.roles():
                if self.ending:
                    return
                if role in self.held:
                    continue
                left_s = self._due_s(role) - now_s()
                if left_s > 0:
                    # The order of the nodes must not depend on when each looks.
                    pause_s = min(pause_s, left_s)
                    continue
                try:
                    self._take(role)
                except StoreError:
                    gevent.sleep(LOOK_S)

    def _due_s(self, role: str) -> float:
        """Return when this node may take a role; inf while another has it."""
        holder = self.holders.get(role)
        if holder is not None:
            # An earlier process of this node is surely gone. And a claim that this
            # process gave up, but could not delete, lives as long as its lease.
            own = holder.value.rpartition(b"/")[0] == self.node.encode()
            return float("-inf") if own else float("inf")
        since_s = self.free_since_s.setdefault(role, now_s())
        share = zlib.crc32(f"{role}@{self.node}".encode()) / 2**32
        return since_s + self.capacity.wait_s(len(self.held)) + SPREAD_S * share

    def _take(self, role: str) -> None:
        lease = self.lease
        if not lease:
            # Lost since this round began; a claim without a lease would stay.
            return
        key = claim_key(role)
        holder = self.holders.get(role)
        expect = Expect(key, holder.revision if holder else 0)
        put = Put(key, self.value, lease)
        try:
            outcome = self.store.transact(Transaction((expect,), (put,)))
        except LeaseGoneError:
            if self.lease == lease:
                self.lease = 0
            return
        if outcome.succeeded:
            self._hold(role, outcome.revision)
            return
        # The feed is behind; what the store shows instead is as good.
        if not outcome.entries:
            self._miss(key)
        for entry in outcome.entries:
            self._see(entry)

    def _hold(self, role: str, token: int) -> None:
        # Orders under a token that was dropped may still be on their way.
        known = max(self.held.get(role, 0), self.dropped.get(role, 0))
        if self.ending or known >= token:
            return
        self.held[role] = token
        log(Event.ROLE_TAKEN, role=role, token=token)
        self.on_taken(role, token)
