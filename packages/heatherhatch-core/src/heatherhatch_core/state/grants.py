"""Grants: who may spend which part of a team's limit, as the store records it."""

import dataclasses
from dataclasses import dataclass, field

from ..exceptions import ErrorKind, HeatherhatchError

GRANTS_PREFIX = "grants/"


def grant_key(team: str) -> str:
    """Return the store key of a team's record."""
    return GRANTS_PREFIX + team


def holder_of(node: str, incarnation: str) -> str:
    """Return the name under which one start of a node holds grants."""
    return f"{node}/{incarnation}"


@dataclass(frozen=True, slots=True)
class NodeGrant:
    """The part of a limit that one node incarnation may spend.

    Attributes:
        units: Units that may run at once, started from that node.
        ends_by_s: Seconds after its start by which work started under this
            part has ended for certain. It is a span, not a time of day, so
            that no node has to trust another one's clock.
    """

    units: int
    ends_by_s: float


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """How a team's limit is divided; one record in the store per team.

    The parts add up to the limit at most, except right after the limit was
    lowered below what runs: then nothing starts until they do again.

    Attributes:
        team: Team whose limit it is.
        limit_seq: Latest log position whose limit a writer has gone by. A
            writer that knows an older limit must not add units.
        nodes: Parts of the nodes, by holder.
        jobs: Units of the long jobs that run.
    """

    team: str
    limit_seq: int = 0
    nodes: dict[str, NodeGrant] = field(default_factory=dict)
    jobs: int = 0

    @property
    def total(self) -> int:
        """Units that are given out."""
        return self.jobs + sum(part.units for part in self.nodes.values())

    def units_of(self, holder: str) -> int:
        """Return the part of a holder, 0 if it has none."""
        part = self.nodes.get(holder)
        return part.units if part is not None else 0

    def ends_by_of(self, holder: str) -> float:
        """Return how long work of a holder may run, 0 if it has no part."""
        part = self.nodes.get(holder)
        return part.ends_by_s if part is not None else 0.0


def with_jobs(
    record: GrantRecord, delta: int, limit: int, limit_seq: int | None = None
) -> GrantRecord:
    """Return the record after long jobs have started or ended.

    Write it in the transaction that starts or ends the jobs, under the
    condition that the record has not changed since it was read.

    Args:
        record: Record as it was read; a new one if there is none.
        delta: Units to add, negative when jobs end.
        limit: The team's limit in the writer's configuration.
        limit_seq: Position of that configuration in the log.

    Raises:
        HeatherhatchError: ``LIMIT_REACHED`` if no units are free, or a writer
            with a later configuration was here first.
    """
    grown = dataclasses.replace(record, jobs=max(0, record.jobs + delta))
    if delta > 0:
        _check_room(record, grown, limit, limit_seq)
    return _stamped(grown, limit_seq)


def with_node(
    record: GrantRecord,
    holder: str,
    part: NodeGrant,
    limit: int,
    limit_seq: int,
) -> GrantRecord:
    """Return the record after a node has changed its own part.

    Args:
        record: Record as it was read; a new one if there is none.
        holder: The node itself; nobody else changes its part.
        part: New part. Its ``ends_by_s`` never falls below the recorded one,
            since older work may still run.
        limit: The team's limit in the writer's configuration.
        limit_seq: Position of that configuration in the log.

    Raises:
        HeatherhatchError: ``LIMIT_REACHED`` if a larger part has no room, or a
            writer with a later configuration was here first.
    """
    ends_by_s = max(part.ends_by_s, record.ends_by_of(holder))
    nodes = {**record.nodes, holder: NodeGrant(part.units, ends_by_s)}
    changed = dataclasses.replace(record, nodes=nodes)
    if part.units > record.units_of(holder):
        _check_room(record, changed, limit, limit_seq)
    return _stamped(changed, limit_seq)


def without_node(record: GrantRecord, holder: str) -> GrantRecord:
    """Return the record after the part of a holder that is gone came back."""
    nodes = {name: part for name, part in record.nodes.items() if name != holder}
    return dataclasses.replace(record, nodes=nodes)


def _check_room(record, grown, limit, limit_seq):
    if limit_seq is not None and limit_seq < record.limit_seq:
        detail = f"limit of position {limit_seq} is older than {record.limit_seq}"
        raise HeatherhatchError(ErrorKind.LIMIT_REACHED, detail)
    if grown.total > limit:
        detail = f"team {record.team!r}: {grown.total} units of {limit}"
        raise HeatherhatchError(ErrorKind.LIMIT_REACHED, detail)


def _stamped(record, limit_seq):
    if limit_seq is None or limit_seq <= record.limit_seq:
        return record
    return dataclasses.replace(record, limit_seq=limit_seq)
