"""Watches whether the holder of a pool makes progress."""

from collections.abc import Callable

import gevent

from .clock import now_s

WATCH_PERIOD_S = 0.5
# Numbers of periods rather than times, because a process may be suspended.
ROUND_LIMIT = 8  # periods without a round after which a role is given up
LOAD_LIMIT = 16  # the same until the pool is loaded, which is slow on a slow link
GIVEN_UP_PAUSE_S = 5.0  # time for other nodes to take a role that was given up


class PoolWatchdog:
    """Gives a role up whose holder may send orders but makes no round.

    Args:
        may_order: Returns whether the holder may send orders at this moment.
        give_up: Called if the holder makes no progress, with the reason and how long
            the role is left to other nodes, seconds.
    """

    def __init__(
        self,
        may_order: Callable[[], bool],
        give_up: Callable[[str, float], None],
    ):
        self.may_order = may_order
        self.give_up = give_up
        self.loaded = False
        self.progressed = False
        self.idle_periods = 0
        self.last_round_s = now_s()

    def note_round(self) -> None:
        """Record that the holder has completed a round."""
        self.loaded = True
        self.progressed = True
        self.last_round_s = now_s()

    def step(self) -> None:
        """Check for progress since the last call."""
        if self.progressed or not self.may_order():
            self.progressed = False
            self.idle_periods = 0
            return
        self.idle_periods += 1
        if self.idle_periods >= (ROUND_LIMIT if self.loaded else LOAD_LIMIT):
            self.idle_periods = 0
            idle_s = now_s() - self.last_round_s
            self.give_up(f"no round for {idle_s:.1f} s", GIVEN_UP_PAUSE_S)

    def run(self) -> None:
        """Check periodically until the greenlet is killed."""
        while True:
            gevent.sleep(WATCH_PERIOD_S)
            self.step()
