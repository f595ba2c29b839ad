"""Smoothing of reported demand, whose queue lengths jump."""

import math
from collections.abc import Iterable

from .fair_share import TeamDemand

TIME_CONSTANT_S = 0.6
# Differences below this many units count as none.
SETTLED_UNITS = 0.05


class SmoothedDemand:
    """Follows the demand of each team at each node within about a second.

    A demand that was not seen before counts in full at once.

    Args:
        time_constant_s: Seconds after which 63% of a change is taken over.
    """

    def __init__(self, time_constant_s: float = TIME_CONSTANT_S):
        self.time_constant_s = time_constant_s
        self.units: dict[tuple[str, str], float] = {}
        self.at_s = float("-inf")

    def follow(
        self, demands: Iterable[TeamDemand], now_s: float
    ) -> tuple[TeamDemand, ...]:
        """Return the smoothed demand, ordered by team and node.

        Args:
            demands: Latest reports.
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
