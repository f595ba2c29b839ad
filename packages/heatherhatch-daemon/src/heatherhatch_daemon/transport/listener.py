"""HTTP listeners that limit the resources a client can use."""

import contextlib
import socket as blocking
import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from ..settings import Address, LimitSettings
from .body_memory import BodyMemory
from .bounded_handler import BoundedHandler
from .request_watch import NO_BOUNDS, AnswerBounds, RequestWatch
from .syn_filter import drop_new_connections

POLL_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 0.1
HANDSHAKE_WAIT_S = 0.1
FIRST_REQUEST_WAIT_S = 1.0
# Of each connection; bytes that were received and not read count as memory too.
RECEIVE_BUFFER_BYTES = 16_384


class BoundedServer(WSGIServer):
    """WSGI server of a listener, whose connections send small writes immediately.

    Args:
        listener: Listener that has the limits.
        address: Address to listen on.
        pool: Greenlet pool that serves the connections.
    """

    def __init__(self, listener: "Listener", address: Address, pool: Pool):
        self.listener = listener
        # SERVER_NAME is set, because the library would look it up in DNS otherwise.
        super().__init__(
            (address.host, address.port),
            listener.app,
            spawn=pool,
            log=None,
            error_log=None,
            handler_class=BoundedHandler,
            environ={"SERVER_NAME": address.host},
        )

    def init_socket(self):
        """Listen; accepted connections have the receive buffer of the listener."""
        super().init_socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def handle(self, sock, address):
        """Serve one connection."""
        # The library writes head and body separately. Without this option the body
        # waits for the acknowledgement of the head, which the peer delays.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self.listener.limits.idle_s)
        super().handle(sock, address)


class Listener:
    """Serves a WSGI application and can stop without aborting requests.

    Args:
        address: Address to listen on.
        app: WSGI application.
        limits: Limits of the connections.
        bounds: Times after which a request is logged.
        body_memory: Memory for large bodies if it is shared with other listeners.
    """

    def __init__(
        self,
        address: Address,
        app: Callable,
        limits: LimitSettings,
        bounds: AnswerBounds = NO_BOUNDS,
        body_memory: BodyMemory | None = None,
    ):
        self.app = app
        self.limits = limits
        self.body_memory = body_memory or BodyMemory(limits.body_memory_bytes)
        self.open_requests = 0
        self.ending = False
        self.idle_handlers: set[BoundedHandler] = set()
        self.new_handlers: set[BoundedHandler] = set()
        self.pool = Pool(limits.connections)
        self.watch = RequestWatch(bounds, self.pool)
        self.server = BoundedServer(self, address, self.pool)

    def start(self) -> Address:
        """Start to listen and return the address in use."""
        self.server.start()
        self.watch.start()
        host, port = self.server.address[:2]
        return Address(host, port)

    def stop(self, grace_s: float, linger_s: float = 0.0) -> bool:
        """Finish the open requests and stop.

        During ``linger_s`` it still accepts connections, but each response asks the
        client to close: the load balancer's list lags, and clients hold idle
        connections on which a request may be in flight.

        Args:
            grace_s: Seconds after which open requests are aborted.
            linger_s: Seconds for which new requests are still served.

        Returns:
            True if no request was aborted.
        """
        self.ending = True
        with gevent.Timeout(grace_s, False):
            gevent.sleep(linger_s)
            self._stop_accepting()
            self._wait_for_connections()
        completed = self.open_requests == 0
        self.server.stop(timeout=CLOSE_TIMEOUT_S)
        self.watch.stop()
        return completed

    def _stop_accepting(self):
        drop_new_connections(self.server.socket)
        gevent.sleep(HANDSHAKE_WAIT_S)
        self.server.stop_accepting()
        for client, address in _drain_accept_queue(self.server.socket.detach()):
            sock = socket.socket(fileno=client.detach())
            self.server.do_handle(sock, address)
        self.server.close()

    def _wait_for_connections(self):
        # On a new connection the first request is most likely in flight.
        first_request_deadline_s = time.monotonic() + FIRST_REQUEST_WAIT_S
        while len(self.pool):
            self._close_idle(self.idle_handlers)
            if time.monotonic() >= first_request_deadline_s:
                self._close_idle(self.new_handlers)
            gevent.sleep(POLL_INTERVAL_S)

    def _close_idle(self, handlers: set[BoundedHandler]):
        for handler in handlers:
            handler.close_if_idle()


def _drain_accept_queue(descriptor: int) -> list[tuple[blocking.socket, tuple]]:
    """Close a listening socket and return the connections in its accept queue.

    The kernel resets connections that are left there. The library would close the
    socket only in its next loop iteration, and more would arrive until then, so the
    queue is emptied and the socket closed by direct system calls.
    """
    accepted = []
    with blocking.socket(fileno=descriptor) as listening:
        listening.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted.append(listening.accept())
    return accepted
