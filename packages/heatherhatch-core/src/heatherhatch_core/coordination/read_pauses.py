"""Pauses between readings of a record while somebody waits for it to change."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Pause:
    until_s: float
    pause_s: float
    waiting: frozenset[str]


class ReadPauses:
    """Allows readings at growing pauses, from the first one on when news come.

    Args:
        first_s: Shortest pause.
        longest_s: Longest pause.
    """

    def __init__(self, first_s: float, longest_s: float):
        self.first_s = first_s
        self.longest_s = longest_s
        self.pauses: dict[str, _Pause] = {}

    def is_due(self, name: str, waiting: frozenset[str], now_s: float) -> bool:
        """Tell whether to read now, and count it as read if so.

        Args:
            name: Name of the record.
            waiting: Who waits; if others than before do, pauses begin anew.
            now_s: Monotonic seconds.
        """
        pause = self.pauses.get(name)
        if pause is None or pause.waiting != waiting:
            pause = _Pause(now_s, self.first_s, waiting)
        if now_s < pause.until_s:
            return False
        longer = min(2 * pause.pause_s, self.longest_s)
        self.pauses[name] = _Pause(now_s + pause.pause_s, longer, waiting)
        return True

    def end(self, name: str) -> None:
        """Forget a record for which nobody waits any more."""
        self.pauses.pop(name, None)
