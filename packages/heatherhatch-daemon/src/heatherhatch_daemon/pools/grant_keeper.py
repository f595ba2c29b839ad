"""Keeps each team within its limit over all pools, by records in the store."""

from collections.abc import Callable

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.resources import NOTHING, Resources

from ..events import Event, log
from ..transport.store import Expect, PolledStore, Put, Transaction
from .board import Grant, PlanBoard
from .clock import now_s
from .keys import grant_key

SPARE_SHARE = 8  # a pool keeps this part of the limit in reserve, to write less
GIVE_BACK_S = 1.0  # what was not used for so long is given back
PLAIN = (0, 0, 0)


class GrantKeeper:
    """Asks for, and gives back, a pool's part of each team's limit.

    The parts of one team never add up to more than its limit, so that no pool
    needs to know what the others have running. After the limit was lowered,
    nobody starts anything until the parts fit again.

    Args:
        store: The platform's store.
        board: Divisions as they are stored.
        pool: The pool.
        claim: Returns the condition of the pool's claim.
        scheduler: The pool's scheduler.
    """

    def __init__(
        self,
        store: PolledStore,
        board: PlanBoard,
        pool: str,
        claim: Callable[[], Expect],
        scheduler: Scheduler,
    ):
        self.store = store
        self.board = board
        self.pool = pool
        self.claim = claim
        self.scheduler = scheduler
        self.spare_since_s: dict[str, float] = {}

    def step(self, config: FleetConfiguration) -> None:
        """Adjust the parts to what is used and needed, and set the allowances."""
        allowances = {}
        for team in config.teams:
            if team.limit == NOTHING:
                continue
            part = self._adjust(team.name, team.limit)
            allowances[team.name] = part
        self.scheduler.allow(allowances)

    def _adjust(self, team: str, limit: Resources) -> Resources:
        grant = self.board.grants.get(team, Grant())
        mine = Resources(*grant.parts.get(self.pool, PLAIN))
        others = NOTHING
        for pool, part in grant.parts.items():
            if pool != self.pool:
                others = others + Resources(*part)
        used = self.scheduler.state.team_used.get(team, NOTHING)
        short = self.scheduler.state.short.get(team, NOTHING)
        wanted = self._wanted(team, used, short, mine, limit, others)
        if wanted != mine and self._write(team, grant, wanted):
            mine = wanted
        if not (mine + others).within(limit):
            return _bounded(NOTHING, limit)
        return _bounded(mine, limit)

    def _wanted(
        self,
        team: str,
        used: Resources,
        short: Resources,
        mine: Resources,
        limit: Resources,
        others: Resources,
    ) -> Resources:
        spare = Resources(
            limit.cpu_m // SPARE_SHARE,
            limit.memory_mb // SPARE_SHARE,
            limit.accelerators // SPARE_SHARE,
        )
        left = (limit - others).at_least(NOTHING)
        if not (mine + others).within(limit):
            return used.at_most(mine)
        if short != NOTHING:
            self.spare_since_s.pop(team, None)
            return (used + short + spare).at_most(left).at_least(mine)
        idle = not (mine - used).fits(spare + spare)
        if not idle:
            self.spare_since_s.pop(team, None)
            return mine
        since_s = self.spare_since_s.setdefault(team, now_s())
        if now_s() - since_s < GIVE_BACK_S:
            return mine
        return (used + spare).at_most(mine)

    def _write(self, team: str, grant: Grant, wanted: Resources) -> bool:
        key = grant_key(team)
        parts = dict(grant.parts)
        parts[self.pool] = (wanted.cpu_m, wanted.memory_mb, wanted.accelerators)
        changed = Grant(parts)
        revision = self.board.grant_revisions.get(team, 0)
        put = Put(key, encode_json(changed))
        try:
            outcome = self.store.transact(
                Transaction((self.claim(), Expect(key, revision)), (put,))
            )
        except StoreError as error:
            log(Event.WRITE_FAILED, what="part of a limit", team=team, error=str(error))
            return False
        for entry in outcome.entries:
            if entry.key == key:
                self.board.see_grant(entry)
        if outcome.succeeded:
            self.board.grants[team] = changed
            self.board.grant_revisions[team] = outcome.revision
        return outcome.succeeded


def _bounded(part: Resources, limit: Resources) -> Resources:
    """Return a part as an allowance, in which 0 must not mean no bound."""
    return Resources(
        max(1, part.cpu_m) if limit.cpu_m else 0,
        max(1, part.memory_mb) if limit.memory_mb else 0,
        max(1, part.accelerators) if limit.accelerators else 0,
    )
