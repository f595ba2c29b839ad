"""A call that waits for its response, with its timeout."""

import time

import gevent
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPSocketPoolResponse


class PendingCall:
    """A call of the current greenlet and the timeout that ends it.

    Args:
        timeout_s: Time limit in seconds.

    Attributes:
        greenlet: Greenlet that waits.
        timeout: Timeout that ends the wait.
        started_s: When the call began, monotonic seconds.
        received_bytes: Bytes received so far.
    """

    def __init__(self, timeout_s: float):
        self.greenlet = gevent.getcurrent()
        self.timeout = gevent.Timeout(timeout_s)
        self.started_s = time.monotonic()
        self.received_bytes = 0
        self.timeout.start()

    def record_data(self, size: int) -> None:
        """Record that some bytes of the response were received."""
        self.received_bytes += size

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
