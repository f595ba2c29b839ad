"""Messages between nodes."""

from dataclasses import dataclass

from heatherhatch_core.state.demand import Demand


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node's registration in the store.

    Attributes:
        name: Name of the node.
        incarnation: Random id of this start of the process.
        peers: ``host:port`` where it hears its peers.
        data_centre: Where it runs.
    """

    name: str
    incarnation: str
    peers: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A question from one node to another.

    Attributes:
        sender: Who asks.
        seq: Log position that is in force at the sender.
        demand: Work that the sender sees.
    """

    sender: NodeEntry
    seq: int
    demand: tuple[Demand, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """The answer to a heartbeat.

    Attributes:
        responder: Who answers.
        seq: Log position that is in force at the responder.
        demand: Work that the responder sees.
    """

    responder: NodeEntry
    seq: int
    demand: tuple[Demand, ...] = ()


@dataclass(frozen=True, slots=True)
class Handover:
    """A keyed request that belongs to the node that it is sent to.

    Attributes:
        incarnation: Start of that node that the key belongs to.
        team: Team that the request counts against, empty for open work.
        key_id: Team key that came with it, empty for open work.
        work_class: Name of the class.
        idempotency_key: The caller's Idempotency-Key.
        method: HTTP method.
        path: Path and query.
        headers: Names and values.
        body: Content.
    """

    incarnation: str
    team: str
    key_id: str
    work_class: str
    idempotency_key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
