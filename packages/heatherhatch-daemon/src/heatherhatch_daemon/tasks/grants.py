"""Parts of the teams' limits that this node holds."""

import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from heatherhatch_core.coordination.grant_ledger import NO_UNSETTLED_WRITE
from heatherhatch_core.coordination.grants import (
    GrantInputs,
    GrantTarget,
    NodeDemand,
    grant_target,
    units_held_at_rest,
)
from heatherhatch_core.coordination.peaks import Peaks
from heatherhatch_core.coordination.read_backoff import ReadBackoff
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import WorkKind
from heatherhatch_core.state.grants import NodeGrant, holder_of, with_node

from ..transport.store import Store
from .follower import Follower
from .grant_records import GrantRecords
from .reclaimer import Reclaimer
from .registrar import Registrar
from .task import Task

GRANT_PERIOD_S = 0.25
REFRESH_S = 10.0
MAX_READ_BACKOFF_S = 2.0
PEAK_PERIOD_S = 5.0
MAX_WRITE_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class LimitInForce:
    """A team's limit as this node last saw it in the configuration.

    Attributes:
        limit: Units that the team may use in the whole fleet.
        lowered_seq: Log position at which this node last saw the limit lowered,
            0 if it has not.
    """

    limit: int
    lowered_seq: int = 0


@dataclass(frozen=True, slots=True)
class NodeReport:
    """The demand of one team as one node reports it.

    Attributes:
        node: Name of the node.
        demand: Reported demand.
    """

    node: str
    demand: Demand


@dataclass(frozen=True, slots=True)
class IdleState:
    """Inputs of the last update of a team without demand.

    Attributes:
        revision: Revision of the team's record.
        seq: Log position in force.
        incarnations: Incarnations of the members.
    """

    revision: int
    seq: int
    incarnations: frozenset[str]


class TeamGrants(Task):
    """Moves parts of the limits through the store to the nodes with demand.

    Only this task writes this node's part of a record. Admission starts work up to
    ``allowance``, which reads the clock on every call.

    Args:
        store: The platform's store.
        follower: Source of the limits and of this node's standing.
        registrar: Source of the members.
        demands: Returns the latest reports by node name, including this node's.
        clock: Returns monotonic seconds.

    Attributes:
        records: Grant records of the teams.
        reclaimer: Reclaims the parts of nodes that have left.
        refresh_s: Seconds between two reads of all records.
        starved: Teams of which this node holds less than an even part.
        caps: Units up to which this node starts work, by team.
        limits: Limits as last seen in the configuration, by team.
        read_backoff: Backoff between reads of a single record.
        idle_states: Inputs of the last update that found nothing to do, by team;
            None if the team is not idle.
        peaks: Recent peaks of the demand at this node, by team.
    """

    def __init__(
        self,
        store: Store,
        follower: Follower,
        registrar: Registrar,
        demands: Callable[[], Mapping[str, tuple[Demand, ...]]],
        clock: Callable[[], float],
    ):
        super().__init__("grant-keeper", GRANT_PERIOD_S, clock)
        self.follower = follower
        self.registrar = registrar
        self.demands = demands
        self.records = GrantRecords(store, clock)
        self.reclaimer = Reclaimer(self.records, follower, registrar, clock)
        self.refresh_s = GRANT_PERIOD_S
        self.starved: frozenset[str] = frozenset()
        self.caps: dict[str, int] = {}
        self.limits: dict[str, LimitInForce] = {}
        self.read_backoff = ReadBackoff(GRANT_PERIOD_S, MAX_READ_BACKOFF_S)
        self.idle_states: dict[str, IdleState | None] = {}
        self.peaks = Peaks(PEAK_PERIOD_S)

    def allowance(self, team: str) -> int:
        """Return the units that a team may run from this node now.

        Args:
            team: Name of the team.
        """
        if not self.may_start_work():
            return 0
        ledger = self.records.ledger(team)
        limit = self._limit(team)
        if ledger.record.limit_seq < limit.lowered_seq:
            return 0
        if ledger.record.total > limit.limit:
            return 0
        return min(ledger.spendable, self.caps.get(team, ledger.spendable))

    def run_time_bound_s(self, team: str) -> float:
        """Return the time for which work under this node's part may run, seconds."""
        return self.records.ledger(team).record.run_time_bound_of(self.records.holder)

    def may_start_work(self) -> bool:
        """Return whether this node may start work under its grants now."""
        return (
            self._own_holder() == self.records.holder and self.follower.has_standing()
        )

    def step(self) -> None:
        """Adjust this node's parts to the demand."""
        if not self.follower.has_standing():
            return
        try:
            self._check_registration()
            self._read_all_if_due()
            self._update_all_parts()
            self.reclaimer.step()
        except StoreError:
            self.reclaimer.reset()
            raise

    def finish(self) -> None:
        """Give back every unused unit, so that no other node waits for this one."""
        holder = self.records.holder
        reports = self.demands().get(self.registrar.entry.name, ())
        # If the store cannot be reached, the other nodes reclaim the parts once
        # this node's entry is gone and the run time bound has passed.
        with contextlib.suppress(HeatherhatchError):
            for team, ledger in list(self.records.ledgers.items()):
                running = sum(item.running for item in reports if item.team == team)
                if ledger.record.units_granted_to(holder) > running:
                    self._write(team, GrantTarget(running, running))

    def _own_holder(self):
        entry = self.registrar.entry
        return holder_of(entry.name, entry.incarnation)

    def _check_registration(self):
        # Under a new incarnation the earlier state is not valid: other nodes
        # reclaim the parts of the earlier incarnation.
        holder = self._own_holder()
        if self.records.holder != holder:
            self.caps = {}
            self.idle_states = {}
            self.records.open(holder)

    def _read_all_if_due(self):
        # A node that holds less than its even part reads often at first, because
        # another node may be about to give units back.
        starved = frozenset(
            team for team in self.records.ledgers if self._is_starved(team)
        )
        if starved != self.starved:
            self.starved = starved
            self.refresh_s = GRANT_PERIOD_S if starved else REFRESH_S
        if self.clock() - self.records.read_s >= self.refresh_s:
            self.records.read_all()
            self.refresh_s = min(2 * self.refresh_s, REFRESH_S)

    def _is_starved(self, team):
        record = self.records.ledger(team).record
        units = units_held_at_rest(self._limit(team).limit - record.jobs)
        members = len(self.registrar.membership.all_members)
        return record.units_granted_to(self.records.holder) < units // members

    def _update_all_parts(self):
        by_team: dict[str, list[NodeReport]] = {}
        for node, items in self.demands().items():
            for item in items:
                by_team.setdefault(item.team, []).append(NodeReport(node, item))
        now = self.clock()
        entries = self.registrar.membership.all_members
        members = frozenset(entry.incarnation for entry in entries)
        for team in self.follower.config.teams:
            reports = by_team.get(team, [])
            idle_state = self._idle_state(team, members)
            if not reports and self.idle_states.get(team) == idle_state:
                # Nothing has changed since the last update, which wrote nothing.
                continue
            inputs = self._inputs(team, reports, now)
            if self._is_read_due(team, inputs, now):
                self.records.read(team)
            self._update_part(team, inputs)
            is_idle = inputs.recent == 0 and not self._is_blocked(team)
            self.idle_states[team] = (
                self._idle_state(team, members) if is_idle else None
            )

    def _idle_state(self, team, members):
        revision = self.records.ledger(team).revision
        return IdleState(revision, self.follower.config.seq, members)

    def _update_part(self, team, inputs):
        for _ in range(MAX_WRITE_ATTEMPTS):
            record = self.records.ledger(team).record
            target = grant_target(record, inputs)
            self.caps[team] = target.allowance
            if not self._is_write_due(team, record, target):
                return
            if self._write(team, target):
                self.read_backoff.end(team)
                return

    def _inputs(self, team, reports, now):
        demands = []
        jobs = 0
        running = 0
        for entry in self.registrar.membership.all_members:
            items = [report.demand for report in reports if report.node == entry.name]
            holder = holder_of(entry.name, entry.incarnation)
            wanted = sum(item.wanted for item in items)
            missing = sum(item.missing for item in items)
            demands.append(NodeDemand(holder, wanted, missing))
            jobs = max(jobs, sum(item.jobs for item in items))
            if holder == self.records.holder:
                running = sum(item.running for item in items)
                self.peaks.add(team, wanted, now)
        recent = self.peaks.of(team, now)
        limit = self._limit(team).limit
        return GrantInputs(
            self.records.holder, limit, running, recent, tuple(demands), jobs
        )

    def _limit(self, team):
        known = self.limits.get(team)
        configured = self.follower.config.teams.get(team)
        limit = configured.limit if configured is not None else 0
        if known is not None and known.limit == limit:
            return known
        seq = known.lowered_seq if known is not None else 0
        if known is not None and limit < known.limit:
            seq = self.follower.config.seq
        self.limits[team] = LimitInForce(limit, seq)
        return self.limits[team]

    def _is_blocked(self, team):
        ledger = self.records.ledger(team)
        limit = self._limit(team)
        return (
            ledger.unsettled != NO_UNSETTLED_WRITE
            or ledger.record.total > limit.limit
            or ledger.record.limit_seq < limit.lowered_seq
        )

    def _is_read_due(self, team, inputs, now):
        if not inputs.lacking and not self._is_blocked(team):
            self.read_backoff.end(team)
            return False
        lacking = frozenset(item.holder for item in inputs.demands if item.missing)
        return self.read_backoff.is_due(team, lacking, now)

    def _is_write_due(self, team, record, target):
        held = record.units_granted_to(self.records.holder)
        if target.units != held:
            return True
        if record.limit_seq < self._limit(team).lowered_seq:
            return True
        return (
            held > 0
            and record.run_time_bound_of(self.records.holder) < self._longest_target_s()
        )

    def _longest_target_s(self):
        classes = self.follower.config.classes.values()
        bounds = (c.target_s for c in classes if c.kind is WorkKind.REQUEST)
        return max(bounds, default=0.0)

    def _write(self, team, target):
        config = self.follower.config
        part = NodeGrant(target.units, self._longest_target_s())
        known = self.records.ledger(team).record
        limit = self._limit(team).limit
        try:
            record = with_node(known, self.records.holder, part, limit, config.seq)
        except HeatherhatchError:
            # A node that knows a later limit has written the record. This node
            # has to read the log before it writes.
            return True
        return self.records.write(record)
