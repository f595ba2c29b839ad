"""How close teams came to their shares while a pool was full."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from heatherhatch_core.coordination.fair_share import max_min
from heatherhatch_core.state.entities import Team

from .load import Asked


def share_error(
    asked: Iterable[Asked], answered: frozenset[str], teams: Iterable[Team]
) -> float:
    """Return the part of the served work that went to others than it should.

    Each burst of a pool is looked at alone: what was served in it, divided by
    weighted max-min of what the teams asked for, is what each team should have.

    Args:
        asked: Requests of the teams, open work left out.
        answered: Ids of the requests that were served.
        teams: Teams with their shares.
    """
    weights = {team.name: team.share for team in teams}
    wanted: dict[int, Counter[str]] = defaultdict(Counter)
    served: dict[int, Counter[str]] = defaultdict(Counter)
    for item in asked:
        if item.burst >= 0 and item.team:
            wanted[item.burst][item.team] += 1
            served[item.burst][item.team] += item.request_id in answered
    off = sum(_off(wanted[i], served[i], weights) for i in wanted)
    total = sum(count.total() for count in served.values())
    return off / total if total else 0.0


def _off(
    wanted: Counter[str], served: Counter[str], weights: Mapping[str, float]
) -> float:
    should = max_min(served.total(), dict(wanted), dict(weights))
    return sum(max(0.0, served[team] - part) for team, part in should.items())
