"""What the scheduler of one pool remembers about the competition for it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...state.fleet_configuration import FleetConfiguration
from .preemption import PreemptionBudget
from .recent_shares import Claim, RecentUse, teams_over_share

LOG_INTERVAL_S = 1.0  # teams near their share may change with each round


@dataclass(slots=True)
class PoolCompetition:
    """Shares of the teams in one pool.

    A new holder of the pool starts without recent use, which decays in seconds anyway.

    Attributes:
        weights: Weight of each team when it shares the pool with others.
        priorities: Priorities of the queues of the pool.
        recent: Recent use of the pool by each team.
        over: Teams that have used more than their share, as last decided.
        logged: The value of ``over`` that was logged last.
        logged_s: When it was logged, monotonic seconds.
        preemptions: Bounds the number of preemptions per second.
        preempted_s: When preemptions were last considered, monotonic seconds.
    """

    weights: dict[str, float] = field(default_factory=dict)
    priorities: frozenset[int] = frozenset()
    recent: RecentUse = field(default_factory=RecentUse)
    over: frozenset[str] = frozenset()
    logged: frozenset[str] = frozenset()
    logged_s: float = float("-inf")
    preemptions: PreemptionBudget = field(default_factory=PreemptionBudget)
    preempted_s: float = float("-inf")

    def configure(self, config: FleetConfiguration, pool: str) -> None:
        """Apply a version of the configuration."""
        self.weights = {team.name: team.weight for team in config.teams}
        self.priorities = frozenset(
            queue.priority for queue in config.queues if queue.pool == pool
        )

    def divide(self, claims: Iterable[Claim], free_cores: float, now_s: float) -> bool:
        """Decide which teams have used more than their share.

        Args:
            claims: What the open jobs of the pool ask for.
            free_cores: Free capacity of the pool, cores.
            now_s: Monotonic time, seconds.

        Returns:
            True if these teams should be logged.
        """
        claims = list(claims)
        cores_used: dict[str, float] = {}
        for claim in claims:
            if claim.cores:
                used = cores_used.get(claim.team, 0.0)
                cores_used[claim.team] = used + claim.cores
        self.recent.advance(cores_used, now_s)
        self.over = teams_over_share(
            claims, self.recent.core_s, self.weights, free_cores
        )
        if self.over == self.logged or now_s - self.logged_s < LOG_INTERVAL_S:
            return False
        self.logged = self.over
        self.logged_s = now_s
        return True
