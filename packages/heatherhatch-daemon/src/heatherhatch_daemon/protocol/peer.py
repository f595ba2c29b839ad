"""The API between nodes."""

import falcon

from heatherhatch_core.codec import MEDIA, decode_msgpack, encode_msgpack

from ..tasks.heartbeats import HEARTBEAT_PATH, LOG_PATH, Heartbeats
from .bodies import read_body
from .messages import Heartbeat
from .problems import new_app
from .signing import SIGNATURE_HEADER, Signer


def peer_app(heartbeats: Heartbeats, signer: Signer, body_bytes: int) -> falcon.App:
    """Return the application that other nodes talk to."""
    app = new_app()
    app.add_route(HEARTBEAT_PATH, HeartbeatResource(heartbeats, signer, body_bytes))
    app.add_route(LOG_PATH, LogResource(heartbeats, signer, body_bytes))
    return app


class PeerResource:
    """Base of the resources: checks calls and signs answers."""

    def __init__(self, heartbeats: Heartbeats, signer: Signer, body_bytes: int):
        self.heartbeats = heartbeats
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

    def answer(self, body: bytes) -> bytes:
        """Return the answer to one heartbeat."""
        heartbeat = decode_msgpack(body, Heartbeat)
        return encode_msgpack(self.heartbeats.answer(heartbeat))


class LogResource(PeerResource):
    """Hands the log to a peer that lacks more than heartbeats carry."""

    def answer(self, body: bytes) -> bytes:
        """Return the log as compressed bytes."""
        return self.heartbeats.whole_log()
