"""Callers that send what no client inside the documented limits sends."""

import itertools
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket

from heatherhatch_daemon.settings import Address

HANG_S = 120  # limits a test that hangs
PIECE = b"x" * 65_536
MAX_PIECES = 256  # of one request without an end
SEND_BUFFER_BYTES = 65_536
LISTENING = "0A"  # state of a socket in /proc/net/tcp


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request of a caller that does not behave.

    Attributes:
        head: Request line and headers.
        pieces: The body as it is sent; the request never ends.
    """

    head: bytes
    pieces: tuple[bytes, ...]


class Crowd:
    """Connections that send one request each and read no answer.

    Args:
        address: Address of the process.
        size: Number of connections.
        request: What each of them sends.

    Attributes:
        closed: Number of connections that the process closed before all was sent.
    """

    def __init__(self, address: str, size: int, request: BadRequest):
        self.address = Address.parse(address)
        self.request = request
        self.closed = 0
        self.sockets: list[socket.socket] = []
        self.greenlets = [gevent.spawn(self._send) for _ in range(size)]

    def wait_until_read(self) -> None:
        """Wait until the process has closed each connection or read all of it."""
        with gevent.Timeout(HANG_S):
            gevent.joinall(self.greenlets, raise_error=True)
            while unread_bytes(self.address.port):
                gevent.sleep(0.05)

    def close(self) -> None:
        """Close all connections."""
        gevent.killall(self.greenlets)
        for sock in self.sockets:
            sock.close()

    def _send(self) -> None:
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.connect((self.address.host, self.address.port))
        try:
            sock.sendall(self.request.head)
            for piece in self.request.pieces:
                sock.sendall(piece)
                gevent.sleep(0)
        except OSError:
            self.closed += 1


def request(
    method: str, path: str, framing: str, pieces: Iterable[bytes]
) -> BadRequest:
    """Return a request with a key that is valid."""
    head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-1\r\n"
    return BadRequest(f"{head}{framing}\r\n".encode(), tuple(pieces))


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def without_end(piece: bytes) -> Iterable[bytes]:
    """Return far more pieces than a body may have."""
    return itertools.repeat(piece, MAX_PIECES)


def unread_bytes(port: int) -> int:
    """Return how many bytes the connections to a port have received and not read."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if int(row[1].partition(":")[2], 16) == port and row[3] != LISTENING
    )


def peak_memory_mib(process_id: int) -> float:
    """Return the largest resident memory that a process has had, MiB."""
    status = Path(f"/proc/{process_id}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


def open_descriptors(process_id: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process_id}/fd"))
