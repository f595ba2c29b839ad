"""Divides each team's limit among the pools, by records in the store."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Put, Transaction
from .clock import now_s
from .fleet_records import Grant
from .keys import grant_key
from .record_watchers import PlanWatcher

RESERVE_DIVISOR = 8  # a pool reserves 1/8 of the limit, to write less often
CONTENDED_RESERVE_DIVISOR = 16  # while another pool is short, a pool reserves 1/16
RELEASE_AFTER_S = 1.0  # an excess that was unused for this long is released
CONTENDED_RELEASE_PERIOD_S = 1.0  # minimum time between releases to a short pool
LOGGED_WAIT_S = 1.0  # work that has waited this long for a limit is logged
LOG_PERIOD_S = 5.0  # minimum time between two such lines about one team
EMPTY_PART = (0, 0, 0)


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
    """

    def __init__(
        self,
        store: PolledStore,
        plan_watcher: PlanWatcher,
        pool: str,
        claim: Callable[[], Expect],
        scheduler: Scheduler,
    ):
        self.store = store
        self.plan_watcher = plan_watcher
        self.pool = pool
        self.claim = claim
        self.scheduler = scheduler
        self.excess_since_s: dict[str, float] = {}
        self.released_s: dict[str, float] = {}
        self.unconfirmed: dict[str, UnconfirmedPart] = {}
        self.allowances: dict[str, Resources] = {}
        self.logged_s: dict[str, float] = {}

    def step(self, config: FleetConfiguration) -> None:
        """Adjust the parts to the pool's use and demand, and set the allowances."""
        active = frozenset(config.active_pools())
        limits = {
            team.name: team.limit for team in config.teams if team.limit != NO_RESOURCES
        }
        self.allowances = {
            team: allowance
            for team, allowance in self.allowances.items()
            if team in limits
        }
        for team, limit in limits.items():
            self._adjust(team, limit, active)
            self.set_allowance(team, limit)
            self._log_wait(team, limit)
        self.scheduler.set_allowances(self.allowances)

    def _adjust(self, team: str, limit: Resources, active: frozenset[str]) -> None:
        grant, own, others = self._stored_parts(team)
        used = self.scheduler.state.team_used.get(team, NO_RESOURCES)
        unmet = self.scheduler.state.allowance_shortfall.get(team, NO_RESOURCES)
        is_short = unmet != NO_RESOURCES and not (others + used + unmet).within(limit)
        short = set(grant.short) - {self.pool}
        target = self._target_part(team, used, unmet, own, limit, others)
        # A pool that is off has no holder that would remove its name.
        if short & active:
            target = self._contended_part(team, target, used, own, limit)
        if is_short:
            short.add(self.pool)
        updated = _with_part(grant, self.pool, target, short)
        # Any later write rules out that an unconfirmed one is still applied.
        if updated != grant or self._unconfirmed_part(team) is not None:
            stored = self._write(team, updated, target, limit)
            if stored and not own.fits(target):
                self.released_s[team] = now_s()

    def set_allowance(self, team: str, limit: Resources) -> None:
        """Let the scheduler use what is in the pool's part whatever was stored."""
        _grant, own, others = self._stored_parts(team)
        usable = own if (own + others).within(limit) else NO_RESOURCES
        unconfirmed = self._unconfirmed_part(team)
        if unconfirmed is not None:
            usable = usable.elementwise_min(unconfirmed)
        self.allowances = {**self.allowances, team: _as_allowance(usable, limit)}
        self.scheduler.set_allowances(self.allowances)

    def _log_wait(self, team: str, limit: Resources) -> None:
        oldest = self.scheduler.state.limit_waits.oldest(team)
        if oldest is None or now_s() - oldest.since_s < LOGGED_WAIT_S:
            return
        if now_s() - self.logged_s.get(team, -math.inf) < LOG_PERIOD_S:
            return
        self.logged_s[team] = now_s()
        grant = self.plan_watcher.grants.get(team, Grant())
        log(
            Event.LIMIT_WAIT,
            team=team,
            pool=self.pool,
            job=oldest.step.job_id,
            step=oldest.step.step,
            need=_row(oldest.need),
            waited_s=round(now_s() - oldest.since_s, 2),
            limit=_row(limit),
            used=_row(self.scheduler.state.team_used.get(team, NO_RESOURCES)),
            parts=grant.parts,
            short=grant.short,
        )

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

    def _target_part(
        self,
        team: str,
        used: Resources,
        unmet: Resources,
        own: Resources,
        limit: Resources,
        others: Resources,
    ) -> Resources:
        reserve = _divided(limit, RESERVE_DIVISOR)
        available = (limit - others).elementwise_max(NO_RESOURCES)
        if not (own + others).within(limit):
            return used.elementwise_min(own)
        if unmet != NO_RESOURCES:
            self.excess_since_s.pop(team, None)
            return (
                (used + unmet + reserve).elementwise_min(available).elementwise_max(own)
            )
        excessive = not (own - used).fits(reserve + reserve)
        if not excessive:
            self.excess_since_s.pop(team, None)
            return own
        since_s = self.excess_since_s.setdefault(team, now_s())
        if now_s() - since_s < RELEASE_AFTER_S:
            return own
        return (used + reserve).elementwise_min(own)

    def _contended_part(
        self,
        team: str,
        target: Resources,
        used: Resources,
        own: Resources,
        limit: Resources,
    ) -> Resources:
        """Limit a part to a small reserve beyond the use, and release seldom."""
        reserve = _divided(limit, CONTENDED_RESERVE_DIVISOR)
        limited = target.elementwise_min(used + reserve)
        kept = own.elementwise_min(target)
        if kept.fits(limited):
            return limited
        if now_s() - self.released_s.get(team, -math.inf) < CONTENDED_RELEASE_PERIOD_S:
            return limited.elementwise_max(kept)
        return limited

    def _write(
        self, team: str, updated: Grant, part: Resources, limit: Resources
    ) -> bool:
        key = grant_key(team)
        revision = self.plan_watcher.grant_revisions.get(team, 0)
        put = Put(key, encode_json(updated))
        earlier = self._unconfirmed_part(team)
        smallest = part if earlier is None else part.elementwise_min(earlier)
        self.unconfirmed[team] = UnconfirmedPart(revision, smallest)
        self.set_allowance(team, limit)
        try:
            outcome = self.store.transact(
                Transaction((self.claim(), Expect(key, revision)), (put,))
            )
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


def _divided(limit: Resources, divisor: int) -> Resources:
    return Resources(
        limit.cpu_m // divisor,
        limit.memory_mb // divisor,
        limit.accelerators // divisor,
    )


def _row(amount: Resources) -> tuple[int, int, int]:
    return (amount.cpu_m, amount.memory_mb, amount.accelerators)


def _with_part(grant: Grant, pool: str, part: Resources, short: set[str]) -> Grant:
    """Return a grant with another part of one pool, unless the part is the same."""
    parts = dict(grant.parts)
    row = _row(part)
    if row != parts.get(pool, EMPTY_PART):
        parts[pool] = row
    return Grant(parts, tuple(sorted(short)))


def _as_allowance(part: Resources, limit: Resources) -> Resources:
    """Return a part as an allowance, in which 0 would mean no bound."""
    return Resources(
        max(1, part.cpu_m) if limit.cpu_m else 0,
        max(1, part.memory_mb) if limit.memory_mb else 0,
        max(1, part.accelerators) if limit.accelerators else 0,
    )
