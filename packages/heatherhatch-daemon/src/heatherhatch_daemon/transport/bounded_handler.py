"""Serves the requests of one connection within the limits of its listener."""

import contextlib
import math
import select

import gevent
from gevent import socket

from ..events import Event, log
from .request_body import CHARGE_VARIABLE, RequestBody
from .request_head import HeadCutOffError, HeadReader, check_framing
from .request_stream import YIELD_S, drop_received, open_stream
from .traced_handler import TracedHandler

DROPPED_BYTES = 1_048_576  # most that is read after an answer, so that it arrives
DROP_LIMIT_S = 1.0
BAD_HEAD_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Connection: close\r\n"
    b"Content-Type: text/plain\r\n"
    b"Content-Length: 34\r\n\r\n"
    b"not run: malformed or long header\n"
)


class BoundedHandler(TracedHandler):
    """Serves one connection within the limits of its listener.

    Attributes:
        is_new: True until the request line of the first request was read.
        head_bytes: Size of the headers of the request.
    """

    is_new = True
    head_bytes = 0

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self.rfile = open_stream(sock)

    def MessageClass(self, stream, seekable):  # noqa: N802
        """Return the headers; fail if the head is too large or its framing unclear."""
        limit_bytes = self.server.listener.limits.header_bytes
        reader = HeadReader(stream, limit_bytes)
        headers = super().MessageClass(reader, seekable)
        self.head_bytes = limit_bytes - reader.left_bytes
        check_framing(
            headers.get_all("content-length", []),
            headers.get_all("transfer-encoding", []),
        )
        return headers

    def read_requestline(self):
        """Return the request line, an empty string if none arrives in time."""
        listener = self.server.listener
        handlers = listener.new_handlers if self.is_new else listener.idle_handlers
        handlers.add(self)
        try:
            return super().read_requestline()
        finally:
            self.is_new = False
            handlers.discard(self)

    def close_if_idle(self) -> None:
        """Close a waiting connection, unless a request is in its receive buffer.

        Only the receiving side is shut down, and below the library, which would cancel
        the pending read: that read finds the end, or a request that came late.
        """
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        if not poll.poll(0):
            with contextlib.suppress(OSError):
                self.socket._sock.shutdown(socket.SHUT_RD)

    def read_request(self, raw_requestline):
        """Read the request head with one timeout for all of it.

        Otherwise each byte of a slowly sent head restarts the socket's timeout.
        """
        with gevent.Timeout(self.server.listener.limits.idle_s, ValueError("timeout")):
            return super().read_request(raw_requestline)

    def get_environ(self):
        """Return the environment of the request, with a body that is read in pieces."""
        environ = super().get_environ()
        body = RequestBody(
            self.rfile,
            self.content_length,
            self.wsgi_input.socket,
            self.wsgi_input.chunked_input,
        )
        self.wsgi_input = environ["wsgi.input"] = body
        memory = self.server.listener.body_memory
        environ[CHARGE_VARIABLE] = memory.charge(self.head_bytes)
        return environ

    def handle_one_request(self):
        """Serve one request; drop the rest of a body that was not read."""
        self.wsgi_input = None
        stream = self.rfile.raw
        reads = stream.reads
        result = super().handle_one_request()
        # They would be kept until the next request.
        self.headers = self.environ = None
        if stream.reads == reads:
            # It came with the one before, and so may any number of others.
            gevent.sleep(YIELD_S)
        if self.wsgi_input is not None and not self.wsgi_input.rest_is_short:
            drop_received(self.socket, DROPPED_BYTES, DROP_LIMIT_S)
            return None
        stream.left_bytes = math.inf
        return result

    def run_application(self):
        """Answer the request, and return the memory of its body."""
        try:
            super().run_application()
        finally:
            self.environ[CHARGE_VARIABLE].release()

    def handle_one_response(self):
        """Serve one request; it is open until its last response byte is written."""
        listener = self.server.listener
        listener.open_requests += 1
        try:
            super().handle_one_response()
        finally:
            listener.open_requests -= 1

    def finalize_headers(self):
        """Add ``Connection: close`` if the connection or the listener is closing."""
        if self.server.listener.ending or not self.wsgi_input.rest_is_short:
            self.close_connection = True
        if self.close_connection:
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _handle_client_error(self, error):
        # A caller whose connection ended early may send the same request again; 400
        # would tell it not to.
        if isinstance(error, HeadCutOffError):
            self.trace.failure = error
            return None
        self.server.listener.watch.refuse(self.trace, error)
        return ("400", BAD_HEAD_RESPONSE)

    def handle_error(self, kind, value, traceback):
        """Close the connection; log the error unless the client disconnected.

        The end of a request without a complete answer is logged in any case.
        """
        if self.response_length or (kind is not None and issubclass(kind, OSError)):
            self.trace.failure = value
        if kind is not None and issubclass(kind, OSError):
            self.close_connection = True
            return
        log(Event.REQUEST_FAILED, error=repr(value), where=repr(self.requestline))
        super().handle_error(kind, value, traceback)
