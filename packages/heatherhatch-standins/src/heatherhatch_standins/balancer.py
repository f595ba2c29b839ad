"""Stand-in for the platform's balancer: passes TCP connections on in turn."""

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
    """Passes each connection to the next target that accepts it.

    Args:
        targets: ``host:port`` of each target.
    """

    def __init__(self, targets: tuple[str, ...]):
        self.targets = targets
        self.turn = itertools.count()

    def handle(self, client: socket.socket, _address) -> None:
        """Pass one connection on until either side ends."""
        upstream = self._connect()
        if upstream is None:
            client.close()
            return
        for side in (client, upstream):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = [
            gevent.spawn(_pump, client, upstream),
            gevent.spawn(_pump, upstream, client),
        ]
        gevent.joinall(pumps)
        client.close()
        upstream.close()

    def _connect(self) -> socket.socket | None:
        # The turn is drawn once: others draw while this connection is tried, and
        # a draw for each try could give the same dead target each time.
        first = next(self.turn)
        for i in range(len(self.targets)):
            target = self.targets[(first + i) % len(self.targets)]
            host, _, port = target.rpartition(":")
            try:
                return socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            except OSError:
                continue
        return None


def _pump(source, sink):
    source.settimeout(None)
    try:
        while block := source.recv(BLOCK_BYTES):
            sink.sendall(block)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        # One side is gone, so the other one has to end as well.
        source.close()
        sink.close()


@click.command()
@click.option("--port", default=0)
@click.argument("targets", nargs=-1, required=True)
def main(port: int, targets: tuple[str, ...]) -> None:
    """Run a balancer stand-in for TARGETS."""
    server = StreamServer((LOOPBACK, port), Balancer(targets).handle)
    server.start()
    print(f"{LOOPBACK}:{server.server_port}", flush=True)
    ended = Signal()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    ended.wait()


if __name__ == "__main__":
    main()
