"""Attempts to reach workers."""

from collections.abc import Iterable

from gevent import socket
from gevent.pool import Pool

from ..settings import Address

PROBE_TIMEOUT_S = 0.5
PROBES_AT_ONCE = 32


def can_connect(address: str) -> bool:
    """Tell whether a ``host:port`` takes a connection in time."""
    try:
        target = Address.parse(address)
        connection = socket.create_connection(
            (target.host, target.port), PROBE_TIMEOUT_S
        )
    except (OSError, ValueError):
        return False
    connection.close()
    return True


def can_connect_each(addresses: Iterable[str]) -> list[bool]:
    """Tell the same for several at once, in their order."""
    return Pool(PROBES_AT_ONCE).map(can_connect, addresses)
