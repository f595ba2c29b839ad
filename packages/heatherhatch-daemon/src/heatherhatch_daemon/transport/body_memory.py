"""Bounds the memory that the bodies of all requests take together."""

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..metrics import METER, Metric

# Each request may always have this much: the number of connections bounds the sum, and
# callers with large bodies don't keep out those with ordinary ones.
FREE_BYTES = 8_192
RETRY_AFTER_S = 1.0


class BodyMemory:
    """Memory of an instance for what requests have beyond their free part.

    Args:
        limit_bytes: How much all requests may have together, bytes.

    Attributes:
        taken_bytes: How much they have, bytes.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.taken_bytes = 0

    def charge(self) -> "BodyCharge":
        """Return the account of a new request."""
        return BodyCharge(self)


class BodyCharge:
    """What one request has of the memory for bodies.

    Args:
        memory: The memory.

    Attributes:
        taken_bytes: What the request has beyond its free part, bytes.
    """

    def __init__(self, memory: BodyMemory):
        self.memory = memory
        self.taken_bytes = 0

    def take(self, count: int) -> None:
        """Take memory, unless the request has as much already.

        Args:
            count: How much the request is to have, bytes.

        Raises:
            HeatherhatchError: ``MEMORY_LIMIT`` if there is not as much left.
        """
        more = max(0, count - FREE_BYTES) - self.taken_bytes
        if more <= 0:
            return
        if more > self.memory.limit_bytes - self.memory.taken_bytes:
            METER.sink.count(Metric.BODIES_REFUSED, label="memory")
            raise HeatherhatchError(
                ErrorKind.MEMORY_LIMIT,
                f"{self.memory.taken_bytes} of {self.memory.limit_bytes} bytes for"
                " large bodies are in use",
                RETRY_AFTER_S,
            )
        self.memory.taken_bytes += more
        self.taken_bytes += more

    def release(self) -> None:
        """Return all memory."""
        self.memory.taken_bytes -= self.taken_bytes
        self.taken_bytes = 0
