"""Decides when a node may claim a role that it does not hold."""

import zlib
from urllib.parse import quote

from ..transport.store import Entry
from .capacity import NodeCapacity
from .clock import now_s

JITTER_S = 0.05  # jitter between nodes of equal load
# Delay of a node whose data centre has most roles; longer than the jitter and the time
# that a claim takes to become known.
CROWDED_DELAY_S = 0.15
DATA_CENTRE_MARK = "@"  # between incarnation and data centre in the value of a claim
FAILED_START_PAUSE_S = 1.0  # time for other nodes to take a role that did not start


class FreeRoles:
    """The claims that a node sees in the store, and since when roles are free.

    Args:
        node: Name of the node.
        capacity: Capacity of the node; nodes with more capacity acquire roles first.

    Attributes:
        claims: Claim of each role that has one.
        paused_until_s: Until when the node leaves a role to others.
        data_centre: Data centre of the node as its claims name it, if roles are to be
            spread over data centres; empty otherwise.
    """

    def __init__(self, node: str, capacity: NodeCapacity):
        self.node = node
        self.capacity = capacity
        self.data_centre = ""
        self.claims: dict[str, Entry] = {}
        self.since_s: dict[str, float] = {}
        self.paused_until_s: dict[str, float] = {}

    def note_claim(self, role: str, claim: Entry) -> None:
        """Record that a role has a claim."""
        self.claims[role] = claim
        self.since_s.pop(role, None)

    def note_free(self, role: str) -> None:
        """Record that a role has no claim any more."""
        self.claims.pop(role, None)
        self.since_s[role] = now_s()

    def pause(self, role: str, pause_s: float) -> None:
        """Leave a role to other nodes for some seconds."""
        self.paused_until_s[role] = now_s() + pause_s

    def is_paused(self, role: str) -> bool:
        """Return whether a role is left to other nodes."""
        return now_s() < self.paused_until_s.get(role, 0.0)

    def eligible_at_s(self, role: str, held: int) -> float:
        """Return when the node may claim a role; inf while another node holds it.

        Args:
            role: Name of the role.
            held: Number of roles that the node holds already.
        """
        claim = self.claims.get(role)
        if claim is not None:
            # An earlier process of this node is certainly gone. A claim that this
            # process released but could not delete remains as long as its lease.
            is_own = claim.value.rpartition(b"/")[0] == self.node.encode()
            return float("-inf") if is_own else float("inf")
        since_s = self.since_s.setdefault(role, now_s())
        jitter = zlib.crc32(f"{role}@{self.node}".encode()) / 2**32
        delay_s = self.capacity.claim_delay_s(held) + JITTER_S * jitter
        return since_s + delay_s + (CROWDED_DELAY_S if self._is_crowded(role) else 0.0)

    def _is_crowded(self, role: str) -> bool:
        """Return whether the node's data centre has most of the other roles.

        The loss of one data centre should not end all of them at once.
        """
        if not self.data_centre:
            return False
        claims = [entry.value for name, entry in self.claims.items() if name != role]
        found = [data_centre_of(value) for value in claims]
        return 2 * found.count(self.data_centre) > len(found)


def marked_incarnation(incarnation: str, data_centre: str) -> str:
    """Return an incarnation that names the node's data centre, for its claims."""
    return f"{incarnation}{DATA_CENTRE_MARK}{quote(data_centre, safe='')}"


def data_centre_of(claim: bytes) -> str:
    """Return the data centre that a claim names, as in it; empty if it names none."""
    return (
        claim.decode(errors="replace").rpartition("/")[2].partition(DATA_CENTRE_MARK)[2]
    )
