"""Records of how each team's limit is divided into grants for nodes and jobs."""

import dataclasses
from dataclasses import dataclass, field

from ..exceptions import ErrorKind, HeatherhatchError

GRANTS_PREFIX = "grants/"


def grant_key(team: str) -> str:
    """Return the store key of a team's grant record."""
    return GRANTS_PREFIX + team


def holder_of(node: str, incarnation: str) -> str:
    """Return the name under which one incarnation of a node holds grants."""
    return f"{node}/{incarnation}"


@dataclass(frozen=True, slots=True)
class NodeGrant:
    """The part of a team's limit that is granted to one node incarnation.

    Attributes:
        units: Maximum number of units that run at the same time, started from
            that node.
        ends_by_s: Upper bound on the run time of work started under this grant,
            seconds. It is a duration, not a time of day, so that no node depends
            on the clock of another node.
    """

    units: int
    ends_by_s: float


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """How a team's limit is divided; the store has one record per team.

    The grants add up to at most the limit, except right after the limit was
    lowered below the units in use. In that case nothing starts until they fit
    into the limit again.

    Attributes:
        team: Name of the team.
        limit_seq: Latest log position whose limit a writer has applied. A writer
            that knows only an older limit must not add units.
        nodes: Grants of the nodes, by holder.
        jobs: Units of the running long jobs.
    """

    team: str
    limit_seq: int = 0
    nodes: dict[str, NodeGrant] = field(default_factory=dict)
    jobs: int = 0

    @property
    def total(self) -> int:
        """Units granted to nodes and to long jobs together."""
        return self.jobs + sum(grant.units for grant in self.nodes.values())

    def units_granted_to(self, holder: str) -> int:
        """Return the units granted to a holder, 0 if it has no grant."""
        grant = self.nodes.get(holder)
        return grant.units if grant is not None else 0

    def run_time_bound_of(self, holder: str) -> float:
        """Return the run time bound of a holder's work, 0 if it has no grant."""
        grant = self.nodes.get(holder)
        return grant.ends_by_s if grant is not None else 0.0


def with_jobs(
    record: GrantRecord, delta: int, limit: int, limit_seq: int | None = None
) -> GrantRecord:
    """Return the record after long jobs have started or ended.

    The caller writes it in the transaction that starts or ends the jobs, on the
    condition that the record has not changed since it was read.

    Args:
        record: Record as it was read, or a new one if the store has none.
        delta: Units to add; negative when jobs end.
        limit: The team's limit in the writer's configuration.
        limit_seq: Position of that configuration in the log.

    Raises:
        HeatherhatchError: ``LIMIT_REACHED`` if not enough units are free, or if
            the record was written with a later configuration.
    """
    updated = dataclasses.replace(record, jobs=max(0, record.jobs + delta))
    if delta > 0:
        _check_limit(record, updated, limit, limit_seq)
    return _with_limit_seq(updated, limit_seq)


def with_node(
    record: GrantRecord,
    holder: str,
    grant: NodeGrant,
    limit: int,
    limit_seq: int,
) -> GrantRecord:
    """Return the record after a node has changed its own grant.

    Args:
        record: Record as it was read, or a new one if the store has none.
        holder: Holder name of the calling node; no other node changes this grant.
        grant: New grant. The recorded ``ends_by_s`` is never lowered, since work
            started under the previous grant may still run.
        limit: The team's limit in the writer's configuration.
        limit_seq: Position of that configuration in the log.

    Raises:
        HeatherhatchError: ``LIMIT_REACHED`` if a larger grant does not fit into
            the limit, or if the record was written with a later configuration.
    """
    ends_by_s = max(grant.ends_by_s, record.run_time_bound_of(holder))
    nodes = {**record.nodes, holder: NodeGrant(grant.units, ends_by_s)}
    changed = dataclasses.replace(record, nodes=nodes)
    if grant.units > record.units_granted_to(holder):
        _check_limit(record, changed, limit, limit_seq)
    return _with_limit_seq(changed, limit_seq)


def without_node(record: GrantRecord, holder: str) -> GrantRecord:
    """Return the record without the grant of a holder that no longer exists."""
    nodes = {name: grant for name, grant in record.nodes.items() if name != holder}
    return dataclasses.replace(record, nodes=nodes)


def _check_limit(record, updated, limit, limit_seq):
    if limit_seq is not None and limit_seq < record.limit_seq:
        detail = f"limit at position {limit_seq} is older than {record.limit_seq}"
        raise HeatherhatchError(ErrorKind.LIMIT_REACHED, detail)
    if updated.total > limit:
        detail = (
            f"team {record.team!r}: {updated.total} units exceed the limit of {limit}"
        )
        raise HeatherhatchError(ErrorKind.LIMIT_REACHED, detail)


def _with_limit_seq(record, limit_seq):
    if limit_seq is None or limit_seq <= record.limit_seq:
        return record
    return dataclasses.replace(record, limit_seq=limit_seq)
