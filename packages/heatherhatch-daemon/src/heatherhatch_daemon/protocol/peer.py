"""HTTP API between nodes."""

from dataclasses import dataclass

import falcon

from heatherhatch_core.codec import MEDIA, decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.outcomes import Outcome, error_outcome
from heatherhatch_core.exceptions import HeatherhatchError

from ..tasks.gateway import Gateway
from ..tasks.heartbeats import HEARTBEAT_PATH, LOG_PATH, Heartbeats
from ..tasks.request_forwarding import FORWARDING_PATH
from .bodies import read_body
from .messages import ForwardedRequest, Heartbeat
from .problems import new_app
from .signing import SIGNATURE_HEADER, Signer

# A forwarded request carries its headers and key in addition to its body.
FORWARDING_OVERHEAD_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class PeerSigners:
    """Signers for the two kinds of calls.

    Attributes:
        node: Signs for the current registration of this node.
        process: Signs for the current process of this node. An idempotency key
            names the process that keeps its outcome in memory; the node may
            register again without losing that memory.
    """

    node: Signer
    process: Signer


def peer_app(
    heartbeats: Heartbeats, gateway: Gateway, signers: PeerSigners, body_bytes: int
) -> falcon.App:
    """Return the WSGI application that serves other nodes."""
    app = new_app()
    app.add_route(
        HEARTBEAT_PATH, HeartbeatResource(heartbeats, signers.node, body_bytes)
    )
    app.add_route(LOG_PATH, LogResource(heartbeats, signers.node, body_bytes))
    forwarded_bytes = body_bytes + FORWARDING_OVERHEAD_BYTES
    app.add_route(
        FORWARDING_PATH,
        ForwardedRequestResource(gateway, signers.process, forwarded_bytes),
    )
    return app


class PeerResource:
    """Base class of the resources; verifies calls and signs answers."""

    def __init__(self, signer: Signer, body_bytes: int):
        self.signer = signer
        self.body_bytes = body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer one call that is signed with the shared secret."""
        body = read_body(request, self.body_bytes)
        header = request.get_header(SIGNATURE_HEADER) or ""
        call = self.signer.check_call(header, request.path, body)
        data = self.answer(body)
        response.content_type = MEDIA.msgpack
        response.data = data
        response.set_header(SIGNATURE_HEADER, self.signer.sign_answer(call, data))

    def answer(self, body: bytes) -> bytes:
        """Return the encoded answer to a call."""
        raise NotImplementedError


class HeartbeatResource(PeerResource):
    """Answers heartbeats."""

    def __init__(self, heartbeats: Heartbeats, signer: Signer, body_bytes: int):
        super().__init__(signer, body_bytes)
        self.heartbeats = heartbeats

    def answer(self, body: bytes) -> bytes:
        """Return the encoded answer to one heartbeat."""
        heartbeat = decode_msgpack(body, Heartbeat)
        return encode_msgpack(self.heartbeats.answer(heartbeat))


class LogResource(PeerResource):
    """Sends the log to a peer that is too far behind to catch up by heartbeats."""

    def __init__(self, heartbeats: Heartbeats, signer: Signer, body_bytes: int):
        super().__init__(signer, body_bytes)
        self.heartbeats = heartbeats

    def answer(self, body: bytes) -> bytes:
        """Return the log as compressed data."""
        return self.heartbeats.packed_log()


class ForwardedRequestResource(PeerResource):
    """Carries out forwarded requests whose idempotency keys this node owns."""

    def __init__(self, gateway: Gateway, signer: Signer, body_bytes: int):
        super().__init__(signer, body_bytes)
        self.gateway = gateway

    def answer(self, body: bytes) -> bytes:
        """Return the encoded outcome of one request."""
        forwarded = decode_msgpack(body, ForwardedRequest)
        try:
            answer = self.gateway.handle_forwarded(forwarded)
            outcome = Outcome(answer.status, answer.headers, answer.body)
        except HeatherhatchError as error:
            outcome = error_outcome(error)
        return encode_msgpack(outcome)
