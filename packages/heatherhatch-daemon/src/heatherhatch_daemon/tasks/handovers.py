"""Handing a keyed request over to the node whose memory decides about it."""

import dataclasses
from collections.abc import Callable

import gevent

from heatherhatch_core.codec import decode_msgpack, encode_msgpack
from heatherhatch_core.coordination.outcomes import Outcome
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..protocol.messages import Handover
from ..protocol.signing import SIGNATURE_HEADER, Signer
from ..settings import Address
from ..transport.http import ExchangeError, HttpClient, HttpRequest

HANDOVER_PATH = "/peer/requests"
PEER_CONNECTIONS = 64
CONNECT_TIMEOUT_S = 0.5
ATTEMPT_PART = 0.4
SHORTEST_ATTEMPT_S = 0.1
REFUSALS = 3
PAUSE_S = 0.05
OK = 200
ANOTHER_START = 401


class HandoverSender:
    """Sends requests to other nodes, as often as it takes until the deadline.

    The other node runs a request once however often it comes, so that each
    attempt may be given up early and repeated over a new connection.

    Args:
        signer: Signs calls for the start of a process, not its registration.
        clock: Returns monotonic seconds.
    """

    def __init__(self, signer: Signer, clock: Callable[[], float]):
        self.signer = signer
        self.clock = clock
        self.clients: dict[str, HttpClient] = {}

    def send(
        self, peers: str, incarnation: str, handover: Handover, deadline_s: float
    ) -> Outcome:
        """Return the outcome at the other node.

        Args:
            peers: ``host:port`` where the other node hears its peers.
            incarnation: Start of that node whose memory the key belongs to.
            handover: Request and whose it is.
            deadline_s: When the answer is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``ISSUER_GONE`` if that start of the node has
                ended, ``BACKEND_TIMEOUT`` if there is no answer.
        """
        refusals = 0
        while (left := deadline_s - self.clock()) > 0:
            timed = dataclasses.replace(handover, timeout_s=left)
            try:
                return self._attempt(peers, incarnation, timed)
            except ExchangeError as error:
                refusals = 0 if error.sent or _silent(error) else refusals + 1
            if refusals == REFUSALS:
                raise HeatherhatchError(ErrorKind.ISSUER_GONE, f"{peers} refuses")
            gevent.sleep(min(PAUSE_S, max(0.0, deadline_s - self.clock())))
        raise HeatherhatchError(ErrorKind.BACKEND_TIMEOUT, f"no answer from {peers}")

    def _attempt(self, peers: str, incarnation: str, handover: Handover) -> Outcome:
        left_s = handover.timeout_s
        timeout_s = max(ATTEMPT_PART * left_s, min(left_s, SHORTEST_ATTEMPT_S))
        body = encode_msgpack(handover)
        call, headers = self.signer.sign_call(incarnation, HANDOVER_PATH, body)
        request = HttpRequest("POST", HANDOVER_PATH, body, headers)
        answer = self._client(peers).exchange(request, timeout_s)
        if answer.status == ANOTHER_START:
            raise HeatherhatchError(ErrorKind.ISSUER_GONE, f"{peers} started anew")
        if answer.status != OK:
            raise ExchangeError(
                ErrorKind.BACKEND_FAILED, f"status {answer.status}", sent=True
            )
        try:
            proof = dict(answer.headers).get(SIGNATURE_HEADER.lower(), "")
            self.signer.check_answer(call, proof, answer.body)
            return decode_msgpack(answer.body, Outcome)
        except HeatherhatchError as error:
            # It concerns the answer; the request may have run all the same.
            raise ExchangeError(
                ErrorKind.PARTIAL_ANSWER, error.detail, sent=True
            ) from error

    def _client(self, peers: str) -> HttpClient:
        if peers not in self.clients:
            self.clients[peers] = HttpClient(
                Address.parse(peers), PEER_CONNECTIONS, CONNECT_TIMEOUT_S
            )
        return self.clients[peers]


def _silent(error: ExchangeError) -> bool:
    return error.kind is ErrorKind.BACKEND_TIMEOUT
