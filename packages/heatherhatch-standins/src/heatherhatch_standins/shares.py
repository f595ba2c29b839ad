"""Deviation of the teams' served work from their shares while a pool was full."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from heatherhatch_core.coordination.fair_share import max_min
from heatherhatch_core.state.entities import Team

from .load import GeneratedRequest


def share_error(
    generated: Iterable[GeneratedRequest],
    answered: frozenset[str],
    teams: Iterable[Team],
) -> float:
    """Return the fraction of the served requests that exceeds the teams' fair parts.

    The fair parts are computed for each burst of a pool separately: they are the
    weighted max-min division of the requests served in the burst, by the requests
    that the teams sent and by their shares.

    Args:
        generated: Requests of the load; open work and requests between bursts are
            ignored.
        answered: Ids of the requests that were served.
        teams: Teams with their shares.
    """
    weights = {team.name: team.share for team in teams}
    demanded: dict[int, Counter[str]] = defaultdict(Counter)
    served: dict[int, Counter[str]] = defaultdict(Counter)
    for item in generated:
        if item.burst >= 0 and item.team:
            demanded[item.burst][item.team] += 1
            served[item.burst][item.team] += item.request_id in answered
    excess = sum(_excess(demanded[i], served[i], weights) for i in demanded)
    total = sum(count.total() for count in served.values())
    return excess / total if total else 0.0


def _excess(
    demanded: Counter[str], served: Counter[str], weights: Mapping[str, float]
) -> float:
    fair = max_min(served.total(), dict(demanded), dict(weights))
    return sum(max(0.0, served[team] - part) for team, part in fair.items())
