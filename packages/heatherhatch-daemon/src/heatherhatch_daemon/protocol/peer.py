"""The API between nodes."""

from dataclasses import dataclass

import falcon

from heatherhatch_core.codec import MEDIA, decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.outcomes import Outcome, outcome_of
from heatherhatch_core.exceptions import HeatherhatchError

from ..tasks.gateway import Gateway
from ..tasks.handovers import HANDOVER_PATH
from ..tasks.heartbeats import HEARTBEAT_PATH, LOG_PATH, Heartbeats
from .bodies import read_body
from .messages import Handover, Heartbeat
from .problems import new_app
from .signing import SIGNATURE_HEADER, Signer

# A handed-over body comes with its headers and key around it.
HANDOVER_ROOM_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class PeerSigners:
    """How the two kinds of calls are signed.

    Attributes:
        node: Signs for this node's present registration.
        memory: Signs for this start of the process, whose memory a key names;
            a registration may be renewed while the memory stays.
    """

    node: Signer
    memory: Signer


def peer_app(
    heartbeats: Heartbeats, gateway: Gateway, signers: PeerSigners, body_bytes: int
) -> falcon.App:
    """Return the application that other nodes talk to."""
    app = new_app()
    app.add_route(
        HEARTBEAT_PATH, HeartbeatResource(heartbeats, signers.node, body_bytes)
    )
    app.add_route(LOG_PATH, LogResource(heartbeats, signers.node, body_bytes))
    room = body_bytes + HANDOVER_ROOM_BYTES
    app.add_route(HANDOVER_PATH, HandoverResource(gateway, signers.memory, room))
    return app


class PeerResource:
    """Base of the resources: checks calls and signs answers."""

    def __init__(self, signer: Signer, body_bytes: int):
        self.signer = signer
        self.body_bytes = body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer one call of a node that knows the shared secret."""
        body = read_body(request, self.body_bytes)
        header = request.get_header(SIGNATURE_HEADER) or ""
        call = self.signer.check_call(header, request.path, body)
        data = self.answer(body)
        response.content_type = MEDIA.msgpack
        response.data = data
        response.set_header(SIGNATURE_HEADER, self.signer.sign_answer(call, data))

    def answer(self, body: bytes) -> bytes:
        """Return the answer to a call."""
        raise NotImplementedError


class HeartbeatResource(PeerResource):
    """Answers heartbeats."""

    def __init__(self, heartbeats: Heartbeats, signer: Signer, body_bytes: int):
        super().__init__(signer, body_bytes)
        self.heartbeats = heartbeats

    def answer(self, body: bytes) -> bytes:
        """Return the answer to one heartbeat."""
        heartbeat = decode_msgpack(body, Heartbeat)
        return encode_msgpack(self.heartbeats.answer(heartbeat))


class LogResource(PeerResource):
    """Hands the log to a peer that lacks more than heartbeats carry."""

    def __init__(self, heartbeats: Heartbeats, signer: Signer, body_bytes: int):
        super().__init__(signer, body_bytes)
        self.heartbeats = heartbeats

    def answer(self, body: bytes) -> bytes:
        """Return the log as compressed bytes."""
        return self.heartbeats.whole_log()


class HandoverResource(PeerResource):
    """Carries out keyed requests that belong to this node."""

    def __init__(self, gateway: Gateway, signer: Signer, body_bytes: int):
        super().__init__(signer, body_bytes)
        self.gateway = gateway

    def answer(self, body: bytes) -> bytes:
        """Return the outcome of one request."""
        handover = decode_msgpack(body, Handover)
        try:
            answer = self.gateway.take_over(handover)
            outcome = Outcome(answer.status, answer.headers, answer.body)
        except HeatherhatchError as error:
            outcome = outcome_of(error)
        return encode_msgpack(outcome)
