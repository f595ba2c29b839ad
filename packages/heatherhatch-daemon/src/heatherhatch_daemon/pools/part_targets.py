"""Decides how large a part of a team's limit one pool should have."""

import math
from dataclasses import dataclass

from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from .clock import now_s

RESERVE_DIVISOR = 8  # a pool reserves 1/8 of the limit, to write less often
CONTENDED_RESERVE_DIVISOR = 16  # while another pool is short, a pool reserves 1/16
RELEASE_AFTER_S = 1.0  # an excess that was unused for this long is released
CONTENDED_RELEASE_PERIOD_S = 1.0  # minimum time between releases to a short pool
SHORT_KEPT_S = 1.0  # a pool stays short in the record for this long, to write less


@dataclass(frozen=True, slots=True)
class LimitUse:
    """What one pool has and needs of a team's limit.

    Amounts are 0 in the dimensions in which there is no limit.

    Attributes:
        limit: Limit of the team.
        used: What the team's runs in the pool use.
        unmet: What its waiting tasks lacked in the last round.
        next_need: What the first waiting task or gang in line needs.
        own: The pool's part.
        others: Sum of the other pools' parts.
        room: Largest part that the pool may have beside them and earlier claims.
    """

    limit: Resources
    used: Resources
    unmet: Resources
    next_need: Resources
    own: Resources
    others: Resources
    room: Resources

    @property
    def is_short(self) -> bool:
        """True if the parts of the others leave less than the pool needs."""
        return self.unmet != NO_RESOURCES and not (
            self.others + self.used + self.unmet
        ).within(self.limit)


class PartTargets:
    """Follows the demand of one pool, with a reserve so that the part changes seldom.

    Attributes:
        excess_since_s: Since when the pool has held much more than it uses, by team.
        released_s: When the pool last released some of its part, by team.
        short_s: When the pool was last short, by team.
    """

    def __init__(self):
        self.excess_since_s: dict[str, float] = {}
        self.released_s: dict[str, float] = {}
        self.short_s: dict[str, float] = {}

    def counts_as_short(self, team: str, use: LimitUse) -> bool:
        """Return whether the pool is short, or was a moment ago."""
        if use.is_short:
            self.short_s[team] = now_s()
        return now_s() - self.short_s.get(team, -math.inf) < SHORT_KEPT_S

    def target(self, team: str, use: LimitUse, contended: bool) -> Resources:
        """Return the part that a pool should have.

        Args:
            team: Name of the team.
            use: What the pool has and needs.
            contended: True if another pool is short.
        """
        target = self._by_demand(team, use)
        if contended:
            target = self._contended(team, target, use)
        least = use.used.elementwise_min(use.own)
        return target.elementwise_min(use.room.elementwise_max(least))

    def note_released(self, team: str) -> None:
        """Record that a smaller part was stored."""
        self.released_s[team] = now_s()

    def _by_demand(self, team: str, use: LimitUse) -> Resources:
        reserve = _divided(use.limit, RESERVE_DIVISOR)
        if not (use.own + use.others).within(use.limit):
            return use.used.elementwise_min(use.own)
        if use.unmet != NO_RESOURCES:
            self.excess_since_s.pop(team, None)
            wanted = (use.used + use.unmet + reserve).elementwise_min(use.room)
            return wanted.elementwise_max(use.own)
        excessive = not (use.own - use.used).fits(reserve + reserve)
        if not excessive:
            self.excess_since_s.pop(team, None)
            return use.own
        since_s = self.excess_since_s.setdefault(team, now_s())
        if now_s() - since_s < RELEASE_AFTER_S:
            return use.own
        return (use.used + reserve).elementwise_min(use.own)

    def _contended(self, team: str, target: Resources, use: LimitUse) -> Resources:
        """Limit a part to a small reserve beyond the use, and release seldom.

        The reserve holds what the pool's own next work needs, if there is room for it:
        pools that are short at once would otherwise leave the rest of the limit to
        nobody.
        """
        reserve = _divided(use.limit, CONTENDED_RESERVE_DIVISOR)
        if (use.used + use.next_need).fits(use.room):
            reserve = reserve.elementwise_max(use.next_need)
        limited = target.elementwise_min(use.used + reserve)
        kept = use.own.elementwise_min(target)
        if kept.fits(limited):
            return limited
        released_s = self.released_s.get(team, -math.inf)
        if now_s() - released_s < CONTENDED_RELEASE_PERIOD_S:
            return limited.elementwise_max(kept)
        return limited


def _divided(limit: Resources, divisor: int) -> Resources:
    return Resources(
        limit.cpu_m // divisor,
        limit.memory_mb // divisor,
        limit.accelerators // divisor,
    )
