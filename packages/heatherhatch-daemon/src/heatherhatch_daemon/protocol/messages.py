"""Messages between nodes."""

from dataclasses import dataclass

from heatherhatch_core.coordination.membership import Registry
from heatherhatch_core.state.changes import Change
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.nodes import NodeEntry

__all__ = ["Heartbeat", "HeartbeatAnswer", "NodeEntry"]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A question from one node to another.

    Attributes:
        name: Who asks.
        incarnation: Its registration.
        seq: Log position that is in force at the sender.
        digest: Checksum of the registry that the sender knows.
        entry: The sender's registration, until the receiver has shown that it
            knows it.
        registered: Store revision of that registration.
        lease: Lease that the sender can't renew itself, 0 if none.
        demand: Work that the sender sees.
        leaving: True if the sender ends and accepts no change any more.
    """

    name: str
    incarnation: str
    seq: int
    digest: int
    entry: NodeEntry | None = None
    registered: int = 0
    lease: int = 0
    demand: tuple[Demand, ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """The answer to a heartbeat.

    Attributes:
        name: Who answers.
        incarnation: Its registration.
        seq: Log position that is in force at the responder.
        lost: True if the responder does not reach the store.
        age_s: Age of the responder's confirmation of the log head; infinite
            if it has none.
        accepts: True if the responder may accept changes.
        knows: True if the asker is in the responder's view.
        changes: Entries of the log that the asker lacks, in order.
        registry: The registry, if the asker knows another one.
        demand: Work that the responder sees.
    """

    name: str
    incarnation: str
    seq: int
    lost: bool
    age_s: float
    accepts: bool
    knows: bool
    changes: tuple[Change, ...] = ()
    registry: Registry | None = None
    demand: tuple[Demand, ...] = ()


@dataclass(frozen=True, slots=True)
class Handover:
    """A keyed request that belongs to the node that it is sent to.

    Attributes:
        timeout_s: Seconds that are left for the answer.
        team: Team that the request counts against, empty for open work.
        key_id: Team key that came with it, empty for open work.
        work_class: Name of the class.
        idempotency_key: The caller's Idempotency-Key.
        method: HTTP method.
        path: Path and query.
        headers: Names and values.
        body: Content.
    """

    timeout_s: float
    team: str
    key_id: str
    work_class: str
    idempotency_key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
