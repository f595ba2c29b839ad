"""Greenlets that are restarted after an error that nobody expects."""

from collections.abc import Callable

import gevent

from ..events import Event, log

RESTART_PAUSE_S = 0.1  # a fault that persists must not use up the processor


def spawn_supervised(name: str, run: Callable[[], None]) -> gevent.Greenlet:
    """Run a function in a greenlet, and again whenever it ends with an error.

    Args:
        name: Name for the log.
        run: Function that can be started again from its beginning. The greenlet ends
            once it returns.
    """
    return gevent.spawn(_run_until_done, name, run)


def _run_until_done(name: str, run: Callable[[], None]) -> None:
    while True:
        try:
            return run()
        except Exception as error:
            log(Event.TASK_FAILED, task=name, error=repr(error))
            gevent.sleep(RESTART_PAUSE_S)
