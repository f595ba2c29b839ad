"""HTTP client without retries; each exchange has a connection of its own."""

import time
from collections.abc import Callable, Iterator

import gevent
from gevent import socket
from geventhttpclient.response import (
    HTTPParseError,
    HTTPSocketPoolResponse,
    HTTPSocketResponse,
)

from heatherhatch_core.exceptions import ErrorKind

from ..settings import Address
from .connections import Connections
from .greeting import Greeting, GreetingResponse, get_greeted_socket
from .http_messages import ExchangeError, HttpAnswer, HttpRequest
from .pending_call import PendingCall, RecordedResponse
from .response_body import read_body

HOST_PLACEHOLDER = "0.0.0.0:00000"
STATUS_LINE_BYTES = 19

__all__ = ["ExchangeError", "HttpAnswer", "HttpClient", "HttpRequest", "exchange_bytes"]


class HttpClient:
    """Exchanges requests with one address over a pool of connections.

    A connection on which anything went wrong is closed and never reused, so
    that a late response cannot be taken for the response to another request.

    Args:
        address: Address of the peer.
        connections: Maximum number of connections.
        connect_timeout_s: Timeout of a new connection, seconds.
        reserved: Number of further connections, which only urgent calls use.

    Attributes:
        pool: Connection pool.
        urgent_pool: Connection pool of the urgent calls.
        pending_calls: Calls that wait for a response.
    """

    def __init__(
        self,
        address: Address,
        connections: int,
        connect_timeout_s: float,
        reserved: int = 0,
    ):
        self.address = address
        self.pool = self.urgent_pool = Connections(
            address, connections, connect_timeout_s
        )
        if reserved:
            self.urgent_pool = Connections(address, reserved, connect_timeout_s)
        self.pending_calls: set[PendingCall] = set()

    def abort_overdue(self, waited_s: float) -> int:
        """Abort calls that received nothing for too long, as if they had timed out.

        Args:
            waited_s: Shortest time without data of the calls to abort, in seconds.

        Returns:
            The number of these calls.
        """
        now_s = time.monotonic()
        overdue = [
            call for call in self.pending_calls if now_s - call.active_s >= waited_s
        ]
        for call in overdue:
            gevent.get_hub().loop.run_callback(self._time_out, call)
        return len(overdue)

    def _time_out(self, call: PendingCall) -> None:
        if call in self.pending_calls:
            call.greenlet.throw(call.timeout)

    def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        by_progress: bool = False,
        may_send: Callable[[], bool] = lambda: True,
        is_urgent: bool = False,
        greeting: Greeting | None = None,
    ) -> HttpAnswer:
        """Send a request once and return the complete response.

        Args:
            request: Request to send.
            timeout_s: Timeout in seconds for the whole exchange.
            by_progress: True to restart the timeout while data is transferred. A
                request or response that is larger than the link carries within a fixed
                time would fail at each attempt.
            may_send: Called when the connection is ready. The wait for it may outlast
                a permission, above all if the process is suspended meanwhile.
            is_urgent: True to use a reserved connection if the client has any.
            greeting: What the connection must show of the peer; None for nothing.

        Raises:
            ExchangeError: If there was no complete response; ``sent`` states whether
                the request may have been executed.
            WrongIncarnationError: If the greeting reached another incarnation; the
                request was not sent.
        """
        sent = False
        sock = None
        answer = None
        pool = self.urgent_pool if is_urgent else self.pool
        call = PendingCall(request.path, timeout_s, by_progress)
        self.pending_calls.add(call)
        try:
            if greeting is None:
                sock = pool.get_socket()
            else:
                sock = get_greeted_socket(
                    pool,
                    greeting,
                    lambda new: self._greet(new, greeting, call, may_send),
                )
            data = request.encode(str(self.address))
            _check_permission(may_send, request)
            sent = True
            call.send(sock, data)
            # From here on the response object owns the socket. It returns it to the
            # pool, even if its constructor fails.
            owned, sock = sock, None
            answer = RecordedResponse(owned, pool, call, request.method)
            body = read_body(answer)
            return HttpAnswer(answer.status_code, _headers_of(answer), body)
        except gevent.Timeout as error:
            if error is not call.timeout:
                raise
            # Connections that were open before may have gone silent with this one.
            self.pool.close_idle(call.started_s)
            self.urgent_pool.close_idle(call.started_s)
            raise ExchangeError(
                ErrorKind.BACKEND_TIMEOUT, call.describe(), sent
            ) from error
        except HTTPParseError as error:
            raise ExchangeError(ErrorKind.PARTIAL_ANSWER, str(error), sent) from error
        except OSError as error:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, str(error), sent) from error
        finally:
            call.timeout.close()
            self.pending_calls.discard(call)
            if sock is not None:
                pool.release_socket(sock)
            if answer is not None:
                answer.release()

    def _greet(
        self,
        sock: socket.socket,
        greeting: Greeting,
        call: PendingCall,
        may_send: Callable[[], bool],
    ) -> int:
        request = greeting.request
        _check_permission(may_send, request)
        call.send(sock, request.encode(str(self.address)))
        answer = GreetingResponse(sock, call, request.method)
        body = read_body(answer)
        found = HttpAnswer(answer.status_code, _headers_of(answer), body)
        try:
            return greeting.read(found)
        except ExchangeError as error:
            raise ExchangeError(error.kind, error.detail, sent=False) from error

    def stream_lines(self, request: HttpRequest) -> Iterator[bytes]:
        """Send a request and yield the lines of a streamed response.

        Raises:
            ExchangeError: If the connection fails.
        """
        sock = None
        try:
            sock = self.pool.get_socket()
            sock.sendall(request.encode(str(self.address)))
            # As in exchange, the response object owns the socket from here on.
            owned, sock = sock, None
            answer = HTTPSocketPoolResponse(owned, self.pool, method=request.method)
        except (OSError, HTTPParseError) as error:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, str(error), True) from error
        finally:
            if sock is not None:
                self.pool.release_socket(sock)
        try:
            while line := answer.readline(b"\n"):
                yield bytes(line)
        except (OSError, HTTPParseError) as error:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, str(error), True) from error
        finally:
            answer.release()

    def close(self) -> None:
        """Close every idle connection."""
        self.pool.close()
        self.urgent_pool.close()


def _check_permission(may_send: Callable[[], bool], request: HttpRequest) -> None:
    if not may_send():
        raise ExchangeError(
            ErrorKind.NO_STANDING,
            f"the permission to send {request.path[:40]} has run out",
            sent=False,
        )


def _headers_of(answer: HTTPSocketResponse) -> tuple[tuple[str, str], ...]:
    """Return the headers in order; a repeated header appears each time."""
    return tuple(answer.items())


def exchange_bytes(request: HttpRequest, answer: HttpAnswer) -> int:
    """Return the size in bytes of a request and its response with their heads."""
    sent = len(request.encode(HOST_PLACEHOLDER))
    head = sum(len(name) + len(value) + 4 for name, value in answer.headers)
    return sent + STATUS_LINE_BYTES + head + len(answer.body)
