"""Standing: whether a node may act on the configuration that it knows."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Standing:
    """Evidence that the configuration known here is the latest.

    Evidence counts from the moment its question was sent, by this node's own
    monotonic clock: an answer may have been delayed without bound.

    Attributes:
        period_s: Seconds for which evidence counts.
        confirmed_s: When the question was sent whose answer confirmed the log
            head; minus infinity if none was.
    """

    period_s: float
    confirmed_s: float = float("-inf")

    def confirm(self, asked_s: float) -> "Standing":
        """Return the standing after the head was confirmed.

        Args:
            asked_s: When the question was sent, monotonic seconds.
        """
        return Standing(self.period_s, max(self.confirmed_s, asked_s))

    def holds(self, now_s: float) -> bool:
        """Tell whether the node may act now."""
        return now_s - self.confirmed_s < self.period_s
