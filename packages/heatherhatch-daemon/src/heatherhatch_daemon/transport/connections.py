"""Connections to one address, kept for a short time."""

import select
import time

from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool

from ..settings import Address

IDLE_S = 5.0  # a longer idle connection may have fallen silent


class Connections(ConnectionPool):
    """Connections to one address, each idle for a short time only."""

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

    def after_connect(self, sock: socket.socket) -> None:
        """Let small writes leave at once."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def return_socket(self, sock: socket.socket) -> None:
        """Keep a connection for the next exchange."""
        self.idle_since_s[sock] = time.monotonic()
        super().return_socket(sock)

    def _resolve(self):
        # Addresses are IP numbers, so no resolver is asked.
        host, port = self._connection_host, self._connection_port
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port))]

    def _is_socket_alive(self, sock):
        # The library's check uses select, which fails on numbers above 1,023.
        idle_since_s = self.idle_since_s.pop(sock, 0.0)
        if time.monotonic() - idle_since_s > IDLE_S or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)
