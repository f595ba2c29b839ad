"""Finds out which incarnation of a peer a connection leads to before it is used."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from geventhttpclient.response import HTTPSocketResponse

from heatherhatch_core.exceptions import WrongIncarnationError

from .connections import Connections
from .pending_call import PendingCall

if TYPE_CHECKING:
    from gevent import socket

    from .http_messages import HttpAnswer, HttpRequest


@dataclass(frozen=True, slots=True)
class Greeting:
    """What a connection must show before a request goes out on it.

    A peer that starts again keeps its address and its name. Only an answer on a
    connection tells to which of its incarnations the connection leads, for as long as
    it is open.

    Attributes:
        request: Sent first on each connection; its answer names the incarnation.
        read: Returns the incarnation that an answer names; 0 if it names none.
        expected: The incarnation that the request is meant for; 0 for any.
    """

    request: HttpRequest
    read: Callable[[HttpAnswer], int]
    expected: int

    def admits(self, incarnation: int) -> bool:
        """Return whether the request may be sent to an incarnation."""
        return not self.expected or incarnation == self.expected


class GreetingResponse(HTTPSocketResponse):
    """A response that reports its progress and leaves the connection to its caller."""

    def __init__(self, sock: socket.socket, call: PendingCall, method: str):
        self.call = call
        super().__init__(sock, method=method)

    def feed(self, data: bytes) -> None:
        """Parse data that was received."""
        self.call.record_data(len(data))
        super().feed(data)


def get_greeted_socket(
    pool: Connections, greeting: Greeting, greet: Callable[[socket.socket], int]
) -> socket.socket:
    """Return a connection to the incarnation that a request is meant for.

    Args:
        pool: Connections to the peer.
        greeting: What the connection must show.
        greet: Sends the greeting on a new connection; returns the incarnation.

    Raises:
        WrongIncarnationError: If a new connection leads to another incarnation.
    """
    while True:
        sock = pool.get_socket()
        try:
            is_new = sock not in pool.incarnations
            if is_new:
                pool.incarnations[sock] = greet(sock)
            found = pool.incarnations[sock]
        except BaseException:
            pool.release_socket(sock)
            raise
        if greeting.admits(found):
            return sock
        # An idle connection may lead to an earlier incarnation.
        pool.release_socket(sock)
        if is_new:
            raise WrongIncarnationError(
                f"incarnation {found} answered instead of {greeting.expected}"
            )
