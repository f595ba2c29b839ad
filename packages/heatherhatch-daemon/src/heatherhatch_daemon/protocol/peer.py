"""The API between nodes."""

import hmac

import falcon

from heatherhatch_core.codec import MEDIA, decode_msgpack, encode_msgpack
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..tasks.heartbeats import HEARTBEAT_PATH, Heartbeats
from .bodies import bearer_token, read_body
from .messages import Heartbeat
from .problems import new_app


def peer_app(heartbeats: Heartbeats, secret: str, body_bytes: int) -> falcon.App:
    """Return the application that other nodes talk to."""
    app = new_app()
    app.add_route(HEARTBEAT_PATH, HeartbeatResource(heartbeats, secret, body_bytes))
    return app


class HeartbeatResource:
    """Answers heartbeats of nodes that know the shared secret."""

    def __init__(self, heartbeats: Heartbeats, secret: str, body_bytes: int):
        self.heartbeats = heartbeats
        self.secret = secret
        self.body_bytes = body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer one heartbeat."""
        if not hmac.compare_digest(bearer_token(request), self.secret):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        heartbeat = decode_msgpack(read_body(request, self.body_bytes), Heartbeat)
        response.content_type = MEDIA.msgpack
        response.data = encode_msgpack(self.heartbeats.answer(heartbeat))
