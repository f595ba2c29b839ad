"""A call that waits for its response, with its timeout."""

import time

import gevent
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPSocketPoolResponse

MIN_PROGRESS_BYTES = 4_096  # a peer that sends less within the timeout is stalled


class PendingCall:
    """A call of the current greenlet and the timeout that ends it.

    Args:
        path: Path and query string of the request.
        timeout_s: Time limit in seconds.
        by_progress: True if the limit applies to the time without progress of the
            response instead of the whole call.

    Attributes:
        greenlet: Greenlet that waits.
        timeout: Timeout that ends the wait; replaced when the response progresses.
        started_s: When the call began, monotonic seconds.
        active_s: When it began, or last received data, monotonic seconds.
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
        self.bytes_at_restart = 0

    def record_data(self, size: int) -> None:
        """Record that some bytes of the response were received."""
        self.active_s = time.monotonic()
        self.received_bytes += size
        unrewarded = self.received_bytes - self.bytes_at_restart
        if self.by_progress and unrewarded >= MIN_PROGRESS_BYTES:
            self.bytes_at_restart = self.received_bytes
            # A cancelled timeout that is started again resumes instead of restarting.
            self.timeout.close()
            self.timeout = gevent.Timeout.start_new(self.timeout_s)

    def describe(self) -> str:
        """Return how long the call has waited and what it has received."""
        waited_s = time.monotonic() - self.started_s
        return (
            f"no complete response within {waited_s:.3f} s, "
            f"{self.received_bytes} bytes received"
        )


class RecordedResponse(HTTPSocketPoolResponse):
    """A response that reports its progress to its call."""

    def __init__(self, sock, pool: ConnectionPool, call: PendingCall, method: str):
        self.call = call
        super().__init__(sock, pool, method=method)

    def feed(self, data: bytes) -> None:
        """Parse data that was received."""
        self.call.record_data(len(data))
        super().feed(data)
