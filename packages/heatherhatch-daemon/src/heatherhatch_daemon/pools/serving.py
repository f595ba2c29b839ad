"""Whether this instance can serve callers, and what it lacks if it cannot."""

from dataclasses import asdict, dataclass
from enum import Enum

from ..events import Event, log
from ..tasks.task import Task
from .claims import Claims
from .clock import now_s
from .operators import MAX_SERVING_AGE_S, POLL_FAILURE_S, Operators
from .watched_store import WatchedStore

STORE_SILENCE_S = 1.5  # a store that works answers a poll or a renewal before
CHECK_PERIOD_S = 0.25  # bounds the log lines about readiness to four a second


class Obstacle(Enum):
    """Why an instance is not ready; the value is for log lines."""

    RELEASING = "this node is shutting down"
    NO_CONFIG = "no configuration has been read yet"
    STORE_AWAY = "the store answers no read of this node"
    CONFIG_OLD = "the configuration has not been confirmed recently"


@dataclass(frozen=True, slots=True)
class StoreView:
    """When the store last answered an instance; infinite if it never did.

    Attributes:
        silent_s: Time since the store answered any call, seconds.
        lease_age_s: Time since the lease of the claims was confirmed, seconds.
        config_age_s: Time since the configuration was confirmed, seconds.
        config_failing_s: How long the feed of the configuration has failed, seconds;
            0 if it works.
        claims_failing_s: The same for the feed of the claims.
        config_version: Version of the configuration in force; 0 if there is none.
        obstacle: Why the instance is not ready; empty if it is.
        pending_calls: Calls to the store that wait for an answer, polls excluded.
        oldest_call_s: How long the oldest of them has waited, seconds.
    """

    silent_s: float
    lease_age_s: float
    config_age_s: float
    config_failing_s: float
    claims_failing_s: float
    config_version: int
    obstacle: str = ""
    pending_calls: int = 0
    oldest_call_s: float = 0.0


class ServingState(Task):
    """Tells whether this instance can serve, and logs each change.

    Args:
        store: The platform's store.
        operators: The operators' records.
        claims: The claims of this instance.

    Attributes:
        releasing: True once the instance is shutting down.
        logged: The obstacle that was logged last.
    """

    def __init__(self, store: WatchedStore, operators: Operators, claims: Claims):
        super().__init__("serving state", CHECK_PERIOD_S, now_s)
        self.store = store
        self.operators = operators
        self.claims = claims
        self.releasing = False
        self.logged: Obstacle | None = None

    def store_outage_s(self) -> float:
        """Return how long the store has answered no read, seconds; 0 if it may answer.

        One feed that fails is no outage, since a read of another key may be answered.
        The lease of the claims is needed by the roles only, not by callers.
        """
        silent_s = now_s() - self.store.answered_s
        if silent_s > STORE_SILENCE_S:
            return silent_s
        failing_s = min(
            self.operators.feed_failing_s(),
            now_s() - self.claims.feed.failing_since_s,
        )
        return failing_s if failing_s > POLL_FAILURE_S else 0.0

    def obstacle(self) -> Obstacle | None:
        """Return why this instance should get no new callers; None if it should."""
        if self.releasing:
            return Obstacle.RELEASING
        if self.operators.config is None:
            return Obstacle.NO_CONFIG
        if self.store_outage_s():
            return Obstacle.STORE_AWAY
        if self.operators.config_age_s() > MAX_SERVING_AGE_S:
            return Obstacle.CONFIG_OLD
        return None

    def view(self) -> StoreView:
        """Return this instance's view of the store."""
        now = now_s()
        config = self.operators.config
        obstacle = self.obstacle()
        pending = self.store.pending()
        return StoreView(
            round(now - self.store.answered_s, 2),
            round(now - self.claims.confirmed_s, 2),
            round(self.operators.config_age_s(), 2),
            round(max(0.0, self.operators.feed_failing_s()), 2),
            round(max(0.0, now - self.claims.feed.failing_since_s), 2),
            config.version if config else 0,
            obstacle.value if obstacle else "",
            pending.number,
            round(pending.oldest_s, 3),
        )

    def step(self) -> None:
        """Log the state if it has changed."""
        obstacle = self.obstacle()
        if obstacle is self.logged:
            return
        self.logged = obstacle
        if obstacle is None:
            log(Event.SERVING, **asdict(self.view()))
        else:
            log(Event.NOT_SERVING, reason=obstacle.value, **asdict(self.view()))
