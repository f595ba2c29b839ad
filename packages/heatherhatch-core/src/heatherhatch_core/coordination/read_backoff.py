"""Backoff between reads of a record while callers wait for it to change."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Backoff:
    until_s: float
    pause_s: float
    waiting: frozenset[str]


class ReadBackoff:
    """Schedules reads with exponential backoff for each record.

    The backoff restarts when other callers wait for the record.

    Args:
        first_s: Shortest pause, seconds.
        longest_s: Longest pause, seconds.
    """

    def __init__(self, first_s: float, longest_s: float):
        self.first_s = first_s
        self.longest_s = longest_s
        self.backoffs: dict[str, _Backoff] = {}

    def is_due(self, name: str, waiting: frozenset[str], now_s: float) -> bool:
        """Return True if a read is due now, and start the next pause if so.

        Args:
            name: Name of the record.
            waiting: Names of the waiting callers; if they change, the backoff restarts.
            now_s: Monotonic seconds.
        """
        backoff = self.backoffs.get(name)
        if backoff is None or backoff.waiting != waiting:
            backoff = _Backoff(now_s, self.first_s, waiting)
        if now_s < backoff.until_s:
            return False
        longer = min(2 * backoff.pause_s, self.longest_s)
        self.backoffs[name] = _Backoff(now_s + backoff.pause_s, longer, waiting)
        return True

    def end(self, name: str) -> None:
        """Drop the state of a record that no caller waits for any more."""
        self.backoffs.pop(name, None)
