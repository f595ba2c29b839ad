"""Claims of one pool on the teams' limits, and which claims of others it respects."""

import math
from collections.abc import Set

from heatherhatch_core.coordination.limit_claims import (
    LimitClaim,
    can_be_met,
    limited_part,
    room_for,
)
from heatherhatch_core.coordination.scheduler.limit_waits import LimitedStep
from heatherhatch_core.coordination.scheduler.permits import StepName
from heatherhatch_core.coordination.scheduler.state import PoolState
from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from .clock import now_s
from .fleet_records import EMPTY_PART, Grant, as_part, parts_of
from .part_targets import CONTENDED_RESERVE_DIVISOR

# Added to the time for which others respect a claim, for polls and slow writes.
CLAIM_SLACK_S = 1.0
LARGEST_FIRST_S = 0.5  # after this, also pools with smaller parts make room
LONG_WAIT_S = 10.0  # of overtaken work in a pool that uses half of the limit
CLAIM_PERIOD_S = 1.0  # between claims of a pool whose work goes on starting


class LimitTurns:
    """The order in which pools are served by each team's limit, as one pool sees it.

    A claim is no permission: it only tells the others what to leave, so that each pool
    may judge by its own clock how long it respects one. A pool that has stopped, is cut
    off or does not release its claim holds the others up for a bounded time.

    Args:
        pool: Name of the pool.
        state: State of the pool's scheduler.

    Attributes:
        last_number: Number of this pool's last claim.
        first_since_s: Since when this pool has seen a claim in the first place, by
            team, pool and number of the claim.
        active: Pools that are configured and not on standby; claims of others are
            not respected, as they have no holder that would release them.
        claimed: Step of this pool's claim, by team.
        claimed_s: When this pool last had a claim, by team.
        turns: Step of this pool whose turn it is, by team.
        turn_since_s: Since when it is, by team.
    """

    def __init__(self, pool: str, state: PoolState):
        self.pool = pool
        self.state = state
        self.last_number = 0
        self.first_since_s: dict[tuple[str, str, int], float] = {}
        self.active: Set[str] = frozenset((pool,))
        self.claimed: dict[str, StepName] = {}
        self.claimed_s: dict[str, float] = {}
        self.turns: dict[str, LimitedStep] = {}
        self.turn_since_s: dict[str, float] = {}

    def room(self, team: str, grant: Grant, limit: Resources) -> Resources:
        """Return the largest part that the pool may have beside the others.

        Args:
            team: Name of the team.
            grant: The stored grant.
            limit: Limit of the team; 0 means no limit.
        """
        claims = self.in_force(team, grant, limit)
        largest_first = bool(claims) and (
            now_s() - self._first_since_s(team, claims[0]) < LARGEST_FIRST_S
        )
        return room_for(self.pool, limit, parts_of(grant), claims, largest_first)

    def in_force(
        self, team: str, grant: Grant, limit: Resources
    ) -> tuple[LimitClaim, ...]:
        """Return the claims that this pool respects, the first in line first."""
        found: list[LimitClaim] = []
        lasting = _lasting_uses(grant) if grant.claims else []
        for claim in grant.claims:
            if claim.pool not in self.active:
                continue
            if not can_be_met(claim, lasting, limit):
                continue
            if not found:
                key = (team, claim.pool, claim.number)
                self.first_since_s.setdefault(key, now_s())
                if claim.pool != self.pool and self._is_over(team, claim):
                    continue
            found.append(claim)
        return tuple(found)

    def starved_step(
        self, team: str, grant: Grant, limit: Resources
    ) -> LimitedStep | None:
        """Return the step for which the team's other work may have to wait.

        Where the pool uses half of the limit, runs that end make room. Only work that
        smaller work keeps overtaking makes it wait there, after some time.

        Args:
            team: Name of the team.
            grant: The stored grant.
            limit: Limit of the team; 0 means no limit.
        """
        waits = self.state.limit_waits
        step = waits.starved.get(team)
        if step is None:
            return None
        used = self.state.team_used.get(team, NO_RESOURCES)
        is_passed_over = waits.is_passed_over(team, step.need)
        if not (used + used).within(limit):
            is_due = now_s() - step.since_s >= LONG_WAIT_S
            return step if is_passed_over and is_due else None
        if is_passed_over or waits.is_at_rest(team, used, now_s()):
            return step
        return step if self._may_claim_more(team, grant, limit) else None

    def _may_claim_more(self, team: str, grant: Grant, limit: Resources) -> bool:
        """Return whether a pool whose work goes on starting may claim for more of it.

        It may from time to time, unless the team certainly uses half of the limit: the
        others may hold reserves, but no more than those beyond what they use.
        """
        if any(claim.pool == self.pool for claim in grant.claims):
            return True
        if now_s() - self.claimed_s.get(team, -math.inf) < CLAIM_PERIOD_S:
            return False
        reserve = Resources(
            *(amount // CONTENDED_RESERVE_DIVISOR for amount in as_part(limit))
        )
        least = sum(
            (
                (part - reserve).elementwise_max(NO_RESOURCES)
                for pool, part in parts_of(grant).items()
                if pool != self.pool
            ),
            self.state.team_used.get(team, NO_RESOURCES),
        )
        return (least + least).within(limit)

    def claim_for(
        self, team: str, step: LimitedStep | None, grant: Grant, limit: Resources
    ) -> LimitClaim | None:
        """Return the pool's claim for a step; None if its part covers the step.

        Of a step with several tasks it covers as many as half of the limit holds.

        Args:
            team: Name of the team.
            step: Step that waits for the limit; None for none.
            grant: The stored grant.
            limit: Limit of the team; 0 means no limit.
        """
        if step is None:
            return None
        need = limited_part(step.need, limit)
        used = limited_part(self.state.team_used.get(team, NO_RESOURCES), limit)
        least = (used + need).elementwise_min(limit)
        if least.fits(parts_of(grant).get(self.pool, NO_RESOURCES)):
            return None
        half = limit - Resources(*(amount // 2 for amount in as_part(limit)))
        count = min(step.count, need.times_in(half - used))
        wanted = least.elementwise_max(used + need.times(count))
        known = next((item for item in grant.claims if item.pool == self.pool), None)
        if (
            known
            and self._is_claimed(team, step)
            and known.need == need
            and least.fits(known.wanted)
        ):
            return known
        self.last_number += 1
        hold_s = self.state.limit_waits.hold_s(step.step)
        return LimitClaim(self.pool, self.last_number, need, wanted, hold_s)

    def claims_to_store(
        self,
        team: str,
        step: LimitedStep | None,
        grant: Grant,
        own: LimitClaim | None,
    ) -> tuple[LimitClaim, ...]:
        """Return the claims to store.

        This pool's claim keeps its place in line; one for another step goes to the end.

        Args:
            team: Name of the team.
            step: Step that the pool's claim is for; None for none.
            grant: The stored grant.
            own: Claim of this pool; None for none.
        """
        keeps_place = step is not None and self._is_claimed(team, step)
        self.claimed.pop(team, None)
        if step is not None and own is not None:
            self.claimed[team] = step.step
            self.claimed_s[team] = now_s()
        keys = {(team, claim.pool, claim.number) for claim in grant.claims}
        for key in [key for key in self.first_since_s if key[0] == team]:
            if key not in keys:
                del self.first_since_s[key]
        claims: list[LimitClaim] = []
        for claim in grant.claims:
            if claim.pool != self.pool:
                if not self._is_over(team, claim):
                    claims.append(claim)
            elif own is not None and own not in claims and keeps_place:
                claims.append(own)
        if own is not None and own not in claims:
            claims.append(own)
        return tuple(claims)

    def take_turn(self, team: str, step: LimitedStep | None) -> LimitedStep | None:
        """Let a step make the team's other work wait, for a bounded time.

        Args:
            team: Name of the team.
            step: Step whose turn it is; None for none.

        Returns:
            The step for which other work has to wait; None for none.
        """
        known = self.turns.pop(team, None)
        if step is None:
            return None
        if known is None or known.step != step.step:
            self.turn_since_s[team] = now_s()
        waits = self.state.limit_waits
        if now_s() - self.turn_since_s[team] >= waits.hold_s(step.step):
            waits.pause(step.step, now_s())
            return None
        self.turns[team] = step
        return step

    def _is_claimed(self, team: str, step: LimitedStep) -> bool:
        """Return whether the pool's claim is for a step, or for one not known here."""
        return self.claimed.get(team, step.step) == step.step

    def _first_since_s(self, team: str, claim: LimitClaim) -> float:
        return self.first_since_s.get((team, claim.pool, claim.number), now_s())

    def _is_over(self, team: str, claim: LimitClaim) -> bool:
        waited_s = now_s() - self._first_since_s(team, claim)
        return waited_s > claim.hold_s + CLAIM_SLACK_S


def _lasting_uses(grant: Grant) -> list[Resources]:
    """Return what runs of each pool that do not end use, at most its part."""
    return [
        Resources(*use).elementwise_min(Resources(*grant.parts.get(pool, EMPTY_PART)))
        for pool, use in grant.lasting.items()
    ]
