"""Base class of the daemon's long-lived greenlets."""

from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import StoreError

from ..events import Event, log

RETRY_PAUSE_S = 0.2


class Task:
    """A greenlet that repeats a step until it is stopped.

    Subclasses define ``step`` and may define ``finish``. A step that fails is
    logged and repeated after a pause, so that one error does not end the greenlet.

    Args:
        name: Name for the log.
        period_s: Seconds between the starts of two steps.
        clock: Returns monotonic seconds.

    Attributes:
        stopping: Set once the task has been stopped.
        greenlet: Greenlet that runs the steps, None before the start.
    """

    def __init__(self, name: str, period_s: float, clock: Callable[[], float]):
        self.name = name
        self.period_s = period_s
        self.clock = clock
        self.stopping = Signal()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the greenlet after the current step and release what the task holds.

        The greenlet is killed if the step does not end in time.
        """
        self.stopping.set()
        if self.greenlet is not None:
            self.greenlet.join(timeout=self.period_s + RETRY_PAUSE_S)
            self.greenlet.kill()
        self.finish()

    def step(self) -> None:
        """Run one iteration."""
        raise NotImplementedError

    def finish(self) -> None:
        """Release what the task holds; called once, after the last step."""

    def _run(self):
        while not self.stopping.is_set():
            started_s = self.clock()
            try:
                self.step()
            except StoreError:
                # The follower logs store outages, so the other tasks only wait.
                self.stopping.wait(RETRY_PAUSE_S)
            except Exception as error:
                log(Event.TASK_FAILED, task=self.name, error=repr(error))
                self.stopping.wait(RETRY_PAUSE_S)
            self.stopping.wait(max(0.0, started_s + self.period_s - self.clock()))
