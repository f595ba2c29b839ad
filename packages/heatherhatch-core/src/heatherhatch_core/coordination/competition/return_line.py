"""Spreads the times at which refused callers are asked to return."""

import math
from dataclasses import dataclass

RATE_DECAY_PER_S = math.log(2) / 10.0  # follows a peak of a few seconds
MIN_WAIT_S = 1.0  # callers are told whole seconds, at least one


@dataclass(slots=True)
class CallRate:
    """Rate of calls in the last seconds before the last one.

    Attributes:
        count: Number of calls, each halved every 10 s.
        at_s: Time of the last call, monotonic seconds.
    """

    count: float = 0.0
    at_s: float = float("-inf")

    def note(self, now_s: float) -> None:
        """Count a call."""
        self.count *= math.exp(-RATE_DECAY_PER_S * max(0.0, now_s - self.at_s))
        self.count += 1.0
        self.at_s = now_s

    @property
    def per_s(self) -> float:
        """Calls per second as of the last call; silence since does not lower it."""
        return self.count * RATE_DECAY_PER_S


@dataclass(slots=True)
class ReturnLine:
    """Callers that were told when to return, in the order in which they asked.

    A caller is never told an earlier time than one that asked before, also after both
    times were rounded to whole seconds from when they were told.

    Attributes:
        last_s: The last caller's place in the line, monotonic seconds.
        told_s: When the last caller was told to return, monotonic seconds.
    """

    last_s: float = float("-inf")
    told_s: float = float("-inf")

    def wait_s(
        self, earliest_s: float, spacing_s: float, most_s: float, now_s: float
    ) -> float:
        """Return after how many seconds a caller should return, and give it a place.

        Args:
            earliest_s: Time until there may be capacity, seconds.
            spacing_s: Time after the caller before it in the line, seconds.
            most_s: Longest wait to tell, seconds.
            now_s: Monotonic time, seconds.
        """
        wait_s = max(earliest_s, self.last_s + spacing_s - now_s)
        wait_s = max(MIN_WAIT_S, min(wait_s, most_s))
        self.last_s = max(self.last_s, now_s + wait_s)
        if now_s + round(wait_s) < self.told_s:
            wait_s = round(wait_s) + 1.0
        self.told_s = max(self.told_s, now_s + round(wait_s))
        return wait_s
