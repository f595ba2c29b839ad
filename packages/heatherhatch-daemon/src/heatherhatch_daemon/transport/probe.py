"""TCP health checks of workers."""

from collections.abc import Iterable

from gevent import socket
from gevent.pool import Pool

from ..settings import Address

PROBE_TIMEOUT_S = 0.5
MAX_CONCURRENT_PROBES = 32


def can_connect(address: str) -> bool:
    """Return whether ``host:port`` accepts a TCP connection before the timeout."""
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
    """Return `can_connect` of each address, in order; checks run concurrently."""
    return Pool(MAX_CONCURRENT_PROBES).map(can_connect, addresses)
