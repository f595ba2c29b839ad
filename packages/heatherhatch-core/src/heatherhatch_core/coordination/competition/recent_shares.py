"""Recent use of a pool by each team, and the teams that had more than their share."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

HALF_LIFE_S = 10.0  # a burst of 6 to 8 s still counts while its backlog is served
DECAY_PER_S = math.log(2) / HALF_LIFE_S
# The recent use of a team with some eight jobs in a half-life varies by a quarter of
# itself. Twice that is no sign of a team that sends more than usual. A team that has a
# large part of the pool has many jobs, so the tolerance shrinks with the part.
TOLERANCE = 0.5
MIN_USE_CORE_S = 1e-3  # less recent use is forgotten


@dataclass(frozen=True, slots=True)
class Claim:
    """What one job asks of a pool; work is in core-seconds.

    Lasting tasks and tasks that use only what others leave do not count: they are
    placed without regard to shares.

    Attributes:
        team: Team that submitted the job.
        cores: Cores that its runs use.
        running: Work that its runs have still to do.
        waiting: Work of its tasks that have no run.
        waiting_cores: Cores that those of them use that could begin at once.
        on_time: True if the job can still be on time.
    """

    team: str
    cores: float = 0.0
    running: float = 0.0
    waiting: float = 0.0
    waiting_cores: float = 0.0
    on_time: bool = True


@dataclass(slots=True)
class RecentUse:
    """Decayed use of a pool by each team.

    Attributes:
        core_s: Use of each team in core-seconds, halved every ``HALF_LIFE_S``.
        at_s: Time of the last update, monotonic seconds.
    """

    core_s: dict[str, float] = field(default_factory=dict)
    at_s: float = float("-inf")

    def advance(self, cores: Mapping[str, float], now_s: float) -> None:
        """Add the use since the last update.

        Args:
            cores: Cores that each team has used since then.
            now_s: Monotonic time, seconds.
        """
        elapsed_s = max(0.0, now_s - self.at_s) if math.isfinite(self.at_s) else 0.0
        self.at_s = max(self.at_s, now_s)
        if not elapsed_s:
            return
        kept = math.exp(-DECAY_PER_S * elapsed_s)
        gained_s = (1.0 - kept) / DECAY_PER_S
        for team in {*self.core_s, *cores}:
            use = self.core_s.get(team, 0.0) * kept + cores.get(team, 0.0) * gained_s
            if use < MIN_USE_CORE_S:
                self.core_s.pop(team, None)
            else:
                self.core_s[team] = use


def teams_over_share(
    claims: Iterable[Claim],
    used: Mapping[str, float],
    weights: Mapping[str, float],
    free_cores: float,
) -> frozenset[str]:
    """Return the teams whose new jobs wait behind those of the others.

    There are none unless more waits than fits. The work that was served
    recently is then divided anew by weight among the teams with demand, each of which
    gets at most what it had and asks for. Teams that had more wait, if it was also
    clearly more than their part by weight.

    Args:
        claims: What the jobs ask for; late ones do not count as waiting.
        used: Recent use of each team, core-seconds.
        weights: Weight of each team; 1 for an absent one.
        free_cores: Free capacity of the pool, cores.
    """
    had: dict[str, float] = {}
    asked: dict[str, float] = {}
    waiting_cores = 0.0
    for claim in claims:
        team = claim.team
        had[team] = had.get(team, used.get(team, 0.0)) + claim.running
        asked[team] = asked.get(team, 0.0)
        if claim.on_time:
            asked[team] += claim.waiting
            waiting_cores += claim.waiting_cores
    if len(had) < 2 or waiting_cores <= free_cores:
        return frozenset()
    total = sum(had.values())
    level = fair_level({team: had[team] + asked[team] for team in had}, weights, total)
    part = 1.0 / max(1e-9, sum(weights.get(team, 1.0) for team in had))

    def limit(team: str) -> float:
        weight = weights.get(team, 1.0)
        tolerance_factor = 1.0 + TOLERANCE * (1.0 - weight * part)
        return weight * max(level, tolerance_factor * total * part)

    return frozenset(team for team in had if had[team] > limit(team))


def fair_level(
    demands: Mapping[str, float], weights: Mapping[str, float], total: float
) -> float:
    """Return the amount per weight at which a weighted max-min division ends.

    Args:
        demands: Demand of each team.
        weights: Weight of each team; 1 for an absent one.
        total: Amount to divide.

    Returns:
        The level; infinite if the total meets every demand.
    """
    open_weight = sum(weights.get(team, 1.0) for team in demands)
    for team in sorted(
        demands, key=lambda name: demands[name] / max(1e-9, weights.get(name, 1.0))
    ):
        weight = weights.get(team, 1.0)
        if demands[team] * open_weight > total * weight:
            return total / open_weight
        total -= demands[team]
        open_weight -= weight
    return math.inf
