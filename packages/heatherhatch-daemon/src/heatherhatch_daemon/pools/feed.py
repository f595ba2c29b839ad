"""Follows the keys under a prefix of the store."""

from collections.abc import Callable

import gevent

from heatherhatch_core.exceptions import HistoryLostError, StoreError

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .clock import now_s

RETRY_S = 0.2  # pause after a call that failed
WAIT_S = 1.5  # how long one poll waits; a connection may fall silent meanwhile
CROWDED_S = 0.4  # versions that follow each other faster are read as one


class Feed:
    """Reads a prefix once and then polls for its changes.

    Args:
        store: The platform's store.
        prefix: Prefix to follow.
        on_entry: Called with each entry that was written.
        on_gone: Called with each key that was deleted.
        wait_s: How long one poll waits for a change, seconds.
        pace_s: Least time between two polls, so that changes come together.
        newest_only: True if a version that was overtaken need not be seen. Polls
            bring each of them; a storm of large ones would fill a slow link.
    """

    def __init__(
        self,
        store: PolledStore,
        prefix: str,
        on_entry: Callable[[Entry], None],
        on_gone: Callable[[str], None],
        wait_s: float = WAIT_S,
        pace_s: float = 0.0,
        newest_only: bool = False,
    ):
        self.store = store
        self.prefix = prefix
        self.on_entry = on_entry
        self.on_gone = on_gone
        self.wait_s = wait_s
        self.pace_s = pace_s
        self.newest_only = newest_only
        self.crowded = False
        self.changed_s = float("-inf")
        self.revision = 0
        self.loaded = False
        self.known: dict[str, int] = {}
        self.fresh_s = float("-inf")
        self.failing_since_s = float("inf")
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Follow the prefix from here on."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
            self.greenlet = None

    def read(self) -> None:
        """Read the prefix as a whole; what is gone since is reported too."""
        asked_s = now_s()
        snapshot = self.store.range(self.prefix)
        found = {entry.key for entry in snapshot.entries}
        for key in [key for key in self.known if key not in found]:
            del self.known[key]
            self.on_gone(key)
        fresh = [entry for entry in snapshot.entries if self._is_new(entry)]
        for entry in fresh:
            self._take(entry)
        self.crowded = self.newest_only and self.loaded and bool(fresh)
        self.revision = snapshot.revision
        self.loaded = True
        self._note_answer(asked_s)

    def poll(self) -> None:
        """Wait for the next changes and report them."""
        asked_s = now_s()
        # After a failure the first answer is awaited by others, so it comes at once.
        wait_s = self.wait_s if self.failing_since_s == float("inf") else 0.0
        changes = self.store.poll(self.prefix, self.revision, wait_s)
        for event in changes.events:
            if not event.deleted:
                self._take(event.entry)
            elif self.known.get(event.entry.key, 0) < event.entry.revision:
                self.known.pop(event.entry.key, None)
                self.on_gone(event.entry.key)
        self.revision = max(self.revision, changes.revision)
        if changes.events:
            keys = {event.entry.key for event in changes.events}
            often = now_s() - self.changed_s < CROWDED_S
            overtaken = len(keys) < len(changes.events)
            self.crowded = self.newest_only and (often or overtaken)
            self.changed_s = now_s()
        self._note_answer(asked_s)

    def _is_new(self, entry: Entry) -> bool:
        return self.known.get(entry.key, 0) < entry.revision

    def _take(self, entry: Entry) -> None:
        if self._is_new(entry):
            self.known[entry.key] = entry.revision
            self.on_entry(entry)

    def _run(self) -> None:
        while True:
            begun_s = now_s()
            try:
                if self.crowded:
                    gevent.sleep(CROWDED_S)
                    self.read()
                elif self.loaded:
                    self.poll()
                else:
                    self.read()
            except HistoryLostError:
                self.loaded = False
            except StoreError as error:
                self._note_failure(error)
                gevent.sleep(RETRY_S)
            except Exception as error:  # a fault in a callback must not end the feed
                log(Event.TASK_FAILED, task=f"feed {self.prefix}", error=repr(error))
                gevent.sleep(RETRY_S)
            gevent.sleep(max(0.0, begun_s + self.pace_s - now_s()))

    def _note_answer(self, asked_s: float) -> None:
        self.fresh_s = asked_s
        if self.failing_since_s != float("inf"):
            lost_s = round(now_s() - self.failing_since_s, 2)
            log(Event.FEED_BACK, prefix=self.prefix, after_s=lost_s)
            self.failing_since_s = float("inf")

    def _note_failure(self, error: StoreError) -> None:
        if self.failing_since_s == float("inf"):
            self.failing_since_s = now_s()
            log(Event.FEED_LOST, prefix=self.prefix, error=str(error))
