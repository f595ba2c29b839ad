"""Stand-in for the platform's load balancer: forwards TCP connections round robin."""

import itertools
import signal

import click
import gevent
from gevent import socket
from gevent.event import Event as Signal
from gevent.server import StreamServer

from .serving import LOOPBACK

BLOCK_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.5


class Balancer:
    """Forwards each connection to the next target that accepts it.

    Args:
        targets: ``host:port`` of each target.
    """

    def __init__(self, targets: tuple[str, ...]):
        self.targets = targets
        self.next_index = itertools.count()

    def handle(self, client: socket.socket, _address) -> None:
        """Relay one connection until it is closed."""
        upstream = self._connect()
        if upstream is None:
            client.close()
            return
        for side in (client, upstream):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        relays = [
            gevent.spawn(_relay, client, upstream),
            gevent.spawn(_relay, upstream, client),
        ]
        gevent.joinall(relays)
        client.close()
        upstream.close()

    def _connect(self) -> socket.socket | None:
        # The counter advances once per connection. Other connections advance it
        # while this one is being established, so advancing it for each attempt
        # could select the same unreachable target every time.
        first = next(self.next_index)
        for i in range(len(self.targets)):
            target = self.targets[(first + i) % len(self.targets)]
            host, _, port = target.rpartition(":")
            try:
                return socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            except OSError:
                continue
        return None


def _relay(source, destination):
    source.settimeout(None)
    try:
        while block := source.recv(BLOCK_BYTES):
            destination.sendall(block)
        destination.shutdown(socket.SHUT_WR)
    except OSError:
        # One side has failed, so the other one is closed as well.
        source.close()
        destination.close()


@click.command()
@click.option("--port", default=0)
@click.argument("targets", nargs=-1, required=True)
def main(port: int, targets: tuple[str, ...]) -> None:
    """Run a load balancer stand-in that forwards to TARGETS."""
    server = StreamServer((LOOPBACK, port), Balancer(targets).handle)
    server.start()
    print(f"{LOOPBACK}:{server.server_port}", flush=True)
    stop_requested = Signal()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    stop_requested.wait()


if __name__ == "__main__":
    main()
