"""Heartbeats: one question and answer with each peer in each period."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from heatherhatch_core.codec import decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.standing import (
    PeerAnswered,
    PeerEvidence,
    PeerLeft,
    confirmation_from_peer,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.log import pack_log, unpack_log
from heatherhatch_core.state.nodes import NodeEntry

from ..protocol.messages import Heartbeat, HeartbeatAnswer
from ..protocol.signing import SIGNATURE_HEADER, Signer
from ..settings import Address
from ..transport.http import HttpAnswer, HttpClient, HttpRequest, exchange_bytes
from .follower import Follower
from .registrar import Registrar
from .task import Task

HEARTBEAT_PATH = "/peer/heartbeat"
LOG_PATH = "/peer/log"
PEER_CONNECTIONS = 2
# While something is wrong, peers are asked more often by this factor.
FAST_FACTOR = 4
ANSWER_PERIODS = 0.5
# Parts of the period after which the node that answered last, and the one that
# asked last, asks next.
ANSWERED_PART = 0.9
ASKED_PART = 1.4


@dataclass(frozen=True, slots=True)
class PeerView:
    """What a node knows of one peer.

    Attributes:
        entry: Its registration.
        seq: Log position in force there.
        sent_s: When the last answered question was sent, or the peer's own last
            question came, monotonic seconds.
        demand: Work that it sees.
    """

    entry: NodeEntry
    seq: int
    sent_s: float
    demand: tuple[Demand, ...] = ()


class Heartbeats(Task):
    """Asks each member in turn for its log position and its evidence.

    Args:
        registrar: Source of the members.
        follower: Source of this node's log and standing.
        demand_source: Returns the work that this node sees.
        signer: Signs calls and checks answers.
        period_s: Seconds between two questions to the same peer.
        clock: Returns monotonic seconds.

    Attributes:
        views: Last answers by name.
        sent_s: When each peer was asked last, by name, monotonic seconds.
        met_s: When each peer was asked last or asked itself, likewise.
        silent: Names of the peers whose last question had no answer.
        bytes: Bytes of all questions and their answers.
        asking: Names of the peers with an open question.
    """

    def __init__(
        self,
        registrar: Registrar,
        follower: Follower,
        demand_source: Callable[[], tuple[Demand, ...]],
        signer: Signer,
        period_s: float,
        clock: Callable[[], float],
    ):
        super().__init__("heartbeats", period_s / FAST_FACTOR, clock)
        self.registrar = registrar
        self.follower = follower
        self.demand_source = demand_source
        self.signer = signer
        self.ask_s = period_s
        self.clients: dict[str, HttpClient] = {}
        self.views: dict[str, PeerView] = {}
        self.sent_s: dict[str, float] = {}
        self.met_s: dict[str, float] = {}
        self.silent: set[str] = set()
        self.asking: set[str] = set()
        self.bytes = 0
        self.known_to: dict[str, str] = {}

    def step(self) -> None:
        """Ask every peer whose turn it is."""
        peers = self.registrar.membership.others
        self._drop_others({peer.name for peer in peers})
        now = self.clock()
        # An outage is short of time: all peers have to say that they lost the
        # store before the last confirmation is too old.
        lost = self.follower.standing.lost(now) or not self.follower.admitted
        for peer in peers:
            if self._is_due(peer.name, now, lost):
                self._start_asking(peer)

    def finish(self) -> None:
        """Tell the peers that this node accepts no change any more.

        In an outage the registry can't tell them, and they would wait for a
        word from this node before they act.
        """
        self.follower.leaving = True
        peers = self.registrar.membership.others
        asks = [gevent.spawn(self._ask, peer) for peer in peers]
        gevent.joinall(asks, timeout=self.ask_s)

    def hurry(self) -> None:
        """Ask every peer at once, to spread what is new."""
        for peer in self.registrar.membership.others:
            self._start_asking(peer)

    def answer(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Return the answer to a peer's question."""
        if heartbeat.entry is not None:
            self.registrar.add_member(heartbeat.entry, heartbeat.registered)
        knows = self._meet(heartbeat)
        if heartbeat.lease and not self.registrar.renewal_failed:
            gevent.spawn(self._renew, heartbeat.lease)
        if heartbeat.seq > self.follower.log.seq:
            self._ask_soon(heartbeat.name)
        follower = self.follower
        if heartbeat.leaving:
            follower.advance(_farewell(heartbeat, self.clock()))
        # The age is read before the position, so that it can't be too young.
        now = self.clock()
        membership = self.registrar.membership
        differs = membership.digest != heartbeat.digest
        return HeartbeatAnswer(
            name=membership.own.name,
            incarnation=membership.own.incarnation,
            seq=follower.log.seq,
            lost=follower.standing.lost(now),
            age_s=follower.standing.age_s(now),
            accepts=follower.admitted and follower.may_accept(),
            knows=knows,
            changes=follower.log.changes_after(heartbeat.seq),
            registry=membership.registry if differs else None,
            demand=self.demand_source(),
        )

    def whole_log(self) -> bytes:
        """Return the log for a peer that lacks more than heartbeats carry."""
        return pack_log(self.follower.log)

    def _is_due(self, name, now, lost):
        if lost or name in self.silent:
            asked = self.sent_s.get(name, float("-inf"))
            return now - asked >= self.ask_s / FAST_FACTOR
        # Two nodes ask each other in turns: the one that answered goes first.
        asked = self.sent_s.get(name, float("-inf"))
        met = self.met_s.get(name, float("-inf"))
        turn = ANSWERED_PART if met > asked else ASKED_PART
        return now - max(asked, met) >= self.ask_s * turn

    def _meet(self, heartbeat):
        for item in self.registrar.membership.others:
            if item.name != heartbeat.name:
                continue
            if item.incarnation == heartbeat.incarnation:
                now = self.clock()
                self.met_s[item.name] = now
                view = PeerView(item, heartbeat.seq, now, heartbeat.demand)
                self.views[item.name] = view
                # Whoever asks this registration has it in its view.
                met = self.registrar.membership.acknowledge_request(item, now)
                self.registrar.update(met)
                return True
        return False

    def _start_asking(self, peer):
        if peer.name in self.asking:
            return
        self.asking.add(peer.name)
        self.sent_s[peer.name] = self.clock()
        gevent.spawn(self._ask, peer)

    def _ask_soon(self, name):
        for peer in self.registrar.membership.others:
            if peer.name == name:
                self._start_asking(peer)

    def _ask(self, peer: NodeEntry) -> None:
        asked = self.clock()
        self.silent.add(peer.name)
        try:
            reply = self._call(
                peer, HEARTBEAT_PATH, encode_msgpack(self._ask_for(peer))
            )
            answer = decode_msgpack(reply.body, HeartbeatAnswer)
            if answer.name == peer.name:
                self._take(peer, answer, asked)
                self.silent.discard(peer.name)
        except HeatherhatchError:
            self.known_to.pop(peer.name, None)
        finally:
            self.asking.discard(peer.name)

    def _ask_for(self, peer):
        registrar = self.registrar
        own = registrar.entry
        introduced = self.known_to.get(peer.name) == own.incarnation
        introduce = registrar.revision and not introduced
        return Heartbeat(
            name=own.name,
            incarnation=own.incarnation,
            seq=self.follower.log.seq,
            digest=registrar.membership.digest,
            entry=own if introduce else None,
            registered=registrar.revision if introduce else 0,
            lease=registrar.lease if registrar.renewal_failed else 0,
            demand=self.demand_source(),
            leaving=self.follower.leaving,
        )

    def _take(self, peer, answer, asked):
        follower = self.follower
        for change in answer.changes:
            follower.apply(change)
        if answer.seq > follower.log.seq:
            reply = self._call(peer, LOG_PATH, b"")
            follower.replace(unpack_log(reply.body))
        if answer.registry is not None:
            self.registrar.learn(answer.registry)
        evidence = PeerEvidence(answer.incarnation, asked, answer.lost, answer.seq)
        follower.advance(PeerAnswered(peer.name, evidence))
        if follower.log.seq >= answer.seq:
            follower.advance(confirmation_from_peer(asked, answer.age_s))
        entry = self._entry_of(peer, answer.incarnation)
        if answer.knows:
            self.known_to[peer.name] = self.registrar.entry.incarnation
            membership = self.registrar.membership
            now = self.clock()
            self.registrar.update(membership.acknowledge(entry, answer.accepts, now))
        else:
            self.known_to.pop(peer.name, None)
        self.views[peer.name] = PeerView(entry, answer.seq, asked, answer.demand)

    def _entry_of(self, peer, incarnation):
        for item in self.registrar.membership.others:
            if item.name == peer.name and item.incarnation == incarnation:
                return item
        return peer

    def _call(self, peer: NodeEntry, path: str, body: bytes) -> HttpAnswer:
        call, headers = self.signer.sign_call(peer.incarnation, path, body)
        request = HttpRequest("POST", path, body, headers)
        timeout_s = self.ask_s * ANSWER_PERIODS
        reply = self._client(peer).exchange(request, timeout_s)
        self.bytes += exchange_bytes(request, reply)
        if reply.status != 200:
            raise HeatherhatchError(ErrorKind.INTERNAL, f"peer said {reply.status}")
        proof = dict(reply.headers).get(SIGNATURE_HEADER.lower(), "")
        self.signer.check_answer(call, proof, reply.body)
        return reply

    def _drop_others(self, known):
        self.views = {k: v for k, v in self.views.items() if k in known}
        self.sent_s = {k: v for k, v in self.sent_s.items() if k in known}
        self.met_s = {k: v for k, v in self.met_s.items() if k in known}
        self.silent &= known

    def _renew(self, lease):
        # If it fails, the peer asks again, here or elsewhere.
        with contextlib.suppress(StoreError):
            self.registrar.renew_for_peer(lease)

    def _client(self, peer: NodeEntry) -> HttpClient:
        if peer.peers not in self.clients:
            address = Address.parse(peer.peers)
            client = HttpClient(address, PEER_CONNECTIONS, self.ask_s)
            self.clients[peer.peers] = client
        return self.clients[peer.peers]


def _farewell(heartbeat: Heartbeat, now_s: float) -> PeerLeft:
    evidence = PeerEvidence(heartbeat.incarnation, now_s, True, heartbeat.seq)
    return PeerLeft(heartbeat.name, evidence)
