"""Reads the bytes of a connection without keeping the process from other work."""

import io
import math

import gevent
from gevent import socket

BUFFER_BYTES = 8_192
YIELD_BYTES = 65_536  # read from one connection before others may run
YIELD_S = 0.001  # a pause of 0 would run neither timers nor other connections


class ReceivedTooMuchError(OSError):
    """A connection has received more than its present request may have."""


class RequestStream(io.RawIOBase):
    """The bytes that a connection receives.

    A read that finds data doesn't switch greenlets. A sender that is fast enough would
    keep all others, and the timeouts, from running.

    Args:
        sock: Socket of the connection.

    Attributes:
        left_bytes: How much more may be received.
        unyielded_bytes: How much was received since others could run.
        reads: Number of times that bytes were received.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.left_bytes = math.inf
        self.unyielded_bytes = 0
        self.reads = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer) -> int:
        """Receive bytes into a buffer; return their number, 0 at the end.

        Raises:
            ReceivedTooMuchError: If no more may be received.
        """
        if self.left_bytes <= 0:
            raise ReceivedTooMuchError("the request does not end")
        if self.unyielded_bytes >= YIELD_BYTES:
            self.unyielded_bytes = 0
            gevent.sleep(YIELD_S)
        count = self.sock.recv_into(buffer)
        self.reads += 1
        self.unyielded_bytes += count
        self.left_bytes -= count
        return count


def open_stream(sock: socket.socket) -> io.BufferedReader:
    """Return a buffered reader of the bytes that a connection receives."""
    return io.BufferedReader(RequestStream(sock), BUFFER_BYTES)


def drop_received(sock: socket.socket, limit_bytes: int, limit_s: float) -> None:
    """End the own direction of a connection and drop what its peer still sends.

    The kernel resets a connection that is closed with unread bytes, and the peer may
    lose the answer.

    Args:
        sock: Socket of the connection, which is closed afterwards.
        limit_bytes: Number of bytes after which no more is read.
        limit_s: Time after which no more is read, seconds.
    """
    with gevent.Timeout(limit_s, False):
        try:
            sock.shutdown(socket.SHUT_WR)
            while limit_bytes > 0 and (data := sock.recv(BUFFER_BYTES)):
                limit_bytes -= len(data)
                gevent.sleep(YIELD_S)
        except OSError:
            return  # the peer has closed the connection
