"""Free loopback ports, chosen by the kernel."""

import socket

from .serving import LOOPBACK


def free_ports(count: int) -> tuple[int, ...]:
    """Return ports that were free a moment ago, each one once."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK, 0))
        return tuple(item.getsockname()[1] for item in sockets)
    finally:
        for item in sockets:
            item.close()
