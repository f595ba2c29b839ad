"""Messages between nodes."""

from dataclasses import dataclass

from heatherhatch_core.coordination.membership import Registry
from heatherhatch_core.state.changes import Change
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.nodes import NodeEntry

__all__ = ["Heartbeat", "HeartbeatAnswer", "NodeEntry"]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat from one node to another, to which the other node responds.

    Attributes:
        name: Name of the sender.
        incarnation: Registration id of the sender.
        seq: Log position in force at the sender.
        digest: Checksum of the registry known to the sender.
        entry: Registration of the sender; None once the receiver has confirmed that
            it knows the registration.
        registered: Store revision of that registration, 0 without an entry.
        lease: Lease that the sender cannot renew itself and that the receiver
            should renew, 0 for none.
        demand: Demand at the sender.
        leaving: True if the sender is shutting down and accepts no more changes.
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
        name: Name of the responder.
        incarnation: Registration id of the responder.
        seq: Log position in force at the responder.
        lost: True if the responder does not reach the store.
        age_s: Age of the responder's confirmation of the log head, seconds;
            infinite if it has none.
        accepts: True if the responder may accept changes.
        knows: True if the sender of the heartbeat is in the responder's view of
            the members.
        changes: Log entries that the sender of the heartbeat does not have, in
            order; empty if the responder does not hold all of them.
        registry: Registry of the responder, if the sender knows a different one.
        demand: Demand at the responder.
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
class ForwardedRequest:
    """A request with an idempotency key, forwarded to the node that owns the key.

    Attributes:
        timeout_s: Time left for the answer, seconds.
        team: Team whose limit the request counts against; empty for work accepted
            without a team key.
        key_id: Id of the team key of the request; empty without one.
        work_class: Name of the class of work.
        idempotency_key: Idempotency-Key of the caller.
        method: HTTP method.
        path: Path and query string.
        headers: Names and values of the headers.
        body: Body of the request.
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
