"""Clocks that do not stop while the machine is suspended."""

import time

import gevent


def now_s() -> float:
    """Return seconds since boot, including those while the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the epoch."""
    return time.time()


def sleep(seconds: float) -> None:
    """Sleep for some seconds while the other greenlets of the node run."""
    gevent.sleep(seconds)
