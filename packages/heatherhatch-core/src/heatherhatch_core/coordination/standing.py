"""Standing: whether a node may act on the configuration that it has."""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatch

from ..state.nodes import NodeEntry

# Evidence is passed between nodes as an age, because their monotonic clocks have
# no common origin. Ages are scaled up by this fraction, so that a clock that runs
# slow by less than that cannot make evidence look fresher than it is.
CLOCK_DRIFT = 0.01
# Fraction of the period without confirmation after which a node reports to its
# peers that it cannot reach the store.
LOST_AFTER_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """The latest response of one peer.

    Attributes:
        incarnation: Incarnation of the peer that answered.
        sent_s: When the request was sent, in seconds of this node's monotonic
            clock.
        lost: True if the peer reported that it cannot reach the store.
        seq: Log position that the peer had.
    """

    incarnation: str
    sent_s: float
    lost: bool
    seq: int


@dataclass(frozen=True, slots=True)
class Standing:
    """Evidence that this node's configuration is the latest.

    A node may act in two cases: the log head was confirmed with the store within
    the last period, directly or through a peer; or within the last period every
    peer in the view reported that it cannot reach the store and has no later log
    position. Evidence is dated by this node's monotonic clock at the moment the
    request was sent, because a response may be delayed without bound.

    Attributes:
        period_s: Seconds for which evidence is valid.
        confirmed_s: When the request was sent whose response confirmed the log
            head, monotonic seconds; minus infinity if there was none.
        reconnected_s: When the store was last reached again after an outage, monotonic
            seconds; plus infinity if it has not been reached yet.
        view: Incarnations of the other members by name; None while the node is
            not registered and so may not act.
        view_read_s: When the request was sent that the store answered with the
            view, monotonic seconds.
        peers: Latest responses by name of the peer.
        departed: Final messages by name of the peer; the incarnations that sent them
            accept no more changes.
    """

    period_s: float
    confirmed_s: float = float("-inf")
    reconnected_s: float = float("inf")
    view: dict[str, str] | None = None
    view_read_s: float = float("-inf")
    peers: dict[str, PeerEvidence] = field(default_factory=dict)
    departed: dict[str, PeerEvidence] = field(default_factory=dict)

    def may_act(self, now_s: float, seq: int) -> bool:
        """Return whether the node may act on a log position now.

        Args:
            now_s: Current monotonic time in seconds, read just before the call.
            seq: Log position that is in force on this node.
        """
        if self.view is None:
            return False
        if now_s - self.confirmed_s < self.period_s:
            return True
        return self._all_lost_store(now_s, seq)

    def store_lost_everywhere(self, now_s: float, seq: int) -> bool:
        """Return whether no member, this node included, can reach the store.

        In that case no node can have taken over an expired entry until one
        period after the store is reachable again, see ``may_accept_changes``.

        Args:
            now_s: Current monotonic time in seconds, read just before the call.
            seq: Log position that is in force on this node.
        """
        cut_off = self.view is not None and self.lost(now_s)
        return cut_off and self._all_lost_store(now_s, seq)

    def lost(self, now_s: float) -> bool:
        """Return whether this node reports that it cannot reach the store.

        It reports this before its own evidence expires, so that its peers are
        notified of an outage in time. A node that has reported it must wait
        before it accepts changes again, see ``may_accept_changes``.
        """
        return now_s - self.confirmed_s > self.period_s * LOST_AFTER_FRACTION

    def may_accept_changes(self, now_s: float) -> bool:
        """Return whether this node may accept changes and reclaim expired entries.

        After the store is reachable again, one period has to pass. Until then
        other nodes may still act on this node's report that the store is lost,
        and their entries look expired although the nodes are live.
        """
        return (
            not self.lost(now_s) and now_s - self.reconnected_s >= self.reclaim_margin_s
        )

    @property
    def reclaim_margin_s(self) -> float:
        """Seconds after which evidence has expired by every node's clock."""
        return self.period_s * (1 + CLOCK_DRIFT)

    def age_s(self, now_s: float) -> float:
        """Return the age of the confirmation in seconds, for use by peers."""
        return now_s - self.confirmed_s

    def _all_lost_store(self, now_s, seq):
        return all(
            self._has_lost_store(name, incarnation, now_s, seq)
            for name, incarnation in self.view.items()
        )

    def _has_lost_store(self, name, incarnation, now_s, seq):
        final = self.departed.get(name)
        if final is not None and final.incarnation == incarnation and final.seq <= seq:
            return True
        peer = self.peers.get(name)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and peer.lost
            and peer.seq <= seq
            and now_s - peer.sent_s < self.period_s
        )


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The store, or a peer that reaches it, confirmed the log position in force.

    Attributes:
        sent_s: When the request was sent, monotonic seconds; if a peer
            confirmed the position, minus the age of that peer's own evidence.
    """

    sent_s: float


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer responded to a request.

    Attributes:
        name: Name of the peer.
        evidence: Content of the response.
    """

    name: str
    evidence: PeerEvidence


@dataclass(frozen=True, slots=True)
class PeerLeft:
    """A peer reported that it is shutting down and accepts no more changes.

    Attributes:
        name: Name of the peer.
        evidence: Content of its final message.
    """

    name: str
    evidence: PeerEvidence


@dataclass(frozen=True, slots=True)
class ViewRead:
    """The registry was read, directly or through a peer.

    Attributes:
        own: Name of this node.
        members: Every member, this node included.
        sent_s: When the request was sent to the store, monotonic seconds; minus
            infinity if a peer passed the registry on.
    """

    own: str
    members: tuple[NodeEntry, ...]
    sent_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class ViewDropped:
    """This node is no longer registered."""


@singledispatch
def advance(event: object, state: Standing, now_s: float) -> Standing:
    """Return the standing after an event.

    Args:
        event: Event to apply.
        state: Standing before the event.
        now_s: Current monotonic time in seconds.
    """
    raise TypeError(f"no handler for standing event {type(event).__name__}")


@advance.register
def _(event: Confirmed, state: Standing, now_s: float) -> Standing:
    confirmed = max(state.confirmed_s, event.sent_s)
    after = dataclasses.replace(state, confirmed_s=confirmed)
    if state.lost(now_s) and not after.lost(now_s):
        return dataclasses.replace(after, reconnected_s=now_s)
    return after


@advance.register
def _(event: PeerAnswered, state: Standing, now_s: float) -> Standing:
    before = state.peers.get(event.name)
    if (
        before is not None
        and before.incarnation == event.evidence.incarnation
        and before.sent_s > event.evidence.sent_s
    ):
        # Responses may arrive out of order; the one to the later request counts.
        return state
    peers = {**state.peers, event.name: event.evidence}
    return dataclasses.replace(state, peers=peers)


@advance.register
def _(event: PeerLeft, state: Standing, now_s: float) -> Standing:
    departed = {**state.departed, event.name: event.evidence}
    return dataclasses.replace(state, departed=departed)


@advance.register
def _(event: ViewRead, state: Standing, now_s: float) -> Standing:
    view = {item.name: item.incarnation for item in event.members}
    view.pop(event.own, None)
    after = dataclasses.replace(
        state,
        view=view,
        view_read_s=max(state.view_read_s, event.sent_s),
        peers={name: item for name, item in state.peers.items() if name in view},
        departed={name: item for name, item in state.departed.items() if name in view},
    )
    if state.view is None:
        # The log head has to be read after registration: a read from before it
        # may be older than a change that did not have to wait for this node.
        return dataclasses.replace(after, confirmed_s=float("-inf"))
    return after


@advance.register
def _(event: ViewDropped, state: Standing, now_s: float) -> Standing:
    return dataclasses.replace(state, view=None, view_read_s=float("-inf"))


def confirmation_from_peer(sent_s: float, age_s: float) -> Confirmed:
    """Return the confirmation that results from a peer's evidence.

    The age was taken when the peer responded, which cannot have been before the
    request was sent.

    Args:
        sent_s: When this node sent its request, in seconds of its own monotonic
            clock.
        age_s: Age of the peer's evidence by the peer's clock, in seconds.
    """
    return Confirmed(sent_s - age_s * (1 + CLOCK_DRIFT))


@dataclass(frozen=True, slots=True)
class PositionStatus:
    """On which nodes a log position is in force.

    Attributes:
        seq: Log position.
        everywhere: True if no node acts on an earlier position any more.
        confirmed: Names of the nodes that reported the position.
        missing: Names of the nodes that have not reported it; they have lost
            their standing once ``wait_s`` is 0.
        wait_s: Upper bound of the seconds until the position is in force
            everywhere.
    """

    seq: int
    everywhere: bool
    confirmed: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    wait_s: float = 0.0


def position_status(
    standing: Standing, seq: int, seen_s: float, now_s: float
) -> PositionStatus:
    """Return on which nodes a log position is in force.

    Evidence that lacks the position comes from requests that were sent before
    this node saw the position, in the store or as its writer. Such evidence
    expires one period later; all later responses of this node carry the position.

    Args:
        standing: Standing of this node.
        seq: Log position.
        seen_s: When this node had seen the position and was in the view of every
            member, monotonic seconds; plus infinity if that is not so yet.
        now_s: Current monotonic time in seconds.
    """
    confirmed = tuple(_nodes_with(standing, seq))
    missing = tuple(name for name in standing.view or () if name not in confirmed)
    is_seen = seen_s <= now_s
    remaining_s = max(0.0, seen_s + standing.reclaim_margin_s - now_s)
    # Without waiting, the position counts as in force everywhere only if the view
    # was read after it was seen, so that no node can be missing from the view.
    all_confirmed = standing.view_read_s >= seen_s and not missing
    everywhere = is_seen and (remaining_s == 0 or all_confirmed)
    wait_s = 0.0 if everywhere else remaining_s
    return PositionStatus(seq, everywhere, confirmed, missing, wait_s)


def _nodes_with(standing: Standing, seq: int) -> Iterable[str]:
    for name, incarnation in (standing.view or {}).items():
        peer = standing.peers.get(name)
        if peer and peer.incarnation == incarnation and peer.seq >= seq:
            yield name
