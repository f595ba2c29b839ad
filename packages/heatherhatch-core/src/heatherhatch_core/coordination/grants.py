"""Grants: how much of a team's limit one node may spend."""

import math
from dataclasses import dataclass

from ..state.grants import GrantRecord

# Parts move only by more than this share of what a node holds, so that the
# noise of demand does not become writes to the store.
DEADBAND = 0.04
# What stays free in the record at rest, for the first node or long job to ask.
FREE_AT_REST = 0.25


@dataclass(frozen=True, slots=True)
class NodeDemand:
    """What one node's callers ask of one team's limit.

    Attributes:
        holder: Node incarnation.
        wanted: Units that run or wait there.
        missing: Units that wait there because its part is too small.
    """

    holder: str
    wanted: int
    missing: int = 0


@dataclass(frozen=True, slots=True)
class GrantNeed:
    """What a node goes by when it decides on its own part of a limit.

    Attributes:
        holder: The node itself.
        limit: The team's limit in the node's configuration.
        running: Units that the node runs.
        recent: Most units that it ran or held waiting in the last seconds.
        demands: Reports of all live nodes, its own included.
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
        """The node's own report."""
        for demand in self.demands:
            if demand.holder == self.holder:
                return demand
        return NodeDemand(self.holder, self.running)

    @property
    def lacking(self) -> bool:
        """True if requests wait at some node for a larger part."""
        return any(demand.missing for demand in self.demands)


@dataclass(frozen=True, slots=True)
class GrantWish:
    """What a node should hold.

    Attributes:
        units: Part to have in the record; never below what the node runs, or
            what it holds already if that is less.
        allowance: Units up to which it starts work meanwhile; below ``units``
            while it makes room for others.
    """

    units: int
    allowance: int


def even_grant(limit: int, nodes: tuple[str, ...], node: str) -> int:
    """Return a node's part of a limit that is divided evenly.

    The remainder goes to the first nodes by name, so that the parts of all
    nodes add up to the limit.

    Args:
        limit: Units that may run over the whole fleet.
        nodes: Names of all nodes, the asking one included.
        node: Name of the asking node.
    """
    ordered = sorted(nodes)
    if node not in ordered:
        return 0
    part, rest = divmod(limit, len(ordered))
    return part + (ordered.index(node) < rest)


def divide_limit(room: int, demands: tuple[NodeDemand, ...]) -> dict[str, int]:
    """Return the part of each node when demand decides.

    Every node gets what it asks and an even part of the rest; if the room is
    too small, parts follow the demand. The result does not depend on the order
    of the reports and adds up to the room.

    Args:
        room: Units to divide.
        demands: Reports of the nodes.
    """
    ordered = sorted(demands, key=lambda demand: demand.holder)
    wanted = sum(demand.wanted for demand in ordered)
    if wanted <= room:
        names = tuple(demand.holder for demand in ordered)
        return {
            demand.holder: demand.wanted
            + even_grant(room - wanted, names, demand.holder)
            for demand in ordered
        }
    parts = {d.holder: room * d.wanted // wanted for d in ordered}
    rest = room - sum(parts.values())
    ordered.sort(key=lambda demand: -(room * demand.wanted % wanted))
    for demand in ordered[:rest]:
        parts[demand.holder] += 1
    return parts


def wish_of(record: GrantRecord, need: GrantNeed) -> GrantWish:
    """Return what a node should hold of a team's limit.

    Parts move only when some node lacks units, or when the rest after a burst
    has to be spread again; a change of demand alone writes nothing.

    Args:
        record: Record of the team as last read.
        need: What the node goes by.
    """
    held = record.units_of(need.holder)
    room = max(0, need.limit - record.jobs)
    asked = sum(demand.wanted for demand in need.demands)
    reserve = min(need.jobs, max(0, room - asked))
    target = divide_limit(room - reserve, need.demands).get(need.holder, 0)
    free = need.limit - record.total
    if free < 0:
        return _lowered(held, target, need.running)
    if need.own.missing and target > held:
        return _even(held + min(target - held, max(0, free - reserve)))
    lack = reserve + sum(demand.missing for demand in need.demands)
    if lack > free:
        return _made_room(held, target, need.running)
    if lack == 0:
        return _even(_at_rest(record, need, free, room))
    return _even(held)


def rest_room(room: int) -> int:
    """Return the units that nodes hold at rest out of a room."""
    return math.ceil(room * (1 - FREE_AT_REST))


def _even(units: int) -> GrantWish:
    return GrantWish(units, units)


def _lowered(held: int, target: int, running: int) -> GrantWish:
    # The limit was lowered below the sum of the parts: nobody starts anything
    # until all have let go.
    return GrantWish(min(held, max(running, target)), 0)


def _made_room(held: int, target: int, running: int) -> GrantWish:
    if held - target < _deadband(held):
        return _even(held)
    return GrantWish(min(held, max(running, target)), target)


def _at_rest(record: GrantRecord, need: GrantNeed, free: int, room: int) -> int:
    held = record.units_of(need.holder)
    names = tuple(demand.holder for demand in need.demands)
    parted = rest_room(room)
    floor = even_grant(parted, names, need.holder)
    if held < floor:
        return held + max(0, min(floor - held, free))
    keep = max(floor, need.recent, need.running)
    crowded = any(
        record.units_of(name) < even_grant(parted, names, name) for name in names
    )
    if crowded and free < room - parted and held - keep >= _deadband(held):
        return keep
    return held


def _deadband(held: int) -> int:
    return max(1, math.ceil(DEADBAND * held))
