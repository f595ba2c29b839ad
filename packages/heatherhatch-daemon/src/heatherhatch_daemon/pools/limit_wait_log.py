"""Logs what work waits for the limit of its team, and who has the limit."""

import math

from heatherhatch_core.coordination.scheduler.state import PoolState
from heatherhatch_core.state.resources import NO_RESOURCES, Resources

from ..events import Event, log
from .clock import now_s
from .fleet_records import Grant, as_part

LOGGED_WAIT_S = 1.0  # work that has waited this long for a limit is logged
LOG_PERIOD_S = 5.0  # minimum time between two such lines about one team


class LimitWaitLog:
    """Logs the oldest work of one pool that waits for each limit.

    Args:
        pool: Name of the pool.
        state: State of the pool's scheduler.
    """

    def __init__(self, pool: str, state: PoolState):
        self.pool = pool
        self.state = state
        self.logged_s: dict[str, float] = {}

    def step(self, team: str, limit: Resources, grant: Grant) -> None:
        """Log the oldest work of a team that waits, unless that was done lately."""
        oldest = self.state.limit_waits.oldest(team)
        if oldest is None or now_s() - oldest.since_s < LOGGED_WAIT_S:
            return
        if now_s() - self.logged_s.get(team, -math.inf) < LOG_PERIOD_S:
            return
        self.logged_s[team] = now_s()
        log(
            Event.LIMIT_WAIT,
            team=team,
            pool=self.pool,
            job=oldest.step.job_id,
            step=oldest.step.step,
            need=as_part(oldest.need),
            waited_s=round(now_s() - oldest.since_s, 2),
            limit=as_part(limit),
            used=as_part(self.state.team_used.get(team, NO_RESOURCES)),
            parts=grant.parts,
            short=grant.short,
            claims=[claim.pool for claim in grant.claims],
        )
