"""Forwarding of a request with a key to the node that keeps its outcome."""

import dataclasses
from collections.abc import Callable

import gevent

from heatherhatch_core.codec import decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.outcomes import Outcome
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..protocol.messages import ForwardedRequest
from ..protocol.signing import SIGNATURE_HEADER, Signer
from ..settings import Address
from ..transport.http import ExchangeError, HttpClient, HttpRequest

FORWARDING_PATH = "/peer/requests"
PEER_CONNECTIONS = 64
CONNECT_TIMEOUT_S = 0.5
ATTEMPT_TIMEOUT_FRACTION = 0.4
MIN_ATTEMPT_TIMEOUT_S = 0.1
MAX_CONNECTION_REFUSALS = 3
RETRY_PAUSE_S = 0.05
OK = 200
OTHER_INCARNATION_STATUS = 401


class RequestForwarder:
    """Forwards requests to other nodes, with retries until the deadline.

    The other node runs a request only once however often it is sent, so that each
    attempt may time out early and be retried over a new connection.

    Args:
        signer: Signs calls for the incarnation of a process, not of its registration.
        clock: Returns monotonic seconds.

    Attributes:
        clients: HTTP clients by address.
    """

    def __init__(self, signer: Signer, clock: Callable[[], float]):
        self.signer = signer
        self.clock = clock
        self.clients: dict[str, HttpClient] = {}

    def send(
        self,
        peers: str,
        incarnation: str,
        forwarded: ForwardedRequest,
        deadline_s: float,
    ) -> Outcome:
        """Forward a request to another node and return its outcome.

        Args:
            peers: ``host:port`` on which the other node listens for its peers.
            incarnation: Incarnation of that node which keeps the key's outcome.
            forwarded: Request and its caller.
            deadline_s: When the response is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``ISSUER_GONE`` if that incarnation of the node has
                ended, ``BACKEND_TIMEOUT`` if there is no response.
        """
        refusals = 0
        while (remaining_s := deadline_s - self.clock()) > 0:
            attempt = dataclasses.replace(forwarded, timeout_s=remaining_s)
            try:
                return self._attempt(peers, incarnation, attempt)
            except ExchangeError as error:
                refusals = 0 if error.sent or _is_timeout(error) else refusals + 1
            if refusals == MAX_CONNECTION_REFUSALS:
                raise HeatherhatchError(
                    ErrorKind.ISSUER_GONE, f"{peers} refuses connections"
                )
            gevent.sleep(min(RETRY_PAUSE_S, max(0.0, deadline_s - self.clock())))
        raise HeatherhatchError(ErrorKind.BACKEND_TIMEOUT, f"no answer from {peers}")

    def _attempt(
        self, peers: str, incarnation: str, forwarded: ForwardedRequest
    ) -> Outcome:
        remaining_s = forwarded.timeout_s
        timeout_s = max(
            ATTEMPT_TIMEOUT_FRACTION * remaining_s,
            min(remaining_s, MIN_ATTEMPT_TIMEOUT_S),
        )
        body = encode_msgpack(forwarded)
        call, headers = self.signer.sign_call(incarnation, FORWARDING_PATH, body)
        request = HttpRequest("POST", FORWARDING_PATH, body, headers)
        answer = self._client(peers).exchange(request, timeout_s)
        if answer.status == OTHER_INCARNATION_STATUS:
            raise HeatherhatchError(ErrorKind.ISSUER_GONE, f"{peers} has restarted")
        if answer.status != OK:
            raise ExchangeError(
                ErrorKind.BACKEND_FAILED,
                f"the peer responded with status {answer.status}",
                sent=True,
            )
        try:
            proof = dict(answer.headers).get(SIGNATURE_HEADER.lower(), "")
            self.signer.check_answer(call, proof, answer.body)
            return decode_msgpack(answer.body, Outcome)
        except HeatherhatchError as error:
            # Only the response is invalid; the request may have run.
            raise ExchangeError(
                ErrorKind.PARTIAL_ANSWER, error.detail, sent=True
            ) from error

    def _client(self, peers: str) -> HttpClient:
        if peers not in self.clients:
            self.clients[peers] = HttpClient(
                Address.parse(peers), PEER_CONNECTIONS, CONNECT_TIMEOUT_S
            )
        return self.clients[peers]


def _is_timeout(error: ExchangeError) -> bool:
    return error.kind is ErrorKind.BACKEND_TIMEOUT
