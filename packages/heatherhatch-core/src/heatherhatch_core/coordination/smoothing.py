"""Smoothing of the reported demand, which follows jumping queue lengths."""

import math
from collections.abc import Iterable

from .fair_share import TeamDemand

TIME_CONSTANT_S = 0.6
# Smaller differences are treated as zero.
SETTLED_UNITS = 0.05


class SmoothedDemand:
    """Exponential moving average of the demand of each team at each node.

    It follows a change within about a second. The first demand of a team at a node
    counts in full immediately.

    Args:
        time_constant_s: Time after which 63% of a change is included, seconds.
    """

    def __init__(self, time_constant_s: float = TIME_CONSTANT_S):
        self.time_constant_s = time_constant_s
        self.units: dict[tuple[str, str], float] = {}
        self.at_s = float("-inf")

    def smooth(
        self, demands: Iterable[TeamDemand], now_s: float
    ) -> tuple[TeamDemand, ...]:
        """Return the smoothed demand, ordered by team and node.

        Args:
            demands: Latest reported demand.
            now_s: Monotonic seconds.
        """
        latest = {(item.team, item.node): item.wanted for item in demands}
        share = 1.0 - math.exp(-(now_s - self.at_s) / self.time_constant_s)
        self.at_s = now_s
        units = {}
        for name in sorted({*self.units, *latest}):
            wanted = latest.get(name, 0)
            before = self.units.get(name, wanted)
            after = before + share * (wanted - before)
            if abs(after - wanted) < SETTLED_UNITS:
                after = wanted
            if after:
                units[name] = after
        self.units = units
        return tuple(TeamDemand(*name, after) for name, after in units.items())
