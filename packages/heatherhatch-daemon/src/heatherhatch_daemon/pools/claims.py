"""Claims of this node on roles, kept alive by one lease in the store."""

from collections.abc import Callable

import gevent

from heatherhatch_core.coordination.scheduler.rules import CLOCK_DRIFT
from heatherhatch_core.exceptions import LeaseExpiredError, StoreError

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Put, Transaction
from .capacity import DEFAULT_CAPACITY, NodeCapacity
from .claim_release import delete_claim, delete_claims, end_lease
from .clock import now_s
from .feed import Feed
from .free_roles import FAILED_START_PAUSE_S, FreeRoles
from .keys import CLAIM_PREFIX, claim_key
from .supervision import spawn_supervised

# A lost holder's roles are free after this time. Rules.unfenced_s assumes that a former
# holder renews worker leases for at most UNCONFIRMED_RENEWAL_S in total.
LEASE_TTL_S = 1.5
RENEW_INTERVAL_S = 0.3  # a slow store also answers two renewals within the lease TTL
POLL_FAILURE_LIMIT_S = 1.0  # a node whose polls fail for this long releases its roles
CHECK_PERIOD_S = 0.1  # pause between two checks for free roles, and before a retry


class Claims:
    """Acquires free roles, keeps them, and releases them on shutdown.

    The fencing token of a role is the revision at which its claim was written,
    so it increases with each holder.

    Args:
        store: The platform's store.
        node: Name of the node; a new process of the same name replaces the old one.
        incarnation: Distinguishes this process from earlier ones of the same name.
        roles: Returns the roles that exist now.
        on_acquired: Called with each acquired role and its token.
        on_lost: Called with each role that is no longer held.
        capacity: Capacity of this node; nodes with more capacity acquire roles first.
    """

    def __init__(
        self,
        store: PolledStore,
        node: str,
        incarnation: str,
        roles: Callable[[], list[str]],
        on_acquired: Callable[[str, int], None],
        on_lost: Callable[[str], None],
        capacity: NodeCapacity = DEFAULT_CAPACITY,
    ):
        self.store = store
        self.value = f"{node}/{incarnation}".encode()
        self.roles = roles
        self.on_acquired = on_acquired
        self.on_lost = on_lost
        self.lease = 0
        self.confirmed_s = float("-inf")
        self.renewing_since_s = float("inf")
        self.held: dict[str, int] = {}
        self.dropped_tokens: dict[str, int] = {}
        self.free_roles = FreeRoles(node, capacity)
        self.ending = False
        self.greenlets: list[gevent.Greenlet] = []
        self.feed = Feed(store, CLAIM_PREFIX, self._on_written, self._on_deleted)

    def start(self) -> None:
        """Start to renew the lease and to acquire roles."""
        self.feed.start()
        self.greenlets = [
            spawn_supervised("renewal of claims", self._renew_loop),
            spawn_supervised("acquisition of roles", self._scan_loop),
        ]

    def token(self, role: str) -> int:
        """Return the fencing token of a role, or 0 if the role is not held."""
        return self.held.get(role, 0)

    def holds(self, role: str) -> bool:
        """Return whether this node certainly holds a role at this moment."""
        valid_until_s = self.confirmed_s + LEASE_TTL_S * (1 - CLOCK_DRIFT)
        return role in self.held and now_s() < valid_until_s

    def expect(self, role: str) -> Expect:
        """Return the condition that fails once another node holds the role."""
        return Expect(claim_key(role), self.held.get(role, -1))

    def drop(self, role: str, reason: str) -> None:
        """Stop holding a role and leave its claim in the store as it is."""
        token = self.held.pop(role, None)
        if token is not None:
            self.dropped_tokens[role] = token
            log(Event.ROLE_LOST, role=role, token=token, reason=reason)
            self.on_lost(role)

    def release(self, role: str, reason: str, pause_s: float = 0.0) -> None:
        """Release a role that this node still holds, so that it is claimed again.

        Args:
            role: Role to release.
            reason: Reason for the log.
            pause_s: Time for which this node leaves the role to others, seconds.
        """
        claim = self.expect(role)
        self.free_roles.pause(role, pause_s)
        self.drop(role, reason)
        # The caller may be a greenlet that ends with the role.
        gevent.spawn(delete_claims, self.store, [claim])

    def release_all(self) -> None:
        """Release all roles now, so that other nodes need not wait."""
        self.ending = True
        self.feed.stop()
        gevent.killall(self.greenlets, block=False)
        claims = [self.expect(role) for role in self.held]
        self._drop_all("this node ends")
        delete_claims(self.store, claims)

    def _on_written(self, entry: Entry) -> None:
        role = entry.key.removeprefix(CLAIM_PREFIX)
        self.free_roles.note_claim(role, entry)
        is_own = entry.value == self.value
        if is_own and entry.lease == self.lease:
            # Also covers a claim that was applied late or whose response was lost.
            self._mark_held(role, entry.revision)
            return
        if role in self.held and entry.revision > self.held[role]:
            self.drop(role, f"taken by {entry.value.decode(errors='replace')}")
        if is_own:
            # It was written under a former lease, whose end may have failed.
            gevent.spawn(delete_claim, self.store, entry)

    def _on_deleted(self, key: str) -> None:
        role = key.removeprefix(CLAIM_PREFIX)
        self.free_roles.note_free(role)
        if role in self.held:
            self.drop(role, "the claim lapsed")

    def _renew_loop(self) -> None:
        while True:
            try:
                self._renew()
            except StoreError:
                # The feeds log store failures; holds() bounds how long roles last.
                self.renewing_since_s = float("inf")
                gevent.sleep(CHECK_PERIOD_S)
                continue
            gevent.sleep(RENEW_INTERVAL_S)

    def _renew(self) -> None:
        sent_s = now_s()
        if self.lease and not self.store.keep_lease(self.lease):
            self.lease = 0
            self._drop_all("the lease lapsed")
        self.renewing_since_s = min(self.renewing_since_s, sent_s)
        if self.lease and self._is_turned_away(sent_s):
            # A node whose lease is renewed while its other calls fail would keep
            # roles that it cannot serve. If the store is unavailable to all nodes,
            # renewals fail too, and roles are kept until it answers again.
            lease, self.lease = self.lease, 0
            self._drop_all("the store turns this node away")
            end_lease(self.store, lease)
            return
        if not self.lease:
            self.lease = self.store.grant_lease(LEASE_TTL_S)
        self.confirmed_s = sent_s

    def _is_turned_away(self, at_s: float) -> bool:
        """Return whether polls have failed for too long while renewals succeed."""
        since_s = max(self.feed.failing_since_s, self.renewing_since_s)
        return at_s - since_s > POLL_FAILURE_LIMIT_S

    def _drop_all(self, reason: str) -> None:
        for role in list(self.held):
            self.drop(role, reason)

    def _scan_loop(self) -> None:
        pause_s = CHECK_PERIOD_S
        while True:
            gevent.sleep(pause_s)
            pause_s = CHECK_PERIOD_S
            if not self.lease or not self.feed.loaded or self._is_turned_away(now_s()):
                continue
            for role in self.roles():
                if self.ending:
                    return
                if role in self.held:
                    continue
                if self.free_roles.is_paused(role):
                    self._delete_leftover(role)
                    continue
                left_s = self.free_roles.eligible_at_s(role, len(self.held)) - now_s()
                if left_s > 0:
                    # The order of the nodes must not depend on when each one checks.
                    pause_s = min(pause_s, left_s)
                    continue
                try:
                    self._acquire(role)
                except StoreError:
                    gevent.sleep(CHECK_PERIOD_S)

    def _delete_leftover(self, role: str) -> None:
        """Delete the claim of a released role if its deletion failed."""
        claim = self.free_roles.claims.get(role)
        if claim is not None and claim.value == self.value:
            delete_claim(self.store, claim)

    def _acquire(self, role: str) -> None:
        lease = self.lease
        if not lease:
            # Lost during this round; a claim without a lease would never expire.
            return
        key = claim_key(role)
        claim = self.free_roles.claims.get(role)
        expect = Expect(key, claim.revision if claim else 0)
        put = Put(key, self.value, lease)
        try:
            outcome = self.store.transact(Transaction((expect,), (put,)))
        except LeaseExpiredError:
            if self.lease == lease:
                self.lease = 0
                # All claims were written under this lease.
                self._drop_all("the lease lapsed")
            return
        entries = outcome.entries
        if outcome.succeeded:
            entries = (Entry(key, self.value, outcome.revision, lease),)
        # The feed lags, so the entries of the response are used.
        if not entries:
            self._on_deleted(key)
        for entry in entries:
            self.feed.report(entry)

    def _mark_held(self, role: str, token: int) -> None:
        # Orders with a dropped token may still be in flight, so a role is not held
        # again under the same token.
        known = max(self.held.get(role, 0), self.dropped_tokens.get(role, 0))
        if self.ending or known >= token:
            return
        self.held[role] = token
        log(Event.ROLE_TAKEN, role=role, token=token)
        try:
            self.on_acquired(role, token)
        except Exception as error:
            # The claim of a role that nobody works on keeps other nodes away.
            log(Event.TASK_FAILED, task=f"start of {role}", error=repr(error))
            self.release(role, "its start failed", FAILED_START_PAUSE_S)
