"""Decides when a node may claim a role that it does not hold."""

import zlib

from ..transport.store import Entry
from .capacity import NodeCapacity
from .clock import now_s

JITTER_S = 0.05  # jitter between nodes of equal load
FAILED_START_PAUSE_S = 1.0  # time for other nodes to take a role that did not start


class FreeRoles:
    """The claims that a node sees in the store, and since when roles are free.

    Args:
        node: Name of the node.
        capacity: Capacity of the node; nodes with more capacity acquire roles first.

    Attributes:
        claims: Claim of each role that has one.
        paused_until_s: Until when the node leaves a role to others.
    """

    def __init__(self, node: str, capacity: NodeCapacity):
        self.node = node
        self.capacity = capacity
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
        return since_s + self.capacity.claim_delay_s(held) + JITTER_S * jitter
