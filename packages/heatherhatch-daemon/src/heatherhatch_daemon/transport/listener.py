"""HTTP listeners with bounds on what a client can cost."""

import contextlib
import select
import socket as blocking
import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from ..events import Event, log
from ..settings import Address, LimitSettings
from .syn_filter import drop_new_connections

POLL_S = 0.01
CLOSE_S = 0.1
HANDSHAKE_S = 0.1
FIRST_REQUEST_S = 1.0
BAD_HEAD = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Connection: close\r\n"
    b"Content-Type: text/plain\r\n"
    b"Content-Length: 34\r\n\r\n"
    b"not run: malformed or long header\n"
)


class HeadTooLargeError(ValueError):
    """A request head is larger than the limit."""


class HeadReader:
    """Reads the lines of one request head and counts their bytes.

    Args:
        stream: Stream that the head is read from.
        limit_bytes: Largest head.
    """

    def __init__(self, stream, limit_bytes: int):
        self.stream = stream
        self.left_bytes = limit_bytes

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        Raises:
            HeadTooLargeError: If the head is above the limit.
        """
        line = self.stream.readline(min(size, self.left_bytes + 1))
        self.left_bytes -= len(line)
        if self.left_bytes < 0:
            raise HeadTooLargeError("the head is too large")
        return line


class BoundedHandler(WSGIHandler):
    """Serves one connection within the bounds of its listener.

    Attributes:
        fresh: True until its first request has begun.
    """

    fresh = True

    def MessageClass(self, stream, seekable):  # noqa: N802
        """Return the headers, read within the limit."""
        limit = self.server.listener.limits.header_bytes
        return super().MessageClass(HeadReader(stream, limit), seekable)

    def read_requestline(self):
        """Return the request line, or an empty text if none comes in time."""
        listener = self.server.listener
        waiting = listener.fresh if self.fresh else listener.idle
        waiting.add(self)
        try:
            return super().read_requestline()
        finally:
            self.fresh = False
            waiting.discard(self)

    def retire(self) -> None:
        """End a waiting connection, unless a request lies in its buffer.

        Only the reading side is shut, so that what comes between the look and
        the shutdown is still read and answered, and nothing is reset.
        """
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        if not poll.poll(0):
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RD)

    def read_request(self, raw_requestline):
        """Read the head as one whole with one time limit.

        A client that sends its head byte by byte would otherwise restart the
        socket's own timeout with each byte.
        """
        with gevent.Timeout(self.server.listener.limits.idle_s, ValueError("slow")):
            return super().read_request(raw_requestline)

    def handle_one_response(self):
        """Answer one request; it counts as open until its last byte is written."""
        listener = self.server.listener
        listener.open_requests += 1
        try:
            super().handle_one_response()
        finally:
            listener.open_requests -= 1

    def finalize_headers(self):
        """Tell the client to leave if the listener is ending."""
        if self.server.listener.ending and not self.close_connection:
            self.close_connection = True
        if self.close_connection:
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _handle_client_error(self, _error):
        return ("400", BAD_HEAD)

    def handle_error(self, kind, value, traceback):
        """End the connection; a client that went away is no fault of ours."""
        if kind is not None and issubclass(kind, OSError):
            self.close_connection = True
            return
        log(Event.REQUEST_FAILED, error=repr(value), where=repr(self.requestline))
        super().handle_error(kind, value, traceback)


class BoundedServer(WSGIServer):
    """A WSGI server whose connections send small writes at once.

    Args:
        listener: Owner of the limits.
        address: Where to listen.
        pool: Greenlets of the connections.
    """

    def __init__(self, listener: "Listener", address: Address, pool: Pool):
        self.listener = listener
        # The name is stated, so that the library asks no resolver for it.
        super().__init__(
            (address.host, address.port),
            listener.app,
            spawn=pool,
            log=None,
            error_log=None,
            handler_class=BoundedHandler,
            environ={"SERVER_NAME": address.host},
        )

    def handle(self, sock, address):
        """Serve one connection."""
        # The library writes head and body apart. Without this option the body
        # waits for the acknowledgement of the head, which the peer delays.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self.listener.limits.idle_s)
        super().handle(sock, address)


class Listener:
    """Serves a WSGI application and can end without cutting a request.

    Args:
        address: Where to listen.
        app: WSGI application.
        limits: Bounds on connections.
    """

    def __init__(self, address: Address, app: Callable, limits: LimitSettings):
        self.app = app
        self.limits = limits
        self.open_requests = 0
        self.ending = False
        self.idle: set[BoundedHandler] = set()
        self.fresh: set[BoundedHandler] = set()
        self.pool = Pool(limits.connections)
        self.server = BoundedServer(self, address, self.pool)

    def start(self) -> Address:
        """Listen and return the address in use."""
        self.server.start()
        host, port = self.server.address[:2]
        return Address(host, port)

    def stop(self, grace_s: float, linger_s: float = 0.0) -> bool:
        """Finish what is open and end.

        While it lingers, the listener still accepts and serves, but each
        answer tells the client to close: the balancer's list lags, and clients
        hold idle connections on which a request may be on its way.

        Args:
            grace_s: Seconds after which open requests are cut.
            linger_s: Seconds for which new requests are still served.

        Returns:
            True if no request was cut.
        """
        self.ending = True
        with gevent.Timeout(grace_s, False):
            gevent.sleep(linger_s)
            self._close_door()
            self._wait_until_done()
        whole = self.open_requests == 0
        self.server.stop(timeout=CLOSE_S)
        return whole

    def _close_door(self):
        drop_new_connections(self.server.socket)
        gevent.sleep(HANDSHAKE_S)
        self.server.stop_accepting()
        for client, address in _take_all(self.server.socket.detach()):
            sock = socket.socket(fileno=client.detach())
            self.server.do_handle(sock, address)
        self.server.close()

    def _wait_until_done(self):
        # A new connection brings a request that is on its way, most likely.
        patient_until_s = time.monotonic() + FIRST_REQUEST_S
        while len(self.pool):
            self._retire(self.idle)
            if time.monotonic() >= patient_until_s:
                self._retire(self.fresh)
            gevent.sleep(POLL_S)

    def _retire(self, waiting: set[BoundedHandler]):
        for handler in waiting:
            handler.retire()


def _take_all(descriptor: int) -> list[tuple[blocking.socket, tuple]]:
    """Close a listening socket and return the connections that waited there.

    The kernel resets what it has accepted and nobody has taken. The library
    would close the socket only in its next loop, and others would come until
    then; so this is done by the system's own calls, one after the other.
    """
    taken = []
    with blocking.socket(fileno=descriptor) as listening:
        listening.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                taken.append(listening.accept())
    return taken
