"""Clocks that don't stop while the machine is suspended."""

import time

import gevent


def now_s() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the epoch."""
    return time.time()


def pause(seconds: float) -> None:
    """Let the rest of the node run for a while."""
    gevent.sleep(seconds)
