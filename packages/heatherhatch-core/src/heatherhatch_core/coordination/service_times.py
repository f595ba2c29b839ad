"""Service times: how long work of a class holds a unit."""

from collections import deque

from sortedcontainers import SortedList

WINDOW = 256
FIRST_GUESS_S = 0.0


class ServiceTimes:
    """The latest service times of one class, and their quantiles.

    ``add`` costs O(log n) in the fixed size of the window.
    """

    def __init__(self):
        self.latest: deque[float] = deque()
        self.ordered: SortedList = SortedList()
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Take in the service time of one request."""
        if len(self.latest) == WINDOW:
            oldest = self.latest.popleft()
            self.ordered.remove(oldest)
            self.total_s -= oldest
        self.latest.append(seconds)
        self.ordered.add(seconds)
        self.total_s += seconds

    @property
    def mean_s(self) -> float:
        """Mean of the window in seconds."""
        if not self.latest:
            return FIRST_GUESS_S
        return self.total_s / len(self.latest)

    def quantile_s(self, share: float) -> float:
        """Return the time in which a share of the window was served."""
        if not self.latest:
            return FIRST_GUESS_S
        index = min(len(self.ordered) - 1, int(share * len(self.ordered)))
        return self.ordered[index]
