"""Grants: how many units of a team's limit one node may use."""

import math
from dataclasses import dataclass

from ..state.grants import GrantRecord

# A node gives units back, except after the limit was lowered, only if they are at
# least this fraction of its part, so that fluctuations of demand do not cause
# writes to the store.
DEADBAND_FRACTION = 0.04
# Fraction of a limit that stays unassigned while there is no shortage, so that the
# first node or long job that needs units finds some.
UNASSIGNED_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class NodeDemand:
    """Demand at one node for units of one team's limit.

    Attributes:
        holder: Name of the node incarnation that holds the part.
        wanted: Units that run or wait at the node.
        missing: Units that wait at the node because its part is too small.
    """

    holder: str
    wanted: int
    missing: int = 0


@dataclass(frozen=True, slots=True)
class GrantInputs:
    """Inputs from which a node computes its own part of a limit.

    Attributes:
        holder: Name of this node incarnation.
        limit: The team's limit in this node's configuration, in units.
        running: Units that run from this node.
        recent: Peak of the running and waiting units at this node over the last
            seconds.
        demands: Reports of all live nodes, including this one.
        jobs: Units of long jobs that wait to start.
    """

    holder: str
    limit: int
    running: int
    recent: int
    demands: tuple[NodeDemand, ...]
    jobs: int = 0

    @property
    def own(self) -> NodeDemand:
        """Report of this node."""
        for demand in self.demands:
            if demand.holder == self.holder:
                return demand
        return NodeDemand(self.holder, self.running)

    @property
    def lacking(self) -> bool:
        """True if requests at any node wait because its part is too small."""
        return any(demand.missing for demand in self.demands)


@dataclass(frozen=True, slots=True)
class GrantTarget:
    """The part of a limit that a node should hold.

    Attributes:
        units: Part to write to the record. It is never below the units that run
            from the node, or the part that it holds if that is less.
        allowance: Units up to which the node starts work until then; below
            ``units`` while the node gives units back to others.
    """

    units: int
    allowance: int


def even_grant(limit: int, nodes: tuple[str, ...], node: str) -> int:
    """Return a node's part of a limit that is divided evenly.

    The first nodes by name receive the remainder, so that the parts of all nodes
    add up to the limit.

    Args:
        limit: Units that may run in the whole fleet.
        nodes: Names of all nodes, including ``node``.
        node: Name of the node whose part is returned.
    """
    ordered = sorted(nodes)
    if node not in ordered:
        return 0
    part, rest = divmod(limit, len(ordered))
    return part + (ordered.index(node) < rest)


def divide_limit(available: int, demands: tuple[NodeDemand, ...]) -> dict[str, int]:
    """Return the part of each node when units are divided by demand.

    Every node receives the units that it wants and an even part of the rest. If
    there are too few units, the parts are proportional to the demand. The result
    does not depend on the order of the reports and adds up to the units divided.

    Args:
        available: Units to divide.
        demands: Reports of the nodes.
    """
    ordered = sorted(demands, key=lambda demand: demand.holder)
    wanted = sum(demand.wanted for demand in ordered)
    if wanted <= available:
        names = tuple(demand.holder for demand in ordered)
        return {
            demand.holder: demand.wanted
            + even_grant(available - wanted, names, demand.holder)
            for demand in ordered
        }
    parts = {d.holder: available * d.wanted // wanted for d in ordered}
    rest = available - sum(parts.values())
    ordered.sort(key=lambda demand: -(available * demand.wanted % wanted))
    for demand in ordered[:rest]:
        parts[demand.holder] += 1
    return parts


def grant_target(record: GrantRecord, need: GrantInputs) -> GrantTarget:
    """Return the part of a team's limit that a node should hold.

    Parts change only when some node lacks units, or when the units left after a
    burst have to be redistributed; a change of demand alone causes no write.

    Args:
        record: Record of the team as last read.
        need: Inputs of the computation.
    """
    held = record.units_granted_to(need.holder)
    available = max(0, need.limit - record.jobs)
    wanted = sum(demand.wanted for demand in need.demands)
    reserve = min(need.jobs, max(0, available - wanted))
    target = divide_limit(available - reserve, need.demands).get(need.holder, 0)
    free = need.limit - record.total
    if free < 0:
        return _after_lowered_limit(held, target, need.running)
    if need.own.missing and target > held:
        return _target_of_units(held + min(target - held, max(0, free - reserve)))
    shortage = reserve + sum(demand.missing for demand in need.demands)
    if shortage > free:
        return _giving_back(held, target, need.running)
    if shortage == 0:
        return _target_of_units(_units_without_shortage(record, need, free, available))
    return _target_of_units(held)


def units_held_at_rest(available: int) -> int:
    """Return how many of the available units nodes hold while none lacks units."""
    return math.ceil(available * (1 - UNASSIGNED_FRACTION))


def _target_of_units(units: int) -> GrantTarget:
    return GrantTarget(units, units)


def _after_lowered_limit(held: int, target: int, running: int) -> GrantTarget:
    # The limit was lowered below the sum of the parts: no node starts work until
    # the parts fit the limit again.
    return GrantTarget(min(held, max(running, target)), 0)


def _giving_back(held: int, target: int, running: int) -> GrantTarget:
    if held - target < _deadband(held):
        return _target_of_units(held)
    return GrantTarget(min(held, max(running, target)), target)


def _units_without_shortage(
    record: GrantRecord, need: GrantInputs, free: int, available: int
) -> int:
    held = record.units_granted_to(need.holder)
    names = tuple(demand.holder for demand in need.demands)
    assignable = units_held_at_rest(available)
    floor = even_grant(assignable, names, need.holder)
    if held < floor:
        return held + max(0, min(floor - held, free))
    kept = max(floor, need.recent, need.running)
    any_below_floor = any(
        record.units_granted_to(name) < even_grant(assignable, names, name)
        for name in names
    )
    if (
        any_below_floor
        and free < available - assignable
        and held - kept >= _deadband(held)
    ):
        return kept
    return held


def _deadband(held: int) -> int:
    return max(1, math.ceil(DEADBAND_FRACTION * held))
