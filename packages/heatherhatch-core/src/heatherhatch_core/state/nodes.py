"""Registrations of nodes in the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node's registration in the store.

    Attributes:
        name: Name of the node.
        incarnation: Random id of this registration; a node that lost its entry
            registers again under a new id.
        peers: ``host:port`` on which it listens for its peers.
        data_centre: Data centre in which it runs.
    """

    name: str
    incarnation: str
    peers: str
    data_centre: str
