"""A bounded histogram of logarithms of ratios, whose old values fade."""

import math
from array import array
from copy import copy
from functools import cache

BIN_WIDTH = 0.1  # a bin spans 10 % of a run time
LOWEST = -2.5  # the first bin also has everything below
BINS = 60  # up to 3.5, a factor of 33; the last bin also has everything above
MEMORY = 150.0  # weight after which a value counts 1/e
# Weight of the assumed normal distribution, which fades like measured values.
PRIOR_WEIGHT = 3.0
MAX_GAIN = 1e6  # weights are scaled back before single precision loses digits
# Width over which a lower bound beyond all known values is spread: a factor of 2.
UNKNOWN_TAIL_BINS = 7


class Histogram:
    """Weights of values in bins of equal width.

    Instead of scaling all old weights down, new ones are scaled up by ``gain``.

    Args:
        spread: Standard deviation of the distribution assumed at first.

    Attributes:
        counts: Weight of each bin, times the gain at the time it was added.
        total: Sum of these.
        gain: Factor of the weight of the next value.
    """

    __slots__ = ("counts", "gain", "total")

    def __init__(self, spread: float):
        self.counts = array("f", _normal_counts(spread))
        self.total = sum(self.counts)
        self.gain = 1.0

    def copy(self) -> "Histogram":
        """Return a copy."""
        other = copy(self)
        other.counts = self.counts[:]
        return other

    def add(self, value: float, weight: float) -> None:
        """Add a value."""
        amount = self._next_amount(weight)
        self.counts[_bin(value)] += amount
        self.total += amount

    def add_at_least(self, value: float, weight: float) -> None:
        """Add a value of which only a lower bound is known.

        Its weight is distributed over the bins above in proportion to theirs
        (Efron's redistribution to the right, whose fixed point is the estimate of
        Kaplan and Meier).
        """
        amount = self._next_amount(weight)
        first = _bin(value)
        above = sum(self.counts[first:])
        if above * MEMORY > self.total:
            factor = 1 + amount / above
            for index in range(first, BINS):
                self.counts[index] *= factor
        else:
            last = min(BINS, first + UNKNOWN_TAIL_BINS)
            for index in range(first, last):
                self.counts[index] += amount / (last - first)
        self.total += amount

    def quantile(self, fraction: float) -> float:
        """Return the value below which a fraction of the weight lies."""
        left = fraction * self.total
        for index, count in enumerate(self.counts):
            if count and left <= count:
                return LOWEST + BIN_WIDTH * (index + left / count)
            left -= count
        return LOWEST + BIN_WIDTH * BINS

    def share_above(self, value: float) -> float:
        """Return the share of the weight above a value."""
        return sum(share for _value, share in self.above(value))

    def mean_above(self, value: float) -> float:
        """Return the mean of the values above a bound; the bound if there are none."""
        known = self.above(value)
        share = sum(item[1] for item in known)
        if share <= 0:
            return value
        return sum(middle * part for middle, part in known) / share

    def above(self, value: float) -> list[tuple[float, float]]:
        """Return the middle and the share of each bin above a value."""
        position = min(BINS - 1e-6, max(0.0, (value - LOWEST) / BIN_WIDTH))
        first = int(position)
        part = first + 1 - position
        total = self.total
        found = [
            (
                LOWEST + BIN_WIDTH * (position + part / 2),
                self.counts[first] * part / total,
            )
        ]
        for index in range(first + 1, BINS):
            if self.counts[index]:
                middle = LOWEST + BIN_WIDTH * (index + 0.5)
                found.append((middle, self.counts[index] / total))
        return found

    def _next_amount(self, weight: float) -> float:
        amount = weight * self.gain
        self.gain *= math.exp(weight / MEMORY)
        if self.gain > MAX_GAIN:
            for index in range(BINS):
                self.counts[index] /= self.gain
            amount /= self.gain
            self.gain = 1.0
            self.total = sum(self.counts)
        return amount


@cache
def _normal_counts(spread: float) -> tuple[float, ...]:
    edges = [LOWEST + BIN_WIDTH * index for index in range(1, BINS)]
    below = [0.5 * (1 + math.erf(edge / spread / math.sqrt(2))) for edge in edges]
    cumulative = [0.0, *below, 1.0]
    return tuple(
        PRIOR_WEIGHT * (high - low)
        for low, high in zip(cumulative, cumulative[1:], strict=False)
    )


def _bin(value: float) -> int:
    return min(BINS - 1, max(0, int((value - LOWEST) // BIN_WIDTH)))
