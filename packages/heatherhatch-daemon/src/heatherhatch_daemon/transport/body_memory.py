"""Bounds the memory that all requests take together while they are open."""

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..metrics import METER, Metric

# Each request may always have this much: the number of connections bounds the sum, and
# callers with large bodies don't keep out those with ordinary ones.
FREE_BYTES = 8_192
FREE_HEAD_BYTES = 2_048
HEAD_FACTOR = 5  # memory of a head that was decoded, as a multiple of its size
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

    def charge(self, head_bytes: int = 0) -> "BodyCharge":
        """Return the account of a new request.

        Args:
            head_bytes: Size of its head.
        """
        return BodyCharge(self, HEAD_FACTOR * max(0, head_bytes - FREE_HEAD_BYTES))


class BodyCharge:
    """What one request has of the memory for bodies.

    Args:
        memory: The memory.
        head_bytes: What its head needs beyond its free part, bytes.

    Attributes:
        taken_bytes: What the request has beyond its free parts, bytes.
    """

    def __init__(self, memory: BodyMemory, head_bytes: int):
        self.memory = memory
        self.head_bytes = head_bytes
        self.taken_bytes = 0

    def reserve(self, body_bytes: int) -> None:
        """Take memory, unless the request has as much already.

        Args:
            body_bytes: How much the request is to have for its body.

        Raises:
            HeatherhatchError: ``MEMORY_LIMIT`` if there is not as much left.
        """
        needed_bytes = self.head_bytes + max(0, body_bytes - FREE_BYTES)
        more = needed_bytes - self.taken_bytes
        if more <= 0:
            return
        if more > self.memory.limit_bytes - self.memory.taken_bytes:
            METER.sink.count(Metric.BODIES_REFUSED, label="memory")
            raise HeatherhatchError(
                ErrorKind.MEMORY_LIMIT,
                f"{self.memory.taken_bytes} of {self.memory.limit_bytes} bytes for"
                " large requests are in use",
                RETRY_AFTER_S,
            )
        self.memory.taken_bytes += more
        self.taken_bytes += more

    def release(self) -> None:
        """Return all memory."""
        self.memory.taken_bytes -= self.taken_bytes
        self.taken_bytes = 0
