"""HTTP client with one attempt for each call and one connection for each attempt."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..settings import Address
from .connections import Connections

READ_BLOCK_BYTES = 65_536
ANSWER_BYTES = 16_777_216
NO_HOST = "0.0.0.0:00000"
STATUS_LINE_BYTES = 19
NO_BODY_STATUSES = (204, 304)


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


@dataclass(slots=True, eq=False)
class _Waiting:
    """A call that waits for its answer.

    Attributes:
        greenlet: Who waits.
        timeout: What ends the wait.
        sent_s: When it began, monotonic seconds.
    """

    greenlet: gevent.Greenlet
    timeout: gevent.Timeout
    sent_s: float


class HttpClient:
    """Exchanges requests with one address over a pool of connections.

    A connection on which anything went wrong is closed and never reused, so
    that a late answer can't be taken for the answer to another request.
    """

    def __init__(self, address: Address, connections: int, connect_timeout_s: float):
        self.address = address
        self.pool = Connections(address, connections, connect_timeout_s)
        self.waiting: set[_Waiting] = set()

    def cut(self, waited_s: float) -> int:
        """End calls that have waited for so long, as if their time were over.

        Returns:
            How many there were.
        """
        now_s = time.monotonic()
        old = [call for call in self.waiting if now_s - call.sent_s >= waited_s]
        for call in old:
            gevent.get_hub().loop.run_callback(self._end_wait, call)
        return len(old)

    def _end_wait(self, call: _Waiting) -> None:
        if call in self.waiting:
            call.greenlet.throw(call.timeout)

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
        begun_s = time.monotonic()
        call = _Waiting(gevent.getcurrent(), timeout, begun_s)
        self.waiting.add(call)
        try:
            sock = self.pool.get_socket()
            data = request.encode(str(self.address))
            sent = True
            sock.sendall(data)
            # The response owns the socket from here on and gives it back, also
            # if its constructor fails.
            owned, sock = sock, None
            answer = HTTPSocketPoolResponse(owned, self.pool, method=request.method)
            body = _read_whole(answer)
            return HttpAnswer(answer.status_code, _headers_of(answer), body)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            waited_s = time.monotonic() - begun_s
            raise ExchangeError(
                ErrorKind.BACKEND_TIMEOUT, f"no answer in {waited_s:.3f} s", sent
            ) from error
        except HTTPParseError as error:
            raise ExchangeError(ErrorKind.PARTIAL_ANSWER, str(error), sent) from error
        except OSError as error:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, str(error), sent) from error
        finally:
            timeout.close()
            self.waiting.discard(call)
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


def _read_whole(answer: HTTPSocketPoolResponse) -> bytes:
    """Return the whole body of an answer whose end can be told.

    Raises:
        HTTPParseError: If the body is cut short, too large, or ends only with
            the connection, so that a cut could not be seen.
    """
    bodiless = answer.method == "HEAD" or answer.status_code in NO_BODY_STATUSES
    length = answer.content_length
    chunked = "transfer-encoding" in answer
    if not bodiless and length is None and not chunked:
        raise HTTPParseError("the answer has neither a length nor chunks")
    if not bodiless and (length or 0) > ANSWER_BYTES:
        raise HTTPParseError(f"the answer is above {ANSWER_BYTES} bytes")
    if not chunked:
        return bytes(answer.read())
    blocks = []
    size = 0
    while block := answer.read(READ_BLOCK_BYTES):
        blocks.append(bytes(block))
        size += len(block)
        if size > ANSWER_BYTES:
            raise HTTPParseError(f"the answer is above {ANSWER_BYTES} bytes")
    return b"".join(blocks)


def _headers_of(answer: HTTPSocketPoolResponse) -> tuple[tuple[str, str], ...]:
    """Return the headers in order, a repeated one as often as it came."""
    return tuple(answer.items())


def exchange_bytes(request: HttpRequest, answer: HttpAnswer) -> int:
    """Return the bytes of a request and its answer, heads included."""
    sent = len(request.encode(NO_HOST))
    head = sum(len(name) + len(value) + 4 for name, value in answer.headers)
    return sent + STATUS_LINE_BYTES + head + len(answer.body)
