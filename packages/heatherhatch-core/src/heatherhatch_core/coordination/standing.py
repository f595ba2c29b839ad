"""Standing: whether a node may act on the configuration that it knows."""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatch

from ..state.nodes import NodeEntry

# Evidence is carried between monotonic clocks as an age; a clock that runs
# slow by less than this part can't make it look younger.
CLOCK_DRIFT = 0.01
LOST_PART = 0.5


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """The last answer of one peer.

    Attributes:
        incarnation: Registration that answered.
        asked_s: When the answered question was sent, own monotonic seconds.
        lost: True if the peer said that it does not reach the store.
        seq: Log position that the peer knew.
    """

    incarnation: str
    asked_s: float
    lost: bool
    seq: int


@dataclass(frozen=True, slots=True)
class Standing:
    """Evidence that the configuration known here is the latest.

    A node may act in two cases: the log head was confirmed with the store within
    the last period, directly or through a peer; or within the last period every
    peer of the view said that it does not reach the store and knows no later
    position. Evidence counts from the moment its question was sent, by this
    node's own monotonic clock: an answer may have been delayed without bound.

    Attributes:
        period_s: Seconds for which evidence counts.
        confirmed_s: When the question was sent whose answer confirmed the log
            head; minus infinity if none was.
        back_s: When the store was last found again after it had been lost,
            plus infinity if it never was found.
        view: Incarnations by name of the other members; None while the node is
            not registered, and then it may not act.
        viewed_s: When the question was sent that the store answered with the
            view, monotonic seconds.
        peers: Last answers by name.
        left: Farewells by name: these registrations accept no change any more.
    """

    period_s: float
    confirmed_s: float = float("-inf")
    back_s: float = float("inf")
    view: dict[str, str] | None = None
    viewed_s: float = float("-inf")
    peers: dict[str, PeerEvidence] = field(default_factory=dict)
    left: dict[str, PeerEvidence] = field(default_factory=dict)

    def holds(self, now_s: float, seq: int) -> bool:
        """Tell whether the node may act now on a log position.

        Args:
            now_s: Monotonic seconds, read right before.
            seq: Log position that is in force here.
        """
        if self.view is None:
            return False
        if now_s - self.confirmed_s < self.period_s:
            return True
        return self._all_lost(now_s, seq)

    def store_gone(self, now_s: float, seq: int) -> bool:
        """Tell whether no member reaches the store, this node included.

        Until a period after the store is back, nobody can then have taken
        anything that lapsed, see ``settled``.

        Args:
            now_s: Monotonic seconds, read right before.
            seq: Log position that is in force here.
        """
        known = self.view is not None and self.lost(now_s)
        return known and self._all_lost(now_s, seq)

    def lost(self, now_s: float) -> bool:
        """Tell whether this node says that it does not reach the store.

        It says so before its own evidence is over, so that in an outage the
        peers hear it in time; a node that said it has to wait, see ``settled``.
        """
        return now_s - self.confirmed_s > self.period_s * LOST_PART

    def settled(self, now_s: float) -> bool:
        """Tell whether this node may accept changes and reclaim what lapsed.

        After the store is back, a period has to pass: until then others may
        act on this node's word that the store is lost, and their entries look
        lapsed although they live.
        """
        return not self.lost(now_s) and now_s - self.back_s >= self.margin_s

    @property
    def margin_s(self) -> float:
        """Seconds after which evidence is over by every node's clock."""
        return self.period_s * (1 + CLOCK_DRIFT)

    def age_s(self, now_s: float) -> float:
        """Return the age of the confirmation, for peers to build on."""
        return now_s - self.confirmed_s

    def _all_lost(self, now_s, seq):
        return all(
            self._lost_at(name, incarnation, now_s, seq)
            for name, incarnation in self.view.items()
        )

    def _lost_at(self, name, incarnation, now_s, seq):
        left = self.left.get(name)
        if left is not None and left.incarnation == incarnation and left.seq <= seq:
            return True
        peer = self.peers.get(name)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and peer.lost
            and peer.seq <= seq
            and now_s - peer.asked_s < self.period_s
        )


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The store, or a peer that has it, confirmed the log position in force.

    Attributes:
        asked_s: When the question was sent, monotonic seconds; through a peer,
            less the age that the peer's own evidence had.
    """

    asked_s: float


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer answered a question.

    Attributes:
        name: Name of the peer.
        evidence: What it said.
    """

    name: str
    evidence: PeerEvidence


@dataclass(frozen=True, slots=True)
class PeerLeft:
    """A peer said that it ends and accepts no change any more.

    Attributes:
        name: Name of the peer.
        evidence: What it said last.
    """

    name: str
    evidence: PeerEvidence


@dataclass(frozen=True, slots=True)
class ViewRead:
    """The registry was read, directly or through a peer.

    Attributes:
        own: Name of this node.
        members: Every member, this node included.
        asked_s: When the store was asked, monotonic seconds; minus infinity if
            a peer passed the registry on.
    """

    own: str
    members: tuple[NodeEntry, ...]
    asked_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class ViewDropped:
    """This node is no longer registered."""


@singledispatch
def advance(event: object, state: Standing, now_s: float) -> Standing:
    """Return the standing after an event.

    Args:
        event: What happened.
        state: Standing before.
        now_s: Monotonic seconds.
    """
    raise TypeError(f"no rule for {type(event).__name__}")


@advance.register
def _(event: Confirmed, state: Standing, now_s: float) -> Standing:
    confirmed = max(state.confirmed_s, event.asked_s)
    after = dataclasses.replace(state, confirmed_s=confirmed)
    if state.lost(now_s) and not after.lost(now_s):
        return dataclasses.replace(after, back_s=now_s)
    return after


@advance.register
def _(event: PeerAnswered, state: Standing, now_s: float) -> Standing:
    before = state.peers.get(event.name)
    if (
        before is not None
        and before.incarnation == event.evidence.incarnation
        and before.asked_s > event.evidence.asked_s
    ):
        # Answers may overtake each other; the later question counts.
        return state
    peers = {**state.peers, event.name: event.evidence}
    return dataclasses.replace(state, peers=peers)


@advance.register
def _(event: PeerLeft, state: Standing, now_s: float) -> Standing:
    left = {**state.left, event.name: event.evidence}
    return dataclasses.replace(state, left=left)


@advance.register
def _(event: ViewRead, state: Standing, now_s: float) -> Standing:
    view = {item.name: item.incarnation for item in event.members}
    view.pop(event.own, None)
    after = dataclasses.replace(
        state,
        view=view,
        viewed_s=max(state.viewed_s, event.asked_s),
        peers={name: item for name, item in state.peers.items() if name in view},
        left={name: item for name, item in state.left.items() if name in view},
    )
    if state.view is None:
        # Register, then read: what was read before the registration may be
        # older than a change that did not have to wait for this node.
        return dataclasses.replace(after, confirmed_s=float("-inf"))
    return after


@advance.register
def _(event: ViewDropped, state: Standing, now_s: float) -> Standing:
    return dataclasses.replace(state, view=None, viewed_s=float("-inf"))


def through_peer(asked_s: float, age_s: float) -> Confirmed:
    """Return the confirmation that a peer passes on.

    The peer's evidence had its age when it answered, which was not before the
    question was sent.

    Args:
        asked_s: When this node sent its question, own monotonic seconds.
        age_s: Age of the peer's evidence by the peer's clock.
    """
    return Confirmed(asked_s - age_s * (1 + CLOCK_DRIFT))


@dataclass(frozen=True, slots=True)
class InForce:
    """How far a log position is in force.

    Attributes:
        seq: Log position.
        everywhere: True if no node acts on an earlier position any more.
        confirmed: Nodes that said they have it.
        missing: Nodes that did not say so; they are without standing once
            ``wait_s`` is 0.
        wait_s: Seconds until the position is in force everywhere at the latest.
    """

    seq: int
    everywhere: bool
    confirmed: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    wait_s: float = 0.0


def in_force(standing: Standing, seq: int, seen_s: float, now_s: float) -> InForce:
    """Tell how far a log position is in force.

    Evidence without the position was gathered by questions sent before this
    node saw it, in the store or as its writer; it is over one period later.
    Later answers of this node carry the position.

    Args:
        standing: Standing of this node.
        seq: Log position.
        seen_s: When this node saw the position and was in the view of every
            member, monotonic seconds; plus infinity if it did not yet.
        now_s: Monotonic seconds.
    """
    confirmed = tuple(_nodes_at(standing, seq))
    missing = tuple(name for name in standing.view or () if name not in confirmed)
    seen = seen_s <= now_s
    left = max(0.0, seen_s + standing.margin_s - now_s)
    # The early answer needs a view that no node can be missing from.
    all_said = standing.viewed_s >= seen_s and not missing
    everywhere = seen and (left == 0 or all_said)
    wait_s = 0.0 if everywhere else left
    return InForce(seq, everywhere, confirmed, missing, wait_s)


def _nodes_at(standing: Standing, seq: int) -> Iterable[str]:
    for name, incarnation in (standing.view or {}).items():
        peer = standing.peers.get(name)
        if peer and peer.incarnation == incarnation and peer.seq >= seq:
            yield name
