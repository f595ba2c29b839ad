"""Heartbeats: one question and answer with each peer in each period."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from heatherhatch_core.codec import decode_msgpack, encode_msgpack
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.demand import Demand

from ..protocol.messages import Heartbeat, HeartbeatAnswer, NodeEntry
from ..settings import Address
from ..transport.http import HttpClient, HttpRequest
from .follower import Follower
from .registrar import Registrar
from .task import Task

HEARTBEAT_PATH = "/peer/heartbeat"
PEER_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class PeerView:
    """What a node knows of one peer.

    Attributes:
        entry: Its registration.
        seq: Log position in force there.
        asked_s: When the last answered question was sent, monotonic seconds.
        demand: Work that it sees.
    """

    entry: NodeEntry
    seq: int
    asked_s: float
    demand: tuple[Demand, ...] = ()


class Heartbeats(Task):
    """Asks each registered peer for its log position.

    Args:
        registrar: Source of the peers.
        follower: Source of this node's log position.
        demand_source: Returns the work that this node sees.
        secret: Shared secret of the nodes.
        period_s: Seconds between two rounds.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        registrar: Registrar,
        follower: Follower,
        demand_source: Callable[[], tuple[Demand, ...]],
        secret: str,
        period_s: float,
        clock: Callable[[], float],
    ):
        super().__init__("heartbeats", period_s, clock)
        self.registrar = registrar
        self.follower = follower
        self.demand_source = demand_source
        self.secret = secret
        self.clients: dict[str, HttpClient] = {}
        self.views: dict[str, PeerView] = {}

    def step(self) -> None:
        """Ask every peer at once."""
        own = self.registrar.entry.name
        peers = [e for e in self.registrar.nodes.values() if e.name != own]
        known = {peer.name for peer in peers}
        self.views = {k: v for k, v in self.views.items() if k in known}
        asks = [gevent.spawn(self._ask, peer) for peer in peers]
        gevent.joinall(asks, timeout=self.period_s)

    def answer(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Return the answer to a peer's question."""
        return HeartbeatAnswer(
            self.registrar.entry, self.follower.config.seq, self.demand_source()
        )

    def _ask(self, peer: NodeEntry) -> None:
        asked = self.clock()
        message = Heartbeat(
            self.registrar.entry, self.follower.config.seq, self.demand_source()
        )
        request = HttpRequest(
            "POST",
            HEARTBEAT_PATH,
            encode_msgpack(message),
            (("Authorization", f"Bearer {self.secret}"),),
        )
        try:
            reply = self._client(peer).exchange(request, self.period_s)
            if reply.status != 200:
                return
            answer = decode_msgpack(reply.body, HeartbeatAnswer)
        except HeatherhatchError:
            return
        self.views[peer.name] = PeerView(
            answer.responder, answer.seq, asked, answer.demand
        )

    def _client(self, peer: NodeEntry) -> HttpClient:
        if peer.peers not in self.clients:
            address = Address.parse(peer.peers)
            client = HttpClient(address, PEER_CONNECTIONS, self.period_s)
            self.clients[peer.peers] = client
        return self.clients[peer.peers]
