"""Fair share: division of a pool's capacity among teams and nodes."""

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Demand of one team at one node for a pool.

    Attributes:
        team: Name of the team, empty for work that is open to all.
        node: Name of the reporting node.
        wanted: Units that run or wait at the node.
    """

    team: str
    node: str
    wanted: float


@dataclass(frozen=True, slots=True)
class Division:
    """Division of a pool's capacity, which every node computes alike.

    Attributes:
        parts: Units of each team, by node and then by team.
        budgets: Whole units by node, including spare units; they add up to the
            capacity.
    """

    parts: dict[str, dict[str, float]] = field(default_factory=dict)
    budgets: dict[str, int] = field(default_factory=dict)


def max_min(
    capacity: float, wanted: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair division of a capacity.

    No team receives more than it wants. A team that receives less than it wants
    has at least as large a part per weight as any other team.

    Args:
        capacity: Units to divide.
        wanted: Units that each team wants.
        weights: Weight of each team, above zero.
    """
    parts: dict[str, float] = {}
    # Teams are sorted by demand per weight, so that the team whose demand is met at
    # the lowest part per weight comes first.
    order = sorted(wanted, key=lambda team: (wanted[team] / weights[team], team))
    remaining = capacity
    remaining_weight = sum(weights[team] for team in order)
    for team in order:
        fair = remaining * weights[team] / remaining_weight
        parts[team] = min(wanted[team], fair)
        remaining -= parts[team]
        remaining_weight -= weights[team]
    return parts


def round_parts(parts: dict[str, float], total: int) -> dict[str, int]:
    """Round parts to whole units with the largest remainder method.

    Args:
        parts: Parts that add up to the total, in units.
        total: Whole number of units that the result adds up to.
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
    """Return the division of a pool, the same on all nodes for the same reports.

    A team's part at a node is proportional to that node's fraction of the team's
    demand. Units that no team wants are spread evenly over the nodes, so that a
    first request starts immediately on any node.

    Args:
        capacity: Units that the pool's backend servers can run concurrently.
        demands: Reports of all nodes in any order, one per team and node.
        weights: Weight of each team with demand.
        nodes: Names of all live nodes.
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
