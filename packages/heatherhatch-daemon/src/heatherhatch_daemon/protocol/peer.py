"""The API between nodes."""

import hmac

import falcon

from heatherhatch_core.codec import MEDIA, decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.outcomes import Outcome
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..tasks.gateway import Gateway
from ..tasks.handovers import HANDOVER_PATH
from ..tasks.heartbeats import HEARTBEAT_PATH, Heartbeats
from .bodies import bearer_token, read_body, read_timeout_s
from .messages import Handover, Heartbeat
from .problems import new_app

# A handed-over body comes with its headers and key around it.
HANDOVER_ROOM_BYTES = 65_536


def peer_app(
    heartbeats: Heartbeats, gateway: Gateway, secret: str, body_bytes: int
) -> falcon.App:
    """Return the application that other nodes talk to."""
    app = new_app()
    app.add_route(HEARTBEAT_PATH, HeartbeatResource(heartbeats, secret, body_bytes))
    room = body_bytes + HANDOVER_ROOM_BYTES
    app.add_route(HANDOVER_PATH, HandoverResource(gateway, secret, room))
    return app


def check_secret(request: falcon.Request, secret: str) -> None:
    """Check that a request comes from a node.

    Raises:
        HeatherhatchError: ``UNAUTHENTICATED``.
    """
    if not hmac.compare_digest(bearer_token(request).encode(), secret.encode()):
        raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)


class HeartbeatResource:
    """Answers heartbeats of nodes that know the shared secret."""

    def __init__(self, heartbeats: Heartbeats, secret: str, body_bytes: int):
        self.heartbeats = heartbeats
        self.secret = secret
        self.body_bytes = body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer one heartbeat."""
        check_secret(request, self.secret)
        heartbeat = decode_msgpack(read_body(request, self.body_bytes), Heartbeat)
        response.content_type = MEDIA.msgpack
        response.data = encode_msgpack(self.heartbeats.answer(heartbeat))


class HandoverResource:
    """Carries out keyed requests that belong to this node."""

    def __init__(self, gateway: Gateway, secret: str, body_bytes: int):
        self.gateway = gateway
        self.secret = secret
        self.body_bytes = body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Carry out one request and return its outcome."""
        check_secret(request, self.secret)
        handover = decode_msgpack(read_body(request, self.body_bytes), Handover)
        try:
            answer = self.gateway.take_over(handover, read_timeout_s(request))
            outcome = Outcome(answer.status, answer.headers, answer.body)
        except HeatherhatchError as error:
            outcome = Outcome(
                error=error.kind,
                detail=error.detail,
                retry_after_s=error.retry_after_s,
            )
        response.content_type = MEDIA.msgpack
        response.data = encode_msgpack(outcome)
