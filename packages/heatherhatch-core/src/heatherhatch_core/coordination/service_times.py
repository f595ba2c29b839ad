"""Service times: how long requests of a class occupy a unit."""

from collections import deque

from sortedcontainers import SortedList

WINDOW_SIZE = 256
DEFAULT_SERVICE_TIME_S = 0.0


class ServiceTimes:
    """Service times in a sliding window of the latest requests of one class.

    ``add`` costs O(log n) in the fixed size of the window.
    """

    def __init__(self):
        self.latest: deque[float] = deque()
        self.ordered: SortedList = SortedList()
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Record the service time of one request."""
        if len(self.latest) == WINDOW_SIZE:
            oldest = self.latest.popleft()
            self.ordered.remove(oldest)
            self.total_s -= oldest
        self.latest.append(seconds)
        self.ordered.add(seconds)
        self.total_s += seconds

    @property
    def mean_s(self) -> float:
        """Mean service time in the window, in seconds."""
        if not self.latest:
            return DEFAULT_SERVICE_TIME_S
        return self.total_s / len(self.latest)

    def quantile_s(self, share: float) -> float:
        """Return the quantile of the service times in the window, in seconds.

        Args:
            share: Share of the requests that were served within that time.
        """
        if not self.latest:
            return DEFAULT_SERVICE_TIME_S
        index = min(len(self.ordered) - 1, int(share * len(self.ordered)))
        return self.ordered[index]
