"""Nodes of the system as they register themselves."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node's registration in the store.

    Attributes:
        name: Name of the node.
        incarnation: Random id of this registration; a node that lost its entry
            registers anew under another one.
        peers: ``host:port`` where it hears its peers.
        data_centre: Where it runs.
    """

    name: str
    incarnation: str
    peers: str
    data_centre: str
