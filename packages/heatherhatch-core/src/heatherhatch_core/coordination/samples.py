"""Order statistics of measured values; the one place for their arithmetic."""

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Collection, Sequence


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return the value at or below which a fraction of the sorted values lies."""
    index = math.ceil(fraction * len(ordered)) - 1
    return ordered[min(len(ordered) - 1, max(0, index))]


def median(values: Collection[float]) -> float:
    """Return the median; the mean of the middle two of an even number of values."""
    ordered = sorted(values)
    half = len(ordered) // 2
    return (ordered[half] + ordered[-1 - half]) / 2


class SlidingWindow:
    """The latest values, sorted as well.

    Args:
        size: Number of values that are kept.

    Attributes:
        latest: The values, oldest first.
        ordered: The values, lowest first.
        total: Sum of the values.
    """

    __slots__ = ("latest", "ordered", "size", "total")

    def __init__(self, size: int):
        self.size = size
        self.latest: deque[float] = deque()
        self.ordered: list[float] = []
        self.total = 0.0

    def add(self, value: float) -> None:
        """Add a value; the oldest one is dropped if there are too many."""
        if len(self.latest) == self.size:
            oldest = self.latest.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]
            self.total -= oldest
        self.latest.append(value)
        insort(self.ordered, value)
        self.total += value

    def quantile(self, fraction: float) -> float:
        """Return the value at or below which a fraction of the values lies."""
        return quantile(self.ordered, fraction)

    def log_variation(self) -> float:
        """Return the sum of squares of the logarithms around their mean."""
        logarithms = [math.log(value) for value in self.latest]
        mean = sum(logarithms) / len(logarithms)
        return sum((item - mean) ** 2 for item in logarithms)
