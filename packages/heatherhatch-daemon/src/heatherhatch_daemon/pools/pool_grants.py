"""Divides each team's limit among the pools, by records in the store."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.limit_claims import limited_part
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.coordination.scheduler.limit_waits import LimitedStep
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Put, Transaction
from .fleet_records import EMPTY_PART, Grant
from .grant_changes import with_lasting, with_part, without_parts
from .keys import GRANT_PREFIX, grant_key
from .left_parts import LeftParts, unclaimed
from .limit_turns import LimitTurns
from .limit_wait_log import LimitWaitLog
from .part_targets import LimitUse, PartTargets
from .record_watchers import PlanWatcher


@dataclass(frozen=True, slots=True)
class UnconfirmedPart:
    """The smallest part that writes without an answer may have stored.

    Attributes:
        revision: Revision of the grant that these writes would replace. None of them
            can be applied any more once the stored grant has a later one.
        part: Smallest part in each dimension.
    """

    revision: int
    part: Resources


class PoolGrants:
    """Acquires and releases a pool's part of each team's limit.

    The parts of one team never add up to more than its limit, so that no pool
    needs to know what the others have running. After a limit was lowered, no
    pool starts anything for the team until the parts fit into it again. While a
    pool is short, the others keep only a small reserve beyond their use.

    A pool that releases something stops using it before the write is sent, since
    another pool may use it before the answer arrives.

    Args:
        store: The platform's store.
        plan_watcher: Holds the stored grants of all teams.
        pool: Name of the pool.
        claim: Returns the transaction condition that the pool's claim is held.
        scheduler: The pool's scheduler.
        left_parts: Finds the parts of pools that nobody runs; None to leave them.
    """

    def __init__(
        self,
        store: PolledStore,
        plan_watcher: PlanWatcher,
        pool: str,
        claim: Callable[[], Expect],
        scheduler: Scheduler,
        left_parts: LeftParts | None = None,
    ):
        self.store = store
        self.plan_watcher = plan_watcher
        self.pool = pool
        self.claim = claim
        self.scheduler = scheduler
        self.left_parts = left_parts
        self.targets = PartTargets()
        self.unconfirmed: dict[str, UnconfirmedPart] = {}
        self.allowances: dict[str, Resources] = {}
        self.wait_log = LimitWaitLog(pool, scheduler.state)
        self.turns = LimitTurns(pool, scheduler.state)
        self.loaded = False

    def step(self, config: FleetConfiguration) -> None:
        """Adjust the parts to the pool's use and demand, and set the allowances."""
        if not self.loaded and not self._load():
            return
        active = frozenset(config.active_pools())
        self.turns.active = active
        limits = {
            team.name: team.limit for team in config.teams if team.limit != NO_RESOURCES
        }
        self.allowances = {
            team: allowance
            for team, allowance in self.allowances.items()
            if team in limits
        }
        reservations = {}
        for team, limit in limits.items():
            reserved = self._adjust(team, limit, active)
            if reserved is not None:
                reservations[team] = reserved
            self.set_allowance(team, limit)
            self.wait_log.step(team, limit, self._stored_parts(team)[0])
        self.scheduler.set_allowances(self.allowances)
        self.scheduler.set_limit_reservations(reservations)

    def _load(self) -> bool:
        """Read the parts as the former holder left them; return False on a failure.

        What this instance has read before its claim may be a part that the former
        holder has released since.
        """
        try:
            snapshot = self.store.range(GRANT_PREFIX)
        except StoreError as error:
            log(Event.FEED_LOST, prefix=GRANT_PREFIX, error=str(error))
            return False
        for entry in snapshot.entries:
            self.plan_watcher.update_grant(entry)
        self.loaded = True
        return True

    def _adjust(
        self, team: str, limit: Resources, active: frozenset[str]
    ) -> LimitedStep | None:
        """Adjust the part of one team; return the step whose turn it is."""
        grant, own, others = self._stored_parts(team)
        use = self._use(team, limit, grant, own, others)
        starved = self.turns.starved_step(team, grant, limit)
        claim = self.turns.claim_for(team, starved, grant, limit)
        short = set(grant.short) - {self.pool}
        # A pool that is off has no holder that would remove its name.
        target = self.targets.target(team, use, bool(short & active))
        if claim is not None and (use.used + claim.need).fits(use.room):
            wanted = claim.wanted.elementwise_min(use.room)
            target = target.elementwise_max(wanted)
        if self.targets.counts_as_short(team, use):
            short.add(self.pool)
        updated = replace(
            with_part(grant, self.pool, target, short),
            claims=self.turns.claims_to_store(team, starved, grant, claim),
        )
        if updated.claims:
            lasting = self.scheduler.state.lasting_use(team)
            updated = with_lasting(updated, self.pool, limited_part(lasting, limit))
        left = self._left_pools(grant, use, active)
        if left:
            updated = without_parts(updated, left)
        # Any later write rules out that an unconfirmed one is still applied.
        if updated != grant or self._unconfirmed_part(team) is not None:
            stored = self._write(team, updated, target, limit, left)
            if stored and not own.fits(target):
                self.targets.note_released(team)
            if stored and left:
                log(Event.LIMIT_TAKEN_BACK, team=team, pool=self.pool, left=left)
        in_force = self.turns.in_force(team, grant, limit)
        is_first = claim is None or (in_force and in_force[0].pool == self.pool)
        return self.turns.take_turn(team, starved if is_first else None)

    def _left_pools(
        self, grant: Grant, use: LimitUse, active: frozenset[str]
    ) -> tuple[str, ...]:
        """Return the pools whose parts to take back, if the pool lacks something."""
        overfull = not (use.own + use.others).within(use.limit)
        if self.left_parts is None or not (use.is_short or overfull):
            return ()
        return self.left_parts.find(grant, active)

    def _use(
        self,
        team: str,
        limit: Resources,
        grant: Grant,
        own: Resources,
        others: Resources,
    ) -> LimitUse:
        state = self.scheduler.state
        return LimitUse(
            limit=limit,
            used=limited_part(state.team_used.get(team, NO_RESOURCES), limit),
            unmet=limited_part(
                state.allowance_shortfall.get(team, NO_RESOURCES), limit
            ),
            next_need=limited_part(state.limit_waits.next_need(team), limit),
            own=own,
            others=others,
            room=self.turns.room(team, grant, limit),
        )

    def set_allowance(self, team: str, limit: Resources) -> None:
        """Let the scheduler use what is in the pool's part whatever was stored."""
        grant, own, others = self._stored_parts(team)
        usable = own if (own + others).within(limit) else NO_RESOURCES
        usable = usable.elementwise_min(self.turns.room(team, grant, limit))
        unconfirmed = self._unconfirmed_part(team)
        if unconfirmed is not None:
            usable = usable.elementwise_min(unconfirmed)
        self.allowances = {**self.allowances, team: _as_allowance(usable, limit)}
        self.scheduler.set_allowances(self.allowances)

    def _stored_parts(self, team: str) -> tuple[Grant, Resources, Resources]:
        """Return a team's grant, this pool's part and the sum of the others' parts."""
        grant = self.plan_watcher.grants.get(team, Grant())
        own = Resources(*grant.parts.get(self.pool, EMPTY_PART))
        others = NO_RESOURCES
        for pool, part in grant.parts.items():
            if pool != self.pool:
                others = others + Resources(*part)
        return grant, own, others

    def _unconfirmed_part(self, team: str) -> Resources | None:
        unconfirmed = self.unconfirmed.get(team)
        revision = self.plan_watcher.grant_revisions.get(team, 0)
        if unconfirmed is None or unconfirmed.revision < revision:
            return None
        return unconfirmed.part

    def _write(
        self,
        team: str,
        updated: Grant,
        part: Resources,
        limit: Resources,
        left: tuple[str, ...] = (),
    ) -> bool:
        key = grant_key(team)
        revision = self.plan_watcher.grant_revisions.get(team, 0)
        put = Put(key, encode_json(updated))
        earlier = self._unconfirmed_part(team)
        smallest = part if earlier is None else part.elementwise_min(earlier)
        self.unconfirmed[team] = UnconfirmedPart(revision, smallest)
        self.set_allowance(team, limit)
        conditions = (self.claim(), Expect(key, revision), *unclaimed(left))
        try:
            outcome = self.store.transact(Transaction(conditions, (put,)))
        except StoreError as error:
            log(Event.WRITE_FAILED, what="part of a limit", team=team, error=str(error))
            return False
        if outcome.succeeded:
            stored = Entry(key, put.value, outcome.revision)
            self.plan_watcher.update_grant(stored)
        for entry in outcome.entries:
            if entry.key == key:
                self.plan_watcher.update_grant(entry)
        return outcome.succeeded


def _as_allowance(part: Resources, limit: Resources) -> Resources:
    """Return a part as an allowance, in which 0 would mean no bound."""
    return Resources(
        max(1, part.cpu_m) if limit.cpu_m else 0,
        max(1, part.memory_mb) if limit.memory_mb else 0,
        max(1, part.accelerators) if limit.accelerators else 0,
    )
