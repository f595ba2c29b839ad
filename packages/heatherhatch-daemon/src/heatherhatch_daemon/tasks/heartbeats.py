"""Heartbeats: one request and response with each peer in each period."""

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
# Factor by which heartbeats are more frequent during a fault.
FAULT_RATE_FACTOR = 4
TIMEOUT_PERIODS = 0.5
# Periods after which the next request is sent by the node that sent the last
# response, and by the one that sent the last request.
RESPONDER_DELAY_PERIODS = 0.9
REQUESTER_DELAY_PERIODS = 1.4


@dataclass(frozen=True, slots=True)
class PeerView:
    """The state of one peer as this node knows it.

    Attributes:
        entry: Registration of the peer.
        seq: Log position in force on the peer.
        sent_s: When the last request was sent that the peer responded to, or
            when the peer's own last request was received, monotonic seconds.
        demand: Work that the peer reports.
    """

    entry: NodeEntry
    seq: int
    sent_s: float
    demand: tuple[Demand, ...] = ()


class Heartbeats(Task):
    """Periodically exchanges log positions and evidence with each member.

    Args:
        registrar: Source of the members.
        follower: Source of this node's log and standing.
        demand_source: Returns the demand at this node.
        signer: Signs calls and verifies responses.
        period_s: Seconds between two exchanges with the same peer.
        clock: Returns monotonic seconds.

    Attributes:
        views: Latest state of each peer, by name.
        sent_s: When the last request was sent to each peer, by name, monotonic
            seconds.
        contact_s: When each peer's own last request was received, by name,
            monotonic seconds.
        unresponsive: Names of the peers that have not responded to the last request.
        bytes: Bytes of the requests that were answered and of the responses.
        in_flight: Names of the peers with an unanswered request in flight.
        introduced_to: Incarnation of this node that each peer has confirmed to know,
            by name of the peer.
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
        super().__init__("heartbeats", period_s / FAULT_RATE_FACTOR, clock)
        self.registrar = registrar
        self.follower = follower
        self.demand_source = demand_source
        self.signer = signer
        self.heartbeat_period_s = period_s
        self.clients: dict[str, HttpClient] = {}
        self.views: dict[str, PeerView] = {}
        self.sent_s: dict[str, float] = {}
        self.contact_s: dict[str, float] = {}
        self.unresponsive: set[str] = set()
        self.in_flight: set[str] = set()
        self.bytes = 0
        self.introduced_to: dict[str, str] = {}

    def step(self) -> None:
        """Send a request to every peer that is due."""
        peers = self.registrar.membership.others
        self._drop_non_members({peer.name for peer in peers})
        now = self.clock()
        # In an outage time is short: every peer has to report that it lost the
        # store before the last confirmation expires.
        is_fault = self.follower.standing.lost(now) or not self.follower.admitted
        for peer in peers:
            if self._is_due(peer.name, now, is_fault):
                self._start_request(peer)

    def finish(self) -> None:
        """Notify the peers that this node accepts no more changes.

        In an outage the registry cannot show that this node has left, and the
        peers would not act without a report from it.
        """
        self.follower.leaving = True
        peers = self.registrar.membership.others
        greenlets = [gevent.spawn(self._exchange, peer) for peer in peers]
        gevent.joinall(greenlets, timeout=self.heartbeat_period_s)

    def request_all_now(self) -> None:
        """Send a request to every peer now, to spread a new change."""
        for peer in self.registrar.membership.others:
            self._start_request(peer)

    def answer(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Handle a peer's request and return the response."""
        if heartbeat.entry is not None:
            self.registrar.add_member(heartbeat.entry, heartbeat.registered)
        knows = self._record_contact(heartbeat)
        if heartbeat.lease and not self.registrar.renewal_failed:
            gevent.spawn(self._renew, heartbeat.lease)
        if heartbeat.seq > self.follower.log.seq:
            self._request_from(heartbeat.name)
        follower = self.follower
        if heartbeat.leaving:
            follower.advance(_final_message(heartbeat, self.clock()))
        # The clock is read before the position, so that the reported age cannot be
        # too low.
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

    def packed_log(self) -> bytes:
        """Return the packed log for a peer that lacks more than heartbeats carry."""
        return pack_log(self.follower.log)

    def _is_due(self, name, now, is_fault):
        if is_fault or name in self.unresponsive:
            sent_s = self.sent_s.get(name, float("-inf"))
            return now - sent_s >= self.heartbeat_period_s / FAULT_RATE_FACTOR
        # Two nodes send requests to each other in turn: the one that responded
        # last sends the next one.
        sent_s = self.sent_s.get(name, float("-inf"))
        last_contact_s = self.contact_s.get(name, float("-inf"))
        delay_periods = (
            RESPONDER_DELAY_PERIODS
            if last_contact_s > sent_s
            else REQUESTER_DELAY_PERIODS
        )
        return (
            now - max(sent_s, last_contact_s) >= self.heartbeat_period_s * delay_periods
        )

    def _record_contact(self, heartbeat):
        for item in self.registrar.membership.others:
            if item.name != heartbeat.name:
                continue
            if item.incarnation == heartbeat.incarnation:
                now = self.clock()
                self.contact_s[item.name] = now
                view = PeerView(item, heartbeat.seq, now, heartbeat.demand)
                self.views[item.name] = view
                # A peer that sends a request to this registration has it in its
                # view.
                membership = self.registrar.membership.acknowledge_request(item, now)
                self.registrar.update(membership)
                return True
        return False

    def _start_request(self, peer):
        if peer.name in self.in_flight:
            return
        self.in_flight.add(peer.name)
        self.sent_s[peer.name] = self.clock()
        gevent.spawn(self._exchange, peer)

    def _request_from(self, name):
        for peer in self.registrar.membership.others:
            if peer.name == name:
                self._start_request(peer)

    def _exchange(self, peer: NodeEntry) -> None:
        sent_s = self.clock()
        self.unresponsive.add(peer.name)
        try:
            reply = self._call(
                peer, HEARTBEAT_PATH, encode_msgpack(self._build_heartbeat(peer))
            )
            answer = decode_msgpack(reply.body, HeartbeatAnswer)
            if answer.name == peer.name:
                self._apply_answer(peer, answer, sent_s)
                self.unresponsive.discard(peer.name)
        except HeatherhatchError:
            self.introduced_to.pop(peer.name, None)
        finally:
            self.in_flight.discard(peer.name)

    def _build_heartbeat(self, peer):
        registrar = self.registrar
        own = registrar.entry
        introduced = self.introduced_to.get(peer.name) == own.incarnation
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

    def _apply_answer(self, peer, answer, sent_s):
        follower = self.follower
        for change in answer.changes:
            follower.apply(change)
        if answer.seq > follower.log.seq:
            reply = self._call(peer, LOG_PATH, b"")
            follower.replace(unpack_log(reply.body))
        if answer.registry is not None:
            self.registrar.apply_registry(answer.registry)
        evidence = PeerEvidence(answer.incarnation, sent_s, answer.lost, answer.seq)
        follower.advance(PeerAnswered(peer.name, evidence))
        if follower.log.seq >= answer.seq:
            follower.advance(confirmation_from_peer(sent_s, answer.age_s))
        entry = self._entry_of(peer, answer.incarnation)
        if answer.knows:
            self.introduced_to[peer.name] = self.registrar.entry.incarnation
            membership = self.registrar.membership
            now = self.clock()
            self.registrar.update(membership.acknowledge(entry, answer.accepts, now))
        else:
            self.introduced_to.pop(peer.name, None)
        self.views[peer.name] = PeerView(entry, answer.seq, sent_s, answer.demand)

    def _entry_of(self, peer, incarnation):
        for item in self.registrar.membership.others:
            if item.name == peer.name and item.incarnation == incarnation:
                return item
        return peer

    def _call(self, peer: NodeEntry, path: str, body: bytes) -> HttpAnswer:
        call, headers = self.signer.sign_call(peer.incarnation, path, body)
        request = HttpRequest("POST", path, body, headers)
        timeout_s = self.heartbeat_period_s * TIMEOUT_PERIODS
        reply = self._client(peer).exchange(request, timeout_s)
        self.bytes += exchange_bytes(request, reply)
        if reply.status != 200:
            raise HeatherhatchError(
                ErrorKind.INTERNAL, f"the peer responded with status {reply.status}"
            )
        proof = dict(reply.headers).get(SIGNATURE_HEADER.lower(), "")
        self.signer.check_answer(call, proof, reply.body)
        return reply

    def _drop_non_members(self, names):
        self.views = {k: v for k, v in self.views.items() if k in names}
        self.sent_s = {k: v for k, v in self.sent_s.items() if k in names}
        self.contact_s = {k: v for k, v in self.contact_s.items() if k in names}
        self.unresponsive &= names

    def _renew(self, lease):
        # On failure the peer repeats its request, to this node or another one.
        with contextlib.suppress(StoreError):
            self.registrar.renew_for_peer(lease)

    def _client(self, peer: NodeEntry) -> HttpClient:
        if peer.peers not in self.clients:
            address = Address.parse(peer.peers)
            client = HttpClient(address, PEER_CONNECTIONS, self.heartbeat_period_s)
            self.clients[peer.peers] = client
        return self.clients[peer.peers]


def _final_message(heartbeat: Heartbeat, now_s: float) -> PeerLeft:
    evidence = PeerEvidence(heartbeat.incarnation, now_s, True, heartbeat.seq)
    return PeerLeft(heartbeat.name, evidence)
