"""Membership: who belongs to the system, and when a newcomer may accept changes."""

import dataclasses
import zlib
from dataclasses import dataclass, field

from ..codec import encode_msgpack
from ..state.nodes import NodeEntry

FORGET_S = 60.0


@dataclass(frozen=True, slots=True)
class Registry:
    """What the store holds about nodes.

    Attributes:
        revision: Store revision of the read.
        members: Every node that may act, whether its lease lives or not.
        live: Names of the members whose lease lives.
    """

    revision: int = 0
    members: tuple[NodeEntry, ...] = ()
    live: tuple[str, ...] = ()

    def digest(self) -> int:
        """Return a checksum of the content, the same for any order of reads."""
        return zlib.crc32(encode_msgpack((self.members, self.live)))


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A member's word that it has this node in its view.

    Attributes:
        incarnation: Registration of the member that said so.
        heard_s: When its answer came, monotonic seconds.
        accepts: True if that member may accept changes itself.
    """

    incarnation: str
    heard_s: float
    accepts: bool


@dataclass(frozen=True, slots=True)
class Membership:
    """This node's knowledge of the members.

    A member's entry stays when its lease lapses, because the member may still
    act on what its peers tell it. It goes when the node leaves, or when others
    forget it.

    Attributes:
        own: This node's registration.
        registry: Latest registry known.
        digest: Its checksum.
        newcomers: Nodes that were heard before the registry showed them, with
            the store revision of their registration.
        lapsed_s: Since when the lease of a member is known to have lapsed.
        acks: Acknowledgements by name of the member.
        admitted_s: When every member had this node in its view, plus infinity
            while some have not.
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
        """True if the registry shows this registration."""
        return self.own in self.registry.members

    @property
    def others(self) -> tuple[NodeEntry, ...]:
        """Every other member, newcomers included."""
        known = {item.name: item for item in self.registry.members}
        known |= {name: item for name, (item, _) in self.newcomers.items()}
        known.pop(self.own.name, None)
        return tuple(known.values())

    @property
    def everyone(self) -> tuple[NodeEntry, ...]:
        """The view: every other member and this node."""
        return (*self.others, self.own)

    def read(self, registry: Registry, now_s: float) -> "Membership":
        """Return the membership after a registry became known.

        Args:
            registry: What the store holds, or held at the peer that passed it on.
            now_s: Monotonic seconds.
        """
        if registry.revision < self.registry.revision:
            return self
        newcomers = {
            name: item
            for name, item in self.newcomers.items()
            if item[1] > registry.revision
        }
        gone = {item.name for item in registry.members} - set(registry.live)
        lapsed = {name: self.lapsed_s.get(name, now_s) for name in gone}
        after = dataclasses.replace(
            self,
            registry=registry,
            digest=registry.digest(),
            newcomers=newcomers,
            lapsed_s=lapsed,
        )
        return after._admit(now_s)

    def hear(self, entry: NodeEntry, revision: int) -> "Membership":
        """Return the membership after a node made itself known.

        Args:
            entry: Its registration.
            revision: Store revision of its registration.
        """
        if revision <= self.registry.revision or entry.name == self.own.name:
            return self
        newcomers = {**self.newcomers, entry.name: (entry, revision)}
        return dataclasses.replace(self, newcomers=newcomers)

    def acknowledge(
        self, entry: NodeEntry, accepts: bool, now_s: float
    ) -> "Membership":
        """Return the membership after a member said that it has this node.

        Args:
            entry: The member.
            accepts: True if the member may accept changes.
            now_s: Monotonic seconds.
        """
        ack = Acknowledgement(entry.incarnation, now_s, accepts)
        after = dataclasses.replace(self, acks={**self.acks, entry.name: ack})
        return after._admit(now_s)

    def meet(self, entry: NodeEntry, now_s: float) -> "Membership":
        """Return the membership after a member asked this registration.

        Args:
            entry: The member.
            now_s: Monotonic seconds.
        """
        ack = self.acks.get(entry.name)
        known = ack is not None and ack.incarnation == entry.incarnation
        return self.acknowledge(entry, known and ack.accepts, now_s)

    def renamed(self, own: NodeEntry) -> "Membership":
        """Return an empty membership under a new registration."""
        return Membership(own)

    def forgettable(
        self,
        now_s: float,
        settle_s: float,
        accepts: bool,
        listed: frozenset[str] | None,
    ) -> tuple[NodeEntry, ...]:
        """Return the members that may be deleted from the registry.

        A node that may accept changes is in the view of every member, and a
        member that can't hear it has no standing; so it may forget a member soon.
        Without such a node only time and the platform's list can tell, and the
        list may only delay it.

        Args:
            now_s: Monotonic seconds.
            settle_s: Seconds after which evidence is over everywhere.
            accepts: True if this node may accept changes.
            listed: Instances that the platform's list shows, None if unknown.
        """
        wait_s = settle_s if accepts else FORGET_S
        return tuple(
            item
            for item in self.registry.members
            if now_s - self.lapsed_s.get(item.name, now_s) > wait_s
            and not self._heard(item, now_s, settle_s)
            and (accepts or listed is None or item.name not in listed)
            and item.name != self.own.name
        )

    def _heard(self, entry, now_s, within_s):
        ack = self.acks.get(entry.name)
        if ack is None or ack.incarnation != entry.incarnation:
            return False
        return now_s - ack.heard_s <= within_s

    def _admit(self, now_s):
        if not self.registered:
            return dataclasses.replace(self, admitted_s=float("inf"))
        if self.admitted_s <= now_s or not self._everyone_knows():
            return self
        return dataclasses.replace(self, admitted_s=now_s)

    def _everyone_knows(self):
        acked = {
            item.name: ack.accepts
            for item in self.others
            if (ack := self.acks.get(item.name)) and ack.incarnation == item.incarnation
        }
        # Whoever can't hear a member that accepts changes has no standing.
        witness = any(acked.values())
        return all(
            item.name in acked or (witness and item.name in self.lapsed_s)
            for item in self.others
        )
