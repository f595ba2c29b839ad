"""Rate of arriving work, from the arrivals since the rate last changed.

Load: the queues of a fleet peak in turn. Within a second the rate of a queue rises from
almost nothing to several times its mean, and later falls back. Between two changes few
jobs arrive, of very different sizes, so that a short window measures mostly chance.
"""

import math
from collections import deque
from dataclasses import dataclass

MAX_WINDOW_S = 3.0  # an older arrival says little about the next second
MAX_ARRIVALS = 100  # more would not make the rate more precise, only slower to compute
# Shorter spans count as this long: callers that return together, as after an outage,
# are no peak, and a few jobs at once even less.
MIN_SPAN_S = 0.5
MIN_SPAN_OF_FEW_S = 0.7
FEW_ARRIVALS = 3  # fewer jobs give no rate, as one large job is no peak
# Log-likelihood ratio from which on two rates explain the arrivals better than one. The
# moment of the change is chosen among all arrivals, so that half of it is often chance.
MIN_EVIDENCE = 5.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Work that arrived at one time.

    Attributes:
        at_s: Time, monotonic seconds.
        work: Thousandths of a core times seconds.
    """

    at_s: float
    work: float


class ArrivalRate:
    """Estimates the rate of arriving work.

    Attributes:
        recent: Arrivals since the last change of the rate.
    """

    def __init__(self):
        self.recent: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)

    def note(self, arrival: Arrival) -> None:
        """Add an arrival."""
        self.recent.append(arrival)

    def work_per_s(self, now_s: float) -> float:
        """Return the work that arrives in a second, thousandths of a core."""
        self._forget(now_s)
        if not self.recent:
            return 0.0
        if len(self.recent) < FEW_ARRIVALS:
            return sum(item.work for item in self.recent) / MAX_WINDOW_S
        work = sum(item.work for item in self.recent)
        least_s = least_span_s(len(self.recent))
        return work / max(least_s, now_s - self.recent[0].at_s)

    def _forget(self, now_s: float) -> None:
        """Drop the arrivals before the last change of the rate, and all old ones."""
        while self.recent and now_s - self.recent[0].at_s > MAX_WINDOW_S:
            self.recent.popleft()
        times_s = [item.at_s for item in self.recent]
        while drop := find_change(times_s, now_s):
            times_s = times_s[drop:]
        while len(self.recent) > len(times_s):
            self.recent.popleft()


def least_span_s(count: int) -> float:
    """Return the time below which a number of arrivals is likely to be a cluster."""
    return MIN_SPAN_OF_FEW_S if count <= FEW_ARRIVALS else MIN_SPAN_S


def find_change(times_s: list[float], now_s: float) -> int:
    """Return the number of arrivals before the clearest change of their rate.

    Args:
        times_s: Time of each arrival, ascending.
        now_s: The present time.

    Returns:
        0 if the rate may have been the same all the time.
    """
    if len(times_s) < 2 or now_s <= times_s[0]:
        return 0
    total_s = now_s - times_s[0]
    strongest, found = MIN_EVIDENCE, 0
    # Each part begins with an arrival that it does not count. The last part may have
    # none, if none has come for long.
    for before in range(1, len(times_s)):
        after = len(times_s) - 1 - before
        evidence = (
            _log_likelihood(before, times_s[before] - times_s[0])
            + _log_likelihood(after, now_s - times_s[before])
            - _log_likelihood(before + after, total_s)
        )
        if evidence > strongest:
            strongest, found = evidence, before
    return found


def _log_likelihood(count: int, span_s: float) -> float:
    """Return the log-likelihood of arrivals at the rate that explains them best.

    Terms that are the same for each division of the time are left out.
    """
    if not count:
        return 0.0
    return count * math.log(count / max(span_s, least_span_s(count)))
