"""Watches whether the holder of a pool makes progress."""

import dataclasses
from collections.abc import Callable

import gevent

from heatherhatch_core.coordination.scheduler import Scheduler

from ..events import Event, log
from .clock import now_s, wall_s
from .pool_health import PoolHealth, pool_health

WATCH_PERIOD_S = 0.5
# Numbers of periods rather than times, because a process may be suspended.
ROUND_LIMIT_PERIODS = 8  # periods without a round after which a role is given up
LOAD_LIMIT_PERIODS = 6  # periods with a failed load after which a role is given up
HEALTH_LOG_PERIODS = 10  # periods between two log lines about the pool
GIVEN_UP_PAUSE_S = 5.0  # time for other nodes to take a role that was given up


class PoolWatchdog:
    """Gives a role up whose holder may send orders but makes no round.

    Args:
        scheduler: The pool's scheduler.
        may_order: Returns whether the holder may send orders at this moment.
        give_up: Called if the holder makes no progress, with the reason and how long
            the role is left to other nodes, seconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        may_order: Callable[[], bool],
        give_up: Callable[[str, float], None],
    ):
        self.scheduler = scheduler
        self.may_order = may_order
        self.give_up = give_up
        self.loaded = False
        self.load_failed = False
        self.progressed = False
        self.idle_periods = 0
        self.last_round_s = now_s()

    def note_failed_load(self) -> None:
        """Record that the pool could not be loaded.

        A load that has not failed may take any time: the same records would take as
        long on another node, and no node could load a large pool over a slow link.
        """
        self.load_failed = True

    def note_loaded(self) -> None:
        """Record that the pool has been loaded."""
        self.loaded = True
        self.progressed = True

    def note_round(self) -> None:
        """Record that the holder has completed a round."""
        self.progressed = True
        self.last_round_s = now_s()

    def step(self) -> None:
        """Check for progress since the last call."""
        if self.progressed or not self.may_order():
            self.progressed = False
            self.idle_periods = 0
            return
        if not self.loaded and not self.load_failed:
            return
        self.load_failed = False
        self.idle_periods += 1
        if self.idle_periods >= (
            ROUND_LIMIT_PERIODS if self.loaded else LOAD_LIMIT_PERIODS
        ):
            self.idle_periods = 0
            idle_s = now_s() - self.last_round_s
            self.give_up(f"no round for {idle_s:.1f} s", GIVEN_UP_PAUSE_S)

    def health(self) -> PoolHealth:
        """Return how the jobs of the pool progress."""
        return pool_health(self.scheduler.state, now_s(), wall_s())

    def log_health(self) -> None:
        """Log how the jobs of the pool progress, and the age of the last round."""
        log(
            Event.POOL_HEALTH,
            pool=self.scheduler.state.pool,
            loaded=self.loaded,
            round_age_s=round(now_s() - self.last_round_s, 2),
            **dataclasses.asdict(self.health()),
        )

    def run(self) -> None:
        """Check periodically until the greenlet is killed."""
        while True:
            for _period in range(HEALTH_LOG_PERIODS):
                gevent.sleep(WATCH_PERIOD_S)
                self.step()
            self.log_health()
