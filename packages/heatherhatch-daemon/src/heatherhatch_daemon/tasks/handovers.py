"""Handing a keyed request over to the node whose memory decides about it."""

from collections.abc import Callable

import gevent

from heatherhatch_core.codec import decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.outcomes import Outcome
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..protocol.messages import Handover
from ..settings import Address
from ..transport.http import ExchangeError, HttpClient, HttpRequest

HANDOVER_PATH = "/peer/requests"
TIMEOUT_HEADER = "X-Request-Timeout"
PEER_CONNECTIONS = 64
CONNECT_TIMEOUT_S = 0.5
ATTEMPT_PART = 0.4
SHORTEST_ATTEMPT_S = 0.1
REFUSALS = 3
PAUSE_S = 0.05
OK = 200


class HandoverSender:
    """Sends requests to other nodes, as often as it takes until the deadline.

    The other node runs a request once however often it comes, so that each
    attempt may be given up early and repeated over a new connection.

    Args:
        secret: Shared secret of the nodes.
        clock: Returns monotonic seconds.
    """

    def __init__(self, secret: str, clock: Callable[[], float]):
        self.secret = secret
        self.clock = clock
        self.clients: dict[str, HttpClient] = {}

    def send(self, peers: str, handover: Handover, deadline_s: float) -> Outcome:
        """Return the outcome at the other node.

        Args:
            peers: ``host:port`` where the other node hears its peers.
            handover: Request and whose it is.
            deadline_s: When the answer is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``ISSUER_GONE`` if nothing listens there,
                ``BACKEND_TIMEOUT`` if there is no answer.
        """
        body = encode_msgpack(handover)
        refusals = 0
        while (left := deadline_s - self.clock()) > 0:
            try:
                return self._attempt(peers, body, left)
            except ExchangeError as error:
                refusals = 0 if error.sent or _silent(error) else refusals + 1
            if refusals == REFUSALS:
                raise HeatherhatchError(ErrorKind.ISSUER_GONE, f"{peers} refuses")
            gevent.sleep(min(PAUSE_S, max(0.0, deadline_s - self.clock())))
        raise HeatherhatchError(ErrorKind.BACKEND_TIMEOUT, f"no answer from {peers}")

    def _attempt(self, peers: str, body: bytes, left_s: float) -> Outcome:
        timeout_s = max(ATTEMPT_PART * left_s, min(left_s, SHORTEST_ATTEMPT_S))
        request = HttpRequest(
            "POST",
            HANDOVER_PATH,
            body,
            (
                ("Authorization", f"Bearer {self.secret}"),
                (TIMEOUT_HEADER, f"{left_s:.3f}"),
            ),
        )
        answer = self._client(peers).exchange(request, timeout_s)
        if answer.status != OK:
            raise ExchangeError(
                ErrorKind.BACKEND_FAILED, f"status {answer.status}", sent=True
            )
        return decode_msgpack(answer.body, Outcome)

    def _client(self, peers: str) -> HttpClient:
        if peers not in self.clients:
            self.clients[peers] = HttpClient(
                Address.parse(peers), PEER_CONNECTIONS, CONNECT_TIMEOUT_S
            )
        return self.clients[peers]


def _silent(error: ExchangeError) -> bool:
    return error.kind is ErrorKind.BACKEND_TIMEOUT
