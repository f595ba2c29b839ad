"""Loopback ports, chosen by the kernel and kept for this process."""

import socket

from .serving import LOOPBACK

# A bound socket that does not listen keeps the kernel from giving its port to an
# outgoing connection, and a server that sets SO_REUSEADDR may still listen there.
HELD: list[socket.socket] = []


def free_ports(count: int) -> tuple[int, ...]:
    """Return ports on which nothing listens, each one once."""
    sockets = [socket.socket() for _ in range(count)]
    HELD.extend(sockets)
    for item in sockets:
        item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        item.bind((LOOPBACK, 0))
    return tuple(item.getsockname()[1] for item in sockets)
