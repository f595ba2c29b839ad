"""WSGI handler that follows each request from its first line to its last byte."""

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler

from .request_head import check_request_line
from .request_trace import RequestTrace, Stage
from .request_watch import Loss

# First byte of the kernel's TCP_INFO; any other state means that the peer has closed.
TCP_ESTABLISHED = 1


class TracedHandler(WSGIHandler):
    """Serves one connection and reports its requests to the listener's watch.

    Attributes:
        trace: The request that is being served; None between two requests.
    """

    trace: RequestTrace | None = None

    def read_request(self, raw_requestline):
        """Read the request head; the request is open from here on."""
        self.trace = self.server.listener.watch.begin(raw_requestline)
        gevent.getcurrent().request_trace = self.trace
        check_request_line(raw_requestline)
        complete = super().read_request(raw_requestline)
        self.trace.enter(Stage.OTHER)
        return complete

    def handle_one_request(self):
        """Serve one request, and report how it ended."""
        self.status = None
        try:
            result = super().handle_one_request()
        except BaseException as error:
            self._end_request(None, error)
            raise
        self._end_request(result, None)
        return result

    def process_result(self):
        """Write the answer."""
        super().process_result()
        self.trace.enter(Stage.ANSWERED)

    def _sendall(self, data):
        trace = self.trace
        if trace.stage is not Stage.ANSWER:
            trace.enter(Stage.ANSWER)
            trace.caller_left = self._has_peer_closed()
        try:
            super()._sendall(data)
        except BaseException as error:
            trace.failure = error
            raise

    def _has_peer_closed(self) -> bool:
        try:
            info = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return True
        return info[0] != TCP_ESTABLISHED

    def _end_request(self, result: object | None, error: BaseException | None) -> None:
        trace, self.trace = self.trace, None
        if trace is None:
            return
        gevent.getcurrent().request_trace = None
        trace.failure = trace.failure or error
        status = str(abs(self.code)) if self.status else ""
        # A pair is the response to a head that can't be read.
        if isinstance(result, tuple):
            trace.caller_left = self._has_peer_closed()
            status = result[0]
        self.server.listener.watch.end(trace, status, self._loss(trace, status))

    def _loss(self, trace: RequestTrace, status: str) -> Loss | None:
        if isinstance(trace.failure, gevent.GreenletExit):
            return Loss.ENDED
        # The kernel accepts the first write to a peer that has closed, and fails later.
        if trace.caller_left:
            return Loss.CALLER_LEFT
        if trace.failure is not None and self.response_length:
            return Loss.INTERRUPTED
        if trace.failure is not None or not status:
            return Loss.NOT_WRITTEN
        return None
