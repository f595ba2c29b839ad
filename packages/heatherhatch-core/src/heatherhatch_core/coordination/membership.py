"""Membership: which nodes are members, and when a new node may accept changes."""

import dataclasses
import zlib
from dataclasses import dataclass, field

from ..codec import encode_msgpack
from ..state.nodes import NodeEntry

# Seconds after which a member whose lease has lapsed may be removed by a node that
# may not accept changes.
REMOVAL_DELAY_S = 60.0


@dataclass(frozen=True, slots=True)
class Registry:
    """The registrations of nodes in the store.

    Attributes:
        revision: Store revision of the read.
        members: Every node that may act, whether its lease is live or not.
        live: Names of the members whose lease is live.
    """

    revision: int = 0
    members: tuple[NodeEntry, ...] = ()
    live: tuple[str, ...] = ()

    def digest(self) -> int:
        """Return a checksum of the content that does not depend on the revision."""
        return zlib.crc32(encode_msgpack((self.members, self.live)))


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A member's confirmation that it has this node in its view.

    Attributes:
        incarnation: Incarnation of the member that sent the confirmation.
        heard_s: When the confirmation was received, monotonic seconds.
        accepts: True if that member may accept changes itself.
    """

    incarnation: str
    heard_s: float
    accepts: bool


@dataclass(frozen=True, slots=True)
class Membership:
    """The members as this node knows them.

    A member's entry stays in the registry after its lease has lapsed, because
    the member may still act on evidence from its peers. The entry is removed
    when the node leaves or when other nodes remove it.

    Attributes:
        own: This node's registration.
        registry: Latest registry known to this node.
        digest: Checksum of the latest registry.
        newcomers: Nodes that contacted this node before they appeared in the
            registry, with the store revision of their registration, by name.
        lapsed_s: When the lease of a member was first seen to have lapsed,
            monotonic seconds, by name of the member.
        acks: Acknowledgements by name of the member.
        admitted_s: When every member had this node in its view, monotonic
            seconds; plus infinity until then.
    """

    own: NodeEntry
    registry: Registry = Registry()
    digest: int = 0
    newcomers: dict[str, tuple[NodeEntry, int]] = field(default_factory=dict)
    lapsed_s: dict[str, float] = field(default_factory=dict)
    acks: dict[str, Acknowledgement] = field(default_factory=dict)
    admitted_s: float = float("inf")

    @property
    def registered(self) -> bool:
        """True if the registry contains this node's registration."""
        return self.own in self.registry.members

    @property
    def others(self) -> tuple[NodeEntry, ...]:
        """Every other member, including newcomers."""
        known = {item.name: item for item in self.registry.members}
        known |= {name: item for name, (item, _) in self.newcomers.items()}
        known.pop(self.own.name, None)
        return tuple(known.values())

    @property
    def all_members(self) -> tuple[NodeEntry, ...]:
        """Every member, including newcomers and this node."""
        return (*self.others, self.own)

    def read(self, registry: Registry, now_s: float) -> "Membership":
        """Return the membership after a registry was received.

        Args:
            registry: Registry as read from the store or as passed on by a peer.
            now_s: Current monotonic time in seconds.
        """
        if registry.revision < self.registry.revision:
            return self
        newcomers = {
            name: item
            for name, item in self.newcomers.items()
            if item[1] > registry.revision
        }
        lapsed_names = {item.name for item in registry.members} - set(registry.live)
        lapsed = {name: self.lapsed_s.get(name, now_s) for name in lapsed_names}
        after = dataclasses.replace(
            self,
            registry=registry,
            digest=registry.digest(),
            newcomers=newcomers,
            lapsed_s=lapsed,
        )
        return after._admit(now_s)

    def add_member(self, entry: NodeEntry, revision: int) -> "Membership":
        """Return the membership after another node sent its registration.

        Args:
            entry: Registration of the node.
            revision: Store revision of the registration.
        """
        if revision <= self.registry.revision or entry.name == self.own.name:
            return self
        newcomers = {**self.newcomers, entry.name: (entry, revision)}
        return dataclasses.replace(self, newcomers=newcomers)

    def acknowledge(
        self, entry: NodeEntry, accepts: bool, now_s: float
    ) -> "Membership":
        """Return the membership after a member confirmed having this node in view.

        Args:
            entry: Registration of the member.
            accepts: True if the member may accept changes.
            now_s: Current monotonic time in seconds.
        """
        ack = Acknowledgement(entry.incarnation, now_s, accepts)
        after = dataclasses.replace(self, acks={**self.acks, entry.name: ack})
        return after._admit(now_s)

    def acknowledge_request(self, entry: NodeEntry, now_s: float) -> "Membership":
        """Return the membership after a member sent a request to this node.

        The request shows that the member has this incarnation in its view. It
        does not state whether the member may accept changes, so the last known
        value is kept for the same incarnation.

        Args:
            entry: Registration of the member.
            now_s: Current monotonic time in seconds.
        """
        ack = self.acks.get(entry.name)
        known = ack is not None and ack.incarnation == entry.incarnation
        return self.acknowledge(entry, known and ack.accepts, now_s)

    def re_registered(self, own: NodeEntry) -> "Membership":
        """Return an empty membership for a new registration of this node."""
        return Membership(own)

    def removable(
        self,
        now_s: float,
        settle_s: float,
        accepts: bool,
        listed: frozenset[str] | None,
    ) -> tuple[NodeEntry, ...]:
        """Return the members that may be removed from the registry.

        A node that may accept changes is in the view of every member, and a
        member that it cannot reach has no standing, so it may remove such a
        member soon. Without such a node, only elapsed time and the platform's
        instance list can show that a member is gone, and the list may only delay
        the removal.

        Args:
            now_s: Current monotonic time in seconds.
            settle_s: Seconds after which evidence has expired on every node.
            accepts: True if this node may accept changes.
            listed: Instances in the platform's list, None if it is unknown.
        """
        wait_s = settle_s if accepts else REMOVAL_DELAY_S
        return tuple(
            item
            for item in self.registry.members
            if now_s - self.lapsed_s.get(item.name, now_s) > wait_s
            and not self._has_recent_ack(item, now_s, settle_s)
            and (accepts or listed is None or item.name not in listed)
            and item.name != self.own.name
        )

    def _has_recent_ack(self, entry, now_s, within_s):
        ack = self.acks.get(entry.name)
        if ack is None or ack.incarnation != entry.incarnation:
            return False
        return now_s - ack.heard_s <= within_s

    def _admit(self, now_s):
        if not self.registered:
            return dataclasses.replace(self, admitted_s=float("inf"))
        if self.admitted_s <= now_s or not self._is_known_to_all():
            return self
        return dataclasses.replace(self, admitted_s=now_s)

    def _is_known_to_all(self):
        acked = {
            item.name: ack.accepts
            for item in self.others
            if (ack := self.acks.get(item.name)) and ack.incarnation == item.incarnation
        }
        # A node that cannot reach a member that accepts changes has no standing, so
        # members with a lapsed lease need not confirm if such a member has confirmed.
        any_accepts = any(acked.values())
        return all(
            item.name in acked or (any_accepts and item.name in self.lapsed_s)
            for item in self.others
        )
