"""Capacity of a node, and how it affects which node takes a role."""

from dataclasses import dataclass

ROLE_CORES = 1.0  # the holder of a busy pool of 40 workers uses one core
ROLE_LINK_MBPS = 20.0  # for the orders, lists and records of such a pool

STAGGER_S = 0.15  # delay per role, the new one included, on a node that fits one
MAX_STAGGER_S = 0.75  # upper bound, so that a small node takes a role eventually


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """Resources that are available to a node.

    Attributes:
        cores: Processor cores.
        link_mbps: Bandwidth of its network link, megabits a second.
    """

    cores: float = ROLE_CORES
    link_mbps: float = ROLE_LINK_MBPS

    @property
    def max_roles(self) -> float:
        """Number of busy roles that the node can run; always more than 0."""
        supported = min(self.cores / ROLE_CORES, self.link_mbps / ROLE_LINK_MBPS)
        return max(0.1, supported)

    def claim_delay_s(self, held: int) -> float:
        """Return how long a node waits before it takes a free role, seconds.

        A node waits longer the fuller the role would make it, so that the role
        goes to the node with the lowest relative load.

        Args:
            held: Number of roles that the node holds already.
        """
        return min(MAX_STAGGER_S, STAGGER_S * (held + 1) / self.max_roles)


DEFAULT_CAPACITY = NodeCapacity()
