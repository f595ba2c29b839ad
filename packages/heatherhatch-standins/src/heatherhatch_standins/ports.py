"""Loopback ports that the kernel chooses and this process reserves."""

import socket

from .serving import LOOPBACK

# A bound socket that does not listen keeps the kernel from assigning its port to an
# outgoing connection. A server that sets SO_REUSEADDR can still listen on the port.
RESERVED_SOCKETS: list[socket.socket] = []


def free_ports(count: int) -> tuple[int, ...]:
    """Return distinct ports on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    RESERVED_SOCKETS.extend(sockets)
    for item in sockets:
        item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        item.bind((LOOPBACK, 0))
    return tuple(item.getsockname()[1] for item in sockets)
