"""Feed of changes to job records: a watch that starts after a full read."""

from collections.abc import Callable

import gevent

from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.jobs import JOBS_PREFIX

from ..transport.store import Store, WatchEvent

RELIST_S = 120.0


class JobFeed:
    """Collects changes of live job records from a watch.

    Args:
        store: The platform's store.
        clock: Returns monotonic seconds.
        relist_s: Seconds after which all records are read again, in case the
            watch has silently stopped.
    """

    def __init__(
        self, store: Store, clock: Callable[[], float], relist_s: float = RELIST_S
    ):
        self.store = store
        self.clock = clock
        self.relist_s = relist_s
        self.events: list[WatchEvent] = []
        self.greenlet: gevent.Greenlet | None = None
        self.listed_s = float("-inf")

    @property
    def needs_relist(self) -> bool:
        """True if all records must be read again."""
        watching = self.greenlet is not None and not self.greenlet.dead
        return not watching or self.clock() - self.listed_s >= self.relist_s

    def watch_from(self, revision: int) -> None:
        """Start a new watch after a full read.

        Args:
            revision: Store revision of the full read; the watch starts after it.
        """
        self.stop()
        self.listed_s = self.clock()
        self.greenlet = gevent.spawn(self._watch, revision + 1)

    def take(self) -> list[WatchEvent]:
        """Return the changes received since the last call."""
        events, self.events = self.events, []
        return events

    def stop(self) -> None:
        """Stop the watch and discard the changes received."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.greenlet = None
        self.events = []

    def _watch(self, revision: int) -> None:
        try:
            for event in self.store.watch(JOBS_PREFIX, revision):
                self.events.append(event)
        except StoreError:
            # ``needs_relist`` is true once this greenlet is dead, so the dispatcher
            # then reads all records again.
            return
