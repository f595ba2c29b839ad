"""Divides each team's limit among the pools, by records in the store."""

from collections.abc import Callable

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from ..events import Event, log
from ..transport.store import Expect, PolledStore, Put, Transaction
from .clock import now_s
from .fleet_records import Grant, PlanWatcher
from .keys import grant_key

RESERVE_DIVISOR = 8  # a pool reserves 1/8 of the limit, to write less often
RELEASE_AFTER_S = 1.0  # an excess that was unused for this long is released
EMPTY_PART = (0, 0, 0)


class PoolGrants:
    """Acquires and releases a pool's part of each team's limit.

    The parts of one team never add up to more than its limit, so that no pool
    needs to know what the others have running. After a limit was lowered, no
    pool starts anything for the team until the parts fit into it again.

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

    def step(self, config: FleetConfiguration) -> None:
        """Adjust the parts to the pool's use and demand, and set the allowances."""
        allowances = {}
        for team in config.teams:
            if team.limit == NO_RESOURCES:
                continue
            part = self._adjust(team.name, team.limit)
            allowances[team.name] = part
        self.scheduler.set_allowances(allowances)

    def _adjust(self, team: str, limit: Resources) -> Resources:
        grant = self.plan_watcher.grants.get(team, Grant())
        own = Resources(*grant.parts.get(self.pool, EMPTY_PART))
        others = NO_RESOURCES
        for pool, part in grant.parts.items():
            if pool != self.pool:
                others = others + Resources(*part)
        used = self.scheduler.state.team_used.get(team, NO_RESOURCES)
        unmet = self.scheduler.state.allowance_shortfall.get(team, NO_RESOURCES)
        target = self._target_part(team, used, unmet, own, limit, others)
        if target != own and self._write(team, grant, target):
            own = target
        if not (own + others).within(limit):
            return _as_allowance(NO_RESOURCES, limit)
        return _as_allowance(own, limit)

    def _target_part(
        self,
        team: str,
        used: Resources,
        unmet: Resources,
        own: Resources,
        limit: Resources,
        others: Resources,
    ) -> Resources:
        reserve = Resources(
            limit.cpu_m // RESERVE_DIVISOR,
            limit.memory_mb // RESERVE_DIVISOR,
            limit.accelerators // RESERVE_DIVISOR,
        )
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

    def _write(self, team: str, grant: Grant, target: Resources) -> bool:
        key = grant_key(team)
        parts = dict(grant.parts)
        parts[self.pool] = (target.cpu_m, target.memory_mb, target.accelerators)
        updated = Grant(parts)
        revision = self.plan_watcher.grant_revisions.get(team, 0)
        put = Put(key, encode_json(updated))
        try:
            outcome = self.store.transact(
                Transaction((self.claim(), Expect(key, revision)), (put,))
            )
        except StoreError as error:
            log(Event.WRITE_FAILED, what="part of a limit", team=team, error=str(error))
            return False
        for entry in outcome.entries:
            if entry.key == key:
                self.plan_watcher.update_grant(entry)
        if outcome.succeeded:
            self.plan_watcher.grants[team] = updated
            self.plan_watcher.grant_revisions[team] = outcome.revision
        return outcome.succeeded


def _as_allowance(part: Resources, limit: Resources) -> Resources:
    """Return a part as an allowance, in which 0 would mean no bound."""
    return Resources(
        max(1, part.cpu_m) if limit.cpu_m else 0,
        max(1, part.memory_mb) if limit.memory_mb else 0,
        max(1, part.accelerators) if limit.accelerators else 0,
    )
