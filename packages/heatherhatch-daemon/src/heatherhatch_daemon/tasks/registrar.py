"""Registration of this node in the store, and the registry of all nodes."""

import contextlib
import dataclasses
import secrets
from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.membership import (
    REMOVAL_DELAY_S,
    Membership,
    Registry,
)
from heatherhatch_core.coordination.standing import ViewDropped, ViewRead
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.nodes import NodeEntry

from ..events import Event, log
from ..transport.store import Entry, Expect, Put, Store, Transaction
from .follower import Follower
from .log_store import LIVE_PREFIX, MEMBER_PREFIX, LogTail
from .task import Task

STEPS_PER_LEASE = 3
FAST_STEPS_PER_LEASE = 12
INCARNATION_BYTES = 8


class Registrar(Task):
    """Keeps this node registered and tracks the registry.

    A node has two keys. The live key expires with its lease and fences the node's
    writes. The member key states that the node may act. It stays until the node
    leaves or is removed, because a node whose lease has expired may still act on
    evidence from its peers.

    Args:
        store: The platform's store.
        entry: Registration of this node.
        lease_s: Time to live of the live key without renewal, in seconds.
        follower: Follower of the log, which keeps the standing.
        listed: Returns the instances in the platform's member list, None if the
            list is not known.
        clock: Returns monotonic seconds.

    Attributes:
        membership: Members as this node knows them.
        lease: Id of this node's lease in the store, 0 if it has none.
        revision: Store revision of this node's registration, 0 if it has none.
        member_revisions: Store revisions of the member keys by name.
        replaced: True while a later incarnation is live under this node's name.
        renewal_failed: True if this node could not renew its lease itself.
        renewed_s: When this node last renewed the lease of a peer, monotonic
            seconds, by lease id.
    """

    def __init__(
        self,
        store: Store,
        entry: NodeEntry,
        lease_s: float,
        follower: Follower,
        listed: Callable[[], frozenset[str] | None],
        clock: Callable[[], float],
    ):
        super().__init__("registrar", lease_s / STEPS_PER_LEASE, clock)
        self.store = store
        self.lease_s = lease_s
        self.follower = follower
        self.listed = listed
        self.lease = 0
        self.revision = 0
        self.member_revisions: dict[str, int] = {}
        self.renewal_failed = False
        self.replaced = False
        self.renewed_s: dict[int, float] = {}
        self.membership = Membership(entry)
        follower.on_read = self.handle_read

    @property
    def entry(self) -> NodeEntry:
        """Registration of this node."""
        return self.membership.own

    @property
    def nodes(self) -> dict[str, NodeEntry]:
        """Members whose lease is live, by name, including this node."""
        live = set(self.membership.registry.live)
        members = self.membership.registry.members
        return {item.name: item for item in members if item.name in live}

    def step(self) -> None:
        """Renew the registration, and read the registry if it is not known yet."""
        try:
            self._renew()
            if not self.membership.registered or self.follower.registration is None:
                self.follower.refresh()
        except StoreError:
            self.renewal_failed = True
            self.period_s = self.lease_s / FAST_STEPS_PER_LEASE
            raise
        self.renewal_failed = False
        waiting = not self.follower.admitted
        steps = FAST_STEPS_PER_LEASE if waiting else STEPS_PER_LEASE
        self.period_s = self.lease_s / steps
        self._remove_lapsed_members()

    def finish(self) -> None:
        """Remove both keys, so that no other node waits for this one."""
        if not self.lease:
            return
        deletes = (MEMBER_PREFIX + self.entry.name,)
        revision = self.member_revisions.get(self.entry.name, 0)
        expects = (Expect(deletes[0], revision),)
        # If the store cannot be reached, the lease expires and the other nodes
        # remove the entry.
        with contextlib.suppress(StoreError):
            self.store.transact(Transaction(expects, deletes=deletes))
            self.store.revoke_lease(self.lease)

    def update(self, membership: Membership) -> None:
        """Set the membership and update the follower accordingly."""
        self.membership = membership
        self.follower.admitted_s = membership.admitted_s
        own = membership.own.name
        self.follower.members = len(membership.others) + 1
        self.follower.rank = sum(item.name < own for item in membership.others)

    def handle_read(self, tail: LogTail, sent_s: float) -> None:
        """Apply the registry that was read together with the log.

        Args:
            tail: Result of the read.
            sent_s: When the read was sent, monotonic seconds.
        """
        members = tuple(decode_json(item.value, NodeEntry) for item in tail.members)
        names = tuple(item.key.removeprefix(LIVE_PREFIX) for item in tail.live)
        if tail.revision >= self.membership.registry.revision:
            self.member_revisions = {
                item.key.removeprefix(MEMBER_PREFIX): item.revision
                for item in tail.members
            }
            self._update_fence(tail.live)
        self.apply_registry(Registry(tail.revision, members, names), sent_s)

    def apply_registry(self, registry: Registry, sent_s: float = float("-inf")) -> None:
        """Apply a registry that was read by this node or passed on by a peer.

        Args:
            registry: Content of the store at some revision.
            sent_s: When the read was sent to the store, monotonic seconds; minus
                infinity if a peer passed the registry on.
        """
        if registry.revision < self.membership.registry.revision:
            return
        self.update(self.membership.read(registry, self.clock()))
        if self.revision and registry.revision >= self.revision:
            self._check_own_entry(registry)
        if self.revision:
            self.follower.advance(ViewRead(self.entry.name, self._view(), sent_s))

    def add_member(self, entry: NodeEntry, revision: int) -> None:
        """Add a node to the view that has introduced itself by a request.

        Args:
            entry: Registration of the node.
            revision: Store revision of the registration.
        """
        before = self.membership
        self.update(before.add_member(entry, revision))
        if self.revision and self.membership is not before:
            self.follower.advance(ViewRead(self.entry.name, self._view()))

    def renew_for_peer(self, lease: int) -> None:
        """Renew the lease of a peer that cannot reach the store."""
        now = self.clock()
        if now - self.renewed_s.get(lease, float("-inf")) < self.period_s:
            return
        self.renewed_s = {
            k: v for k, v in self.renewed_s.items() if now - v < REMOVAL_DELAY_S
        }
        self.renewed_s[lease] = now
        self.store.keep_lease(lease)

    def _view(self):
        return self.membership.all_members

    def _renew(self):
        if self.replaced:
            # A later incarnation has this name. The two must not replace each
            # other in turn.
            self.follower.refresh()
            self.replaced = self.entry.name in self.membership.registry.live
            return
        if self.lease and not self.store.keep_lease(self.lease):
            log(Event.REGISTRATION_LOST)
            self._drop_lease()
        if not self.lease:
            self._register()

    def _register(self):
        lease = self.store.grant_lease(max(1, round(self.lease_s)))
        name = self.entry.name
        live = Put(LIVE_PREFIX + name, encode_json(self.entry.incarnation), lease)
        member = Put(MEMBER_PREFIX + name, encode_json(self.entry))
        known = self.member_revisions.get(name, 0) if self.revision else 0
        if known:
            # If the entry is unchanged although the lease expired, no node has
            # reclaimed it.
            expects = (Expect(member.key, known),)
            outcome = self.store.transact(Transaction(expects, (live,)))
            if not outcome.succeeded:
                self._start_new_incarnation()
                return
        else:
            outcome = self.store.transact(Transaction(puts=(live, member)))
            self.revision = outcome.revision
        self.lease = lease
        log(Event.REGISTERED, lease=lease, incarnation=self.entry.incarnation)

    def _update_fence(self, live: tuple[Entry, ...]) -> None:
        key = LIVE_PREFIX + self.entry.name
        own = next((item for item in live if item.key == key), None)
        if own is None or not self.lease or own.lease != self.lease:
            self.follower.registration = None
            return
        self.follower.registration = Expect(key, own.revision)

    def _check_own_entry(self, registry):
        if self.entry in registry.members:
            return
        # The node was removed, or replaced by a later incarnation of its name.
        log(Event.REGISTRATION_LOST)
        self.replaced = self.entry.name in registry.live
        self._start_new_incarnation()

    def _drop_lease(self):
        self.lease = 0
        self.follower.registration = None

    def _start_new_incarnation(self):
        self._drop_lease()
        self.revision = 0
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        entry = dataclasses.replace(self.entry, incarnation=incarnation)
        self.update(self.membership.re_registered(entry))
        self.follower.advance(ViewDropped())

    def _remove_lapsed_members(self):
        settle_s = self.follower.standing.reclaim_margin_s
        accepts = self.follower.may_accept() and self.follower.admitted
        removable = self.membership.removable(
            self.clock(), settle_s, accepts, self.listed()
        )
        if removable:
            self.follower.refresh()
        for item in removable:
            live = LIVE_PREFIX + item.name
            member = MEMBER_PREFIX + item.name
            expects = (
                Expect(member, self.member_revisions.get(item.name, 0)),
                Expect(live, 0),
            )
            self.store.transact(Transaction(expects, deletes=(member,)))
            log(Event.NODE_FORGOTTEN, node=item.name)
