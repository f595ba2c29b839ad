"""HTTP client with one attempt for each call and one connection for each attempt."""

from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..settings import Address

READ_BLOCK_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as it is sent.

    Attributes:
        method: HTTP method.
        path: Path and query.
        body: Content.
        headers: Names and values in the order they are sent.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, host: str) -> bytes:
        """Return the bytes of the request for a host."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {host}",
            f"Content-Length: {len(self.body)}",
        ]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Names and values as received.
        body: Content, complete.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExchangeError(HeatherhatchError):
    """An exchange gave no whole answer.

    Attributes:
        sent: False only if provably no byte of the request left this node.
    """

    def __init__(self, kind: ErrorKind, detail: str, sent: bool):
        super().__init__(kind, detail)
        self.sent = sent


class HttpClient:
    """Exchanges requests with one address over a pool of connections.

    A connection on which anything went wrong is closed and never reused, so
    that a late answer can't be taken for the answer to another request.
    """

    def __init__(self, address: Address, connections: int, connect_timeout_s: float):
        self.address = address
        self.pool = ConnectionPool(
            address.host,
            address.port,
            address.host,
            address.port,
            size=connections,
            connection_timeout=connect_timeout_s,
            network_timeout=None,
        )

    def exchange(self, request: HttpRequest, timeout_s: float) -> HttpAnswer:
        """Send a request once and return the whole answer.

        Args:
            request: What to send.
            timeout_s: Seconds for the whole exchange.

        Raises:
            ExchangeError: ``sent`` tells whether the request may have run.
        """
        timeout = gevent.Timeout(timeout_s)
        sent = False
        sock = None
        answer = None
        timeout.start()
        try:
            sock = self.pool.get_socket()
            data = request.encode(str(self.address))
            sent = True
            sock.sendall(data)
            answer = HTTPSocketPoolResponse(sock, self.pool, method=request.method)
            # The response owns the socket from here on and gives it back.
            sock = None
            body = bytes(answer.read())
            return HttpAnswer(answer.status_code, tuple(answer.items()), body)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            raise ExchangeError(
                ErrorKind.BACKEND_TIMEOUT, f"no answer in {timeout_s:.3f} s", sent
            ) from error
        except HTTPParseError as error:
            raise ExchangeError(ErrorKind.PARTIAL_ANSWER, str(error), sent) from error
        except OSError as error:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, str(error), sent) from error
        finally:
            timeout.close()
            if sock is not None:
                self.pool.release_socket(sock)
            if answer is not None:
                answer.release()

    def stream_lines(self, request: HttpRequest) -> Iterator[bytes]:
        """Send a request and yield the lines of an endless answer."""
        try:
            sock = self.pool.get_socket()
            sock.sendall(request.encode(str(self.address)))
            answer = HTTPSocketPoolResponse(sock, self.pool, method=request.method)
        except (OSError, HTTPParseError) as error:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, str(error), True) from error
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
