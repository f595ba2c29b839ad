"""Fair share: a full pool divided between teams and nodes."""

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """What one team's callers at one node ask of a pool.

    Attributes:
        team: Team, empty for work open to all.
        node: Node that reports.
        wanted: Units that run or wait there.
    """

    team: str
    node: str
    wanted: float


@dataclass(frozen=True, slots=True)
class Division:
    """A pool's capacity as all nodes divide it.

    Attributes:
        parts: Units of each team, by node and then by team.
        budgets: Whole units by node, spare ones included; they add up to the
            capacity.
    """

    parts: dict[str, dict[str, float]] = field(default_factory=dict)
    budgets: dict[str, int] = field(default_factory=dict)


def max_min(
    capacity: float, wanted: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Return the weighted max-min division of a capacity.

    No team gets more than it asks for, and a team that gets less has no smaller
    part per weight than any other team.

    Args:
        capacity: Units to divide.
        wanted: Units that each team asks for.
        weights: Weight of each team, above zero.
    """
    parts: dict[str, float] = {}
    # The team that is satisfied at the lowest level comes first.
    order = sorted(wanted, key=lambda team: (wanted[team] / weights[team], team))
    left = capacity
    weight_left = sum(weights[team] for team in order)
    for team in order:
        fair = left * weights[team] / weight_left
        parts[team] = min(wanted[team], fair)
        left -= parts[team]
        weight_left -= weights[team]
    return parts


def round_parts(parts: dict[str, float], total: int) -> dict[str, int]:
    """Return whole parts that add up to a total, by largest remainder.

    Args:
        parts: Parts that add up to the total.
        total: Whole number of units.
    """
    whole = {name: int(part) for name, part in parts.items()}
    rest = total - sum(whole.values())
    order = sorted(parts, key=lambda name: (whole[name] - parts[name], name))
    for name in order[:rest]:
        whole[name] += 1
    return whole


def divide_pool(
    capacity: int,
    demands: tuple[TeamDemand, ...],
    weights: dict[str, float],
    nodes: tuple[str, ...],
) -> Division:
    """Return the division of a pool, the same at all nodes for the same reports.

    A team's part at a node follows that node's part of the team's demand. Units
    that nobody asks for are spread evenly, so that a first request starts at
    once wherever it comes.

    Args:
        capacity: Units that the pool's backend servers carry at once.
        demands: Reports of all nodes in any order, one per team and node.
        weights: Weight of each team that asks.
        nodes: All live nodes.
    """
    wanted: dict[str, float] = {}
    for demand in demands:
        wanted[demand.team] = wanted.get(demand.team, 0) + demand.wanted
    fair = max_min(capacity, wanted, weights)
    parts: dict[str, dict[str, float]] = {node: {} for node in nodes}
    for demand in demands:
        if demand.wanted and demand.node in parts:
            share = demand.wanted / wanted[demand.team]
            parts[demand.node][demand.team] = fair[demand.team] * share
    totals = {node: math.fsum(parts[node].values()) for node in nodes}
    spare = max(0.0, capacity - math.fsum(totals.values()))
    even = {node: total + spare / len(nodes) for node, total in totals.items()}
    return Division(parts, round_parts(even, capacity))
