"""Connection pool for one address with a short idle timeout."""

import select
import time
from weakref import WeakKeyDictionary

from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool

from ..settings import Address

MAX_IDLE_S = 5.0  # a connection idle for longer may be dead without notice


class Connections(ConnectionPool):
    """Connection pool for one address that discards connections idle for too long.

    Attributes:
        idle_since_s: When each idle connection was returned, monotonic seconds.
        opened: Number of connections that were opened.
        incarnations: Incarnation of the peer that answered on each greeted connection.
    """

    def __init__(self, address: Address, size: int, connect_timeout_s: float):
        super().__init__(
            address.host,
            address.port,
            address.host,
            address.port,
            size=size,
            connection_timeout=connect_timeout_s,
            network_timeout=None,
        )
        self.idle_since_s: dict[socket.socket, float] = {}
        self.opened = 0
        self.incarnations: WeakKeyDictionary[socket.socket, int] = WeakKeyDictionary()

    def after_connect(self, sock: socket.socket) -> None:
        """Disable Nagle's algorithm, so that small writes are sent immediately."""
        self.opened += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def return_socket(self, sock: socket.socket) -> None:
        """Return a connection to the pool for the next exchange."""
        self.idle_since_s[sock] = time.monotonic()
        super().return_socket(sock)

    def close_idle(self, before_s: float) -> None:
        """Close the connections that have been idle since before a time.

        Args:
            before_s: The time, monotonic seconds.
        """
        kept = []
        while not self._socket_queue.empty():
            sock = self._socket_queue.get(block=False)
            if self.idle_since_s.get(sock, 0.0) < before_s:
                self.idle_since_s.pop(sock, None)
                sock.close()
            else:
                kept.append(sock)
        for sock in reversed(kept):
            self._socket_queue.put(sock, block=False)

    def _resolve(self):
        # Addresses are IP addresses, so no name is resolved.
        host, port = self._connection_host, self._connection_port
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port))]

    def _is_socket_alive(self, sock):
        # The library's check uses select, which fails on file descriptors above 1,023.
        idle_since_s = self.idle_since_s.pop(sock, 0.0)
        if time.monotonic() - idle_since_s > MAX_IDLE_S or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)
