"""How much of the fleet's work a node can carry."""

from dataclasses import dataclass

ROLE_CORES = 1.0  # a busy pool of forty workers keeps its holder's core at work
ROLE_LINK_MBPS = 20.0  # megabits a second of orders, lists and records of such a pool

STAGGER_S = 0.15  # wait for each role, the new one included, that fills the node
STAGGER_MOST_S = 0.75  # a node that can carry little still comes in the end


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """What a node has for itself.

    Attributes:
        cores: Processor cores.
        link_mbps: Bandwidth of its network link, megabits a second.
    """

    cores: float = ROLE_CORES
    link_mbps: float = ROLE_LINK_MBPS

    @property
    def roles(self) -> float:
        """Busy roles that it can carry; more than none."""
        carried = min(self.cores / ROLE_CORES, self.link_mbps / ROLE_LINK_MBPS)
        return max(0.1, carried)

    def wait_s(self, held: int) -> float:
        """Return how long a node waits for others before it takes a free role.

        A role goes to the node that it would fill least.

        Args:
            held: Roles that the node has already.
        """
        return min(STAGGER_MOST_S, STAGGER_S * (held + 1) / self.roles)


PLAIN_NODE = NodeCapacity()
