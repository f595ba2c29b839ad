"""A call that waits for its response, with its timeout."""

import time

import gevent
from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPSocketPoolResponse

MIN_PROGRESS_BYTES = 4_096  # a call that transfers less within its timeout is stalled
SEND_BLOCK_BYTES = 16_384
MIN_SEND_BYTES_PER_S = 65_536  # slowest share of a link that a request must get


class PendingCall:
    """A call of the current greenlet and the timeout that ends it.

    Args:
        path: Path and query string of the request.
        timeout_s: Time limit in seconds.
        by_progress: True if the limit applies to the time without progress of the
            request or the response instead of the whole call.

    Attributes:
        greenlet: Greenlet that waits.
        timeout: Timeout that ends the wait; replaced when the response progresses.
        started_s: When the call began, monotonic seconds.
        active_s: When it began, or last sent or received data, monotonic seconds.
        received_bytes: Bytes received so far.
    """

    def __init__(self, path: str, timeout_s: float, by_progress: bool):
        self.path = path
        self.greenlet = gevent.getcurrent()
        self.timeout = gevent.Timeout.start_new(timeout_s)
        self.timeout_s = timeout_s
        self.by_progress = by_progress
        self.started_s = self.active_s = time.monotonic()
        self.received_bytes = 0
        self.bytes_since_restart = 0

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send a request."""
        # Sent data may wait in the send buffer for as long as the link needs for it.
        self.timeout_s += len(data) / MIN_SEND_BYTES_PER_S
        view = memoryview(data)
        for start in range(0, len(data), SEND_BLOCK_BYTES):
            block = view[start : start + SEND_BLOCK_BYTES]
            sock.sendall(block)
            self._record_progress(len(block))

    def record_data(self, size: int) -> None:
        """Record that some bytes of the response were received."""
        self.received_bytes += size
        self._record_progress(size)

    def describe(self) -> str:
        """Return how long the call has waited and what it has received."""
        waited_s = time.monotonic() - self.started_s
        return (
            f"no complete response within {waited_s:.3f} s, "
            f"{self.received_bytes} bytes received"
        )

    def _record_progress(self, size: int) -> None:
        self.active_s = time.monotonic()
        self.bytes_since_restart += size
        if self.by_progress and self.bytes_since_restart >= MIN_PROGRESS_BYTES:
            self.bytes_since_restart = 0
            # A cancelled timeout that is started again resumes instead of restarting.
            self.timeout.close()
            self.timeout = gevent.Timeout.start_new(self.timeout_s)


class RecordedResponse(HTTPSocketPoolResponse):
    """A response that reports its progress to its call."""

    def __init__(self, sock, pool: ConnectionPool, call: PendingCall, method: str):
        self.call = call
        super().__init__(sock, pool, method=method)

    def feed(self, data: bytes) -> None:
        """Parse data that was received."""
        self.call.record_data(len(data))
        super().feed(data)
