"""The keeper of this node's parts of the teams' limits."""

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
LONGEST_READ_PAUSE_S = 2.0
PEAK_S = 5.0
ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class LimitInForce:
    """A team's limit as this node last saw it.

    Attributes:
        limit: Units.
        lowered_seq: Log position that lowered it last, as far as known here.
    """

    limit: int
    lowered_seq: int = 0


@dataclass(frozen=True, slots=True)
class NodeReport:
    """One line of a node's report.

    Attributes:
        node: Name of the node.
        demand: What it reports.
    """

    node: str
    demand: Demand


@dataclass(frozen=True, slots=True)
class QuietTeam:
    """What a look at a team without demand went by.

    Attributes:
        revision: Revision of the team's record.
        seq: Log position.
        incarnations: The live nodes.
    """

    revision: int
    seq: int
    incarnations: frozenset[str]


class GrantKeeper(Task):
    """Moves parts of the limits to the nodes that are asked, through the store.

    Only this task writes this node's part of a record. ``allowance`` is what
    admission goes by; it reads the clock anew on each call.

    Args:
        store: The platform's store.
        follower: Source of the limits and of this node's standing.
        registrar: Source of the live nodes.
        demands: Returns the latest reports by node name, this node's included.
        clock: Returns monotonic seconds.
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
        self.pauses = ReadBackoff(GRANT_PERIOD_S, LONGEST_READ_PAUSE_S)
        self.quiet: dict[str, QuietTeam | None] = {}
        self.peaks = Peaks(PEAK_S)

    def allowance(self, team: str) -> int:
        """Return the units that a team may run from this node now.

        Args:
            team: Team that asks.
        """
        if not self.may_spend():
            return 0
        ledger = self.records.ledger(team)
        limit = self._limit(team)
        if ledger.record.limit_seq < limit.lowered_seq:
            return 0
        if ledger.record.total > limit.limit:
            return 0
        return min(ledger.spendable, self.caps.get(team, ledger.spendable))

    def ends_by_s(self, team: str) -> float:
        """Return how long work under this node's part may run."""
        return self.records.ledger(team).record.run_time_bound_of(self.records.holder)

    def may_spend(self) -> bool:
        """Tell whether this node may start work on its grants now."""
        return (
            self._own_holder() == self.records.holder and self.follower.has_standing()
        )

    def step(self) -> None:
        """Bring this node's parts in line with the demand."""
        if not self.follower.has_standing():
            return
        try:
            self._check_registration()
            self._read_all_in_time()
            self._settle_all()
            self.reclaimer.step()
        except StoreError:
            self.reclaimer.interrupt()
            raise

    def finish(self) -> None:
        """Give every part back, so that nobody has to wait for this node."""
        holder = self.records.holder
        reports = self.demands().get(self.registrar.entry.name, ())
        # Without the store the others wait for the entry and the bound.
        with contextlib.suppress(HeatherhatchError):
            for team, ledger in list(self.records.ledgers.items()):
                running = sum(item.running for item in reports if item.team == team)
                if ledger.record.units_granted_to(holder) > running:
                    self._write(team, GrantTarget(running, running))

    def _own_holder(self):
        entry = self.registrar.entry
        return holder_of(entry.name, entry.incarnation)

    def _check_registration(self):
        # Under a new incarnation nothing that was known before counts: the
        # others take the old parts back.
        holder = self._own_holder()
        if self.records.holder != holder:
            self.caps = {}
            self.quiet = {}
            self.records.open(holder)

    def _read_all_in_time(self):
        # A node without its even part looks often at first: another one may
        # be about to give it back.
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
        room = units_held_at_rest(self._limit(team).limit - record.jobs)
        members = len(self.registrar.membership.all_members)
        return record.units_granted_to(self.records.holder) < room // members

    def _settle_all(self):
        by_team: dict[str, list[NodeReport]] = {}
        for node, items in self.demands().items():
            for item in items:
                by_team.setdefault(item.team, []).append(NodeReport(node, item))
        now = self.clock()
        entries = self.registrar.membership.all_members
        members = frozenset(entry.incarnation for entry in entries)
        for team in self.follower.config.teams:
            reports = by_team.get(team, [])
            quiet = self._quiet(team, members)
            if not reports and self.quiet.get(team) == quiet:
                # Nothing has moved since the last look, which wrote nothing.
                continue
            need = self._need(team, reports, now)
            if self._is_read_due(team, need, now):
                self.records.read(team)
            self._settle(team, need)
            resting = need.recent == 0 and not self._is_blocked(team)
            self.quiet[team] = self._quiet(team, members) if resting else None

    def _quiet(self, team, members):
        revision = self.records.ledger(team).revision
        return QuietTeam(revision, self.follower.config.seq, members)

    def _settle(self, team, need):
        for _ in range(ATTEMPTS):
            record = self.records.ledger(team).record
            wish = grant_target(record, need)
            self.caps[team] = wish.allowance
            if not self._is_write_due(team, record, wish):
                return
            if self._write(team, wish):
                self.pauses.end(team)
                return

    def _need(self, team, reports, now):
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
        stated = self.follower.config.teams.get(team)
        limit = stated.limit if stated is not None else 0
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

    def _is_read_due(self, team, need, now):
        if not need.lacking and not self._is_blocked(team):
            self.pauses.end(team)
            return False
        lacking = frozenset(item.holder for item in need.demands if item.missing)
        return self.pauses.is_due(team, lacking, now)

    def _is_write_due(self, team, record, wish):
        held = record.units_granted_to(self.records.holder)
        if wish.units != held:
            return True
        if record.limit_seq < self._limit(team).lowered_seq:
            return True
        return (
            held > 0 and record.run_time_bound_of(self.records.holder) < self._bound_s()
        )

    def _bound_s(self):
        classes = self.follower.config.classes.values()
        bounds = (c.target_s for c in classes if c.kind is WorkKind.REQUEST)
        return max(bounds, default=0.0)

    def _write(self, team, wish):
        config = self.follower.config
        part = NodeGrant(wish.units, self._bound_s())
        known = self.records.ledger(team).record
        limit = self._limit(team).limit
        try:
            record = with_node(known, self.records.holder, part, limit, config.seq)
        except HeatherhatchError:
            # A node that knows a later limit was here; the log comes first.
            return True
        return self.records.write(record)
