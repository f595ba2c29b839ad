"""Service times: how long requests of a class occupy a unit."""

from .samples import SlidingWindow

WINDOW_SIZE = 256
DEFAULT_SERVICE_TIME_S = 0.0


class ServiceTimes:
    """Service times in a sliding window of the latest requests of one class."""

    def __init__(self):
        self.window = SlidingWindow(WINDOW_SIZE)

    def add(self, seconds: float) -> None:
        """Record the service time of one request."""
        self.window.add(seconds)

    @property
    def mean_s(self) -> float:
        """Mean service time in the window, in seconds."""
        if not self.window.latest:
            return DEFAULT_SERVICE_TIME_S
        return self.window.total / len(self.window.latest)

    def quantile_s(self, share: float) -> float:
        """Return the quantile of the service times in the window, in seconds.

        Args:
            share: Share of the requests that were served within that time.
        """
        if not self.window.latest:
            return DEFAULT_SERVICE_TIME_S
        return self.window.quantile(share)
