"""The keeper of this node's parts of the teams' limits."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.absence import AbsenceWatch
from heatherhatch_core.coordination.grant_ledger import SETTLED, GrantLedger
from heatherhatch_core.coordination.grants import (
    GrantNeed,
    GrantWish,
    NodeDemand,
    rest_room,
    wish_of,
)
from heatherhatch_core.coordination.peaks import Peaks
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import WorkKind
from heatherhatch_core.state.grants import (
    GRANTS_PREFIX,
    GrantRecord,
    NodeGrant,
    grant_key,
    holder_of,
    with_node,
    without_node,
)
from heatherhatch_core.state.nodes import NodeEntry

from ..events import Event, log
from ..transport.store import Expect, Put, Store, Transaction
from .follower import Follower
from .registrar import MEMBER_PREFIX, Registrar
from .task import Task

GRANT_PERIOD_S = 0.25
REFRESH_S = 10.0
LONGEST_READ_PAUSE_S = 2.0
RECLAIM_STAGGER_S = 0.5
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
class ReadPause:
    """How often a record is read while somebody lacks units.

    Attributes:
        until_s: No read before this time, monotonic seconds.
        pause_s: Present pause, which grows while nothing comes of reading.
        lacking: Who lacked units at the last read.
    """

    until_s: float = 0.0
    pause_s: float = GRANT_PERIOD_S
    lacking: frozenset[str] = frozenset()


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
        self.store = store
        self.follower = follower
        self.registrar = registrar
        self.demands = demands
        self.holder = ""
        self.read_s = float("-inf")
        self.refresh_s = GRANT_PERIOD_S
        self.starved: frozenset[str] = frozenset()
        self.ledgers: dict[str, GrantLedger] = {}
        self.caps: dict[str, int] = {}
        self.limits: dict[str, LimitInForce] = {}
        self.pauses: dict[str, ReadPause] = {}
        self.quiet: dict[str, QuietTeam | None] = {}
        self.peaks = Peaks(PEAK_S)
        self.absence = AbsenceWatch(follower.standing.margin_s)

    def allowance(self, team: str) -> int:
        """Return the units that a team may run from this node now.

        Args:
            team: Team that asks.
        """
        ledger = self.ledgers.get(team)
        if ledger is None or not self.may_spend():
            return 0
        limit = self._limit(team)
        if ledger.record.limit_seq < limit.lowered_seq:
            return 0
        if ledger.record.total > limit.limit:
            return 0
        return min(ledger.spendable, self.caps.get(team, ledger.spendable))

    def ends_by_s(self, team: str) -> float:
        """Return how long work under this node's part may run."""
        ledger = self.ledgers.get(team)
        return ledger.record.ends_by_of(self.holder) if ledger else 0.0

    def may_spend(self) -> bool:
        """Tell whether this node may start work on its grants now."""
        return self._own_holder() == self.holder and self.follower.has_standing()

    def may_reclaim(self) -> bool:
        """Tell whether absence from the registry means anything now.

        After an outage one standing period has to pass before it does.
        """
        return self.follower.may_accept()

    def step(self) -> None:
        """Bring this node's parts in line with the demand."""
        if not self.follower.has_standing():
            return
        try:
            self._check_registration()
            self._read_all_in_time()
            self._settle_all()
            self._reclaim()
        except StoreError:
            self.absence = self.absence.interrupted()
            raise

    def finish(self) -> None:
        """Give every part back, so that nobody has to wait for this node."""
        if not self.holder:
            return
        reports = self.demands().get(self.registrar.entry.name, ())
        try:
            for team, ledger in list(self.ledgers.items()):
                running = sum(item.running for item in reports if item.team == team)
                if ledger.record.units_of(self.holder) > running:
                    self._write(team, GrantWish(running, running))
        except HeatherhatchError:
            # The others wait for the lease and the bound instead.
            return

    def _own_holder(self):
        entry = self.registrar.entry
        return holder_of(entry.name, entry.incarnation)

    def _check_registration(self):
        # Under a new incarnation nothing that was known before counts: the
        # others take the old parts back.
        if self.holder != self._own_holder():
            self.holder = ""
            self.ledgers = {}
            self.caps = {}
            holder = self._own_holder()
            self._read_all(holder)
            self.holder = holder

    def _read_all_in_time(self):
        # A node without its even part looks often at first: another one may
        # be about to give it back.
        starved = frozenset(team for team in self.ledgers if self._is_starved(team))
        if starved != self.starved:
            self.starved = starved
            self.refresh_s = GRANT_PERIOD_S if starved else REFRESH_S
        if self.clock() - self.read_s >= self.refresh_s:
            self._read_all(self.holder)
            self.refresh_s = min(2 * self.refresh_s, REFRESH_S)

    def _is_starved(self, team):
        record = self.ledgers[team].record
        room = rest_room(self._limit(team).limit - record.jobs)
        return record.units_of(self.holder) < room // max(
            1, len(self.registrar.membership.everyone)
        )

    def _read_all(self, holder):
        asked = self.clock()
        snapshot = self.store.range(GRANTS_PREFIX)
        for entry in snapshot.entries:
            record = decode_json(entry.value, GrantRecord)
            known = self.ledgers.get(record.team)
            ledger = known or GrantLedger(holder, GrantRecord(record.team))
            ledger = ledger.seen(record, entry.revision)
            self.ledgers[record.team] = ledger
        self.read_s = asked

    def _read(self, team):
        entry = self.store.get(grant_key(team))
        ledger = self._ledger(team)
        if entry is not None:
            record = decode_json(entry.value, GrantRecord)
            ledger = ledger.seen(record, entry.revision)
        self.ledgers[team] = ledger

    def _ledger(self, team):
        ledger = self.ledgers.get(team)
        if ledger is None:
            return GrantLedger(self.holder, GrantRecord(team))
        return ledger

    def _settle_all(self):
        by_team: dict[str, list[NodeReport]] = {}
        for node, items in self.demands().items():
            for item in items:
                by_team.setdefault(item.team, []).append(NodeReport(node, item))
        now = self.clock()
        entries = self.registrar.membership.everyone
        members = frozenset(entry.incarnation for entry in entries)
        for team in self.follower.config.teams:
            reports = by_team.get(team, [])
            quiet = self._quiet(team, members)
            if not reports and self.quiet.get(team) == quiet:
                # Nothing has moved since the last look, which wrote nothing.
                continue
            need = self._need(team, reports, now)
            if self._is_read_due(team, need, now):
                self._read(team)
            self._settle(team, need)
            resting = need.recent == 0 and team not in self.pauses
            self.quiet[team] = self._quiet(team, members) if resting else None

    def _quiet(self, team, members):
        revision = self._ledger(team).revision
        return QuietTeam(revision, self.follower.config.seq, members)

    def _settle(self, team, need):
        for _ in range(ATTEMPTS):
            record = self._ledger(team).record
            wish = wish_of(record, need)
            self.caps[team] = wish.allowance
            if not self._is_write_due(team, record, wish):
                return
            if self._write(team, wish):
                self.pauses.pop(team, None)
                return

    def _need(self, team, reports, now):
        demands = []
        jobs = 0
        running = 0
        for entry in self.registrar.membership.everyone:
            items = [report.demand for report in reports if report.node == entry.name]
            holder = holder_of(entry.name, entry.incarnation)
            wanted = sum(item.wanted for item in items)
            missing = sum(item.missing for item in items)
            demands.append(NodeDemand(holder, wanted, missing))
            jobs = max(jobs, sum(item.jobs for item in items))
            if holder == self.holder:
                running = sum(item.running for item in items)
                self.peaks.add(team, wanted, now)
        recent = self.peaks.of(team, now)
        limit = self._limit(team).limit
        return GrantNeed(self.holder, limit, running, recent, tuple(demands), jobs)

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

    def _is_read_due(self, team, need, now):
        ledger = self._ledger(team)
        limit = self._limit(team)
        blocked = (
            ledger.unsettled != SETTLED
            or ledger.record.total > limit.limit
            or ledger.record.limit_seq < limit.lowered_seq
        )
        if not need.lacking and not blocked:
            self.pauses.pop(team, None)
            return False
        lacking = frozenset(item.holder for item in need.demands if item.missing)
        pause = self.pauses.get(team, ReadPause(lacking=lacking))
        if lacking != pause.lacking:
            pause = ReadPause(lacking=lacking)
        if now < pause.until_s:
            return False
        longer = min(2 * pause.pause_s, LONGEST_READ_PAUSE_S)
        self.pauses[team] = ReadPause(now + pause.pause_s, longer, lacking)
        return True

    def _is_write_due(self, team, record, wish):
        held = record.units_of(self.holder)
        if wish.units != held:
            return True
        if record.limit_seq < self._limit(team).lowered_seq:
            return True
        return held > 0 and record.ends_by_of(self.holder) < self._bound_s()

    def _bound_s(self):
        classes = self.follower.config.classes.values()
        bounds = (c.target_s for c in classes if c.kind is WorkKind.REQUEST)
        return max(bounds, default=0.0)

    def _write(self, team, wish):
        ledger = self._ledger(team)
        config = self.follower.config
        part = NodeGrant(wish.units, self._bound_s())
        limit = self._limit(team).limit
        try:
            record = with_node(ledger.record, self.holder, part, limit, config.seq)
        except HeatherhatchError:
            # A node that knows a later limit was here; the log comes first.
            return True
        return self._commit(team, ledger, record, ())

    def _commit(self, team, ledger, record, expects):
        key = grant_key(team)
        transaction = Transaction(
            (Expect(key, ledger.revision), *expects), (Put(key, encode_json(record)),)
        )
        self.ledgers[team] = ledger.writing(record)
        try:
            outcome = self.store.transact(transaction)
        except StoreError as error:
            if not error.maybe_applied:
                self.ledgers[team] = ledger
                raise
            # The answer is lost: what the store holds says what happened.
            self._read(team)
            return False
        if outcome.succeeded:
            self.ledgers[team] = self.ledgers[team].seen(record, outcome.revision)
            return True
        self.ledgers[team] = self.ledgers[team].refused()
        self._read(team)
        return False

    def _reclaim(self):
        holders = {
            holder
            for ledger in self.ledgers.values()
            for holder, part in ledger.record.nodes.items()
        }
        members = self.registrar.membership.everyone
        live = {holder_of(entry.name, entry.incarnation) for entry in members}
        if not self.may_reclaim():
            self.absence = self.absence.interrupted()
            return
        now = self.clock()
        self.absence = self.absence.observe(holders, live, now)
        # The nodes take turns, so that they don't all write the same.
        turn_s = RECLAIM_STAGGER_S * sorted(live).index(self.holder)
        for team, ledger in list(self.ledgers.items()):
            for holder, part in ledger.record.nodes.items():
                if self.absence.over(holder, part.ends_by_s, now - turn_s):
                    self._take_back(team, holder)

    def _take_back(self, team, holder):
        name, _, _ = holder.partition("/")
        entry = self.store.get(MEMBER_PREFIX + name)
        if entry is not None and _is_entry_of(entry.value, holder):
            return
        # If the node registers again at this moment, the condition on its
        # entry fails; if it does so later, it reads its part as gone.
        revision = entry.revision if entry is not None else 0
        expect = Expect(MEMBER_PREFIX + name, revision)
        ledger = self._ledger(team)
        record = without_node(ledger.record, holder)
        if self._commit(team, ledger, record, (expect,)):
            log(Event.GRANT_RECLAIMED, team=team, holder=holder)


def _is_entry_of(value, holder):
    entry = decode_json(value, NodeEntry)
    return holder_of(entry.name, entry.incarnation) == holder
