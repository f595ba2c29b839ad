"""Watches the keys under a prefix of the store."""

from collections.abc import Callable

import gevent

from heatherhatch_core.exceptions import RevisionCompactedError, StoreError

from ..events import Event, log
from ..transport.store import Entry, PolledStore, Snapshot
from .clock import now_s

RETRY_S = 0.2  # pause after a failed call
POLL_WAIT_S = 1.5  # maximum wait of one poll; the connection may go silent meanwhile
BURST_INTERVAL_S = 0.4  # of versions at shorter intervals, only the newest is read


class Feed:
    """Reads the entries under a prefix once and then polls for changes.

    Args:
        store: The platform's store.
        prefix: Prefix of the keys to watch.
        on_entry: Called with each entry that was written.
        on_deleted: Called with each key that was deleted.
        wait_s: How long one poll waits for a change, seconds.
        min_interval_s: Minimum time between two polls, seconds; changes are batched.
        newest_only: True if superseded versions may be skipped. Polls return every
            version, and a burst of large ones would saturate a slow link.
        read_all: Returns all entries under the prefix; by default a read of the store.
    """

    def __init__(
        self,
        store: PolledStore,
        prefix: str,
        on_entry: Callable[[Entry], None],
        on_deleted: Callable[[str], None],
        wait_s: float = POLL_WAIT_S,
        min_interval_s: float = 0.0,
        newest_only: bool = False,
        read_all: Callable[[], Snapshot] | None = None,
    ):
        self.store = store
        self.read_all = read_all or (lambda: store.range(prefix))
        self.prefix = prefix
        self.on_entry = on_entry
        self.on_deleted = on_deleted
        self.wait_s = wait_s
        self.min_interval_s = min_interval_s
        self.newest_only = newest_only
        self.in_burst = False
        self.last_change_s = float("-inf")
        self.revision = 0
        self.loaded = False
        self.revisions: dict[str, int] = {}
        self.last_response_s = float("-inf")
        self.failing_since_s = float("inf")
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to watch the prefix."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop watching."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
            self.greenlet = None

    def read(self) -> None:
        """Read the whole prefix; deletions since the last read are reported too."""
        sent_s = now_s()
        snapshot = self.read_all()
        self.revision = snapshot.revision
        found = {entry.key for entry in snapshot.entries}
        # Entries that report() added after the snapshot are not in it.
        known = [key for key, at in self.revisions.items() if at <= snapshot.revision]
        for key in known:
            if key not in found:
                del self.revisions[key]
                self._call(self.on_deleted, key)
        fresh = [entry for entry in snapshot.entries if self._is_new(entry)]
        for entry in fresh:
            self._report_entry(entry)
        self.in_burst = self.newest_only and self.loaded and bool(fresh)
        self.loaded = True
        self._note_answer(sent_s)

    def poll(self) -> None:
        """Poll for the next changes and report them."""
        sent_s = now_s()
        # After a failure, others are waiting for the first response, so it must not
        # be delayed.
        wait_s = self.wait_s if self.failing_since_s == float("inf") else 0.0
        changes = self.store.poll(self.prefix, self.revision, wait_s)
        self.revision = max(self.revision, changes.revision)
        for event in changes.events:
            if not event.deleted:
                self._report_entry(event.entry)
            elif self.revisions.get(event.entry.key, 0) < event.entry.revision:
                self.revisions.pop(event.entry.key, None)
                self._call(self.on_deleted, event.entry.key)
        if changes.events:
            keys = {event.entry.key for event in changes.events}
            frequent = now_s() - self.last_change_s < BURST_INTERVAL_S
            superseded = len(keys) < len(changes.events)
            self.in_burst = self.newest_only and (frequent or superseded)
            self.last_change_s = now_s()
        self._note_answer(sent_s)

    def report(self, entry: Entry) -> None:
        """Report an entry that another response showed, unless it is superseded."""
        known = self.revisions.get(entry.key, 0)
        # Up to its own revision, the feed knows of each entry that still exists.
        if entry.revision == known or entry.revision > max(known, self.revision):
            self.revisions[entry.key] = entry.revision
            self._call(self.on_entry, entry)

    def _is_new(self, entry: Entry) -> bool:
        return self.revisions.get(entry.key, 0) < entry.revision

    def _report_entry(self, entry: Entry) -> None:
        if self._is_new(entry):
            self.revisions[entry.key] = entry.revision
            self._call(self.on_entry, entry)

    def _call(self, callback: Callable, change: Entry | str) -> None:
        try:
            callback(change)
        except Exception as error:  # the changes after it must not be held up
            log(Event.TASK_FAILED, task=f"feed {self.prefix}", error=repr(error))

    def _run(self) -> None:
        while True:
            begun_s = now_s()
            try:
                if self.in_burst:
                    gevent.sleep(BURST_INTERVAL_S)
                    self.read()
                elif self.loaded:
                    self.poll()
                else:
                    self.read()
            except RevisionCompactedError:
                self.loaded = False
            except StoreError as error:
                self._note_failure(error)
                gevent.sleep(RETRY_S)
            except Exception as error:
                log(Event.TASK_FAILED, task=f"feed {self.prefix}", error=repr(error))
                # The same poll would fail again.
                self.loaded = False
                gevent.sleep(RETRY_S)
            gevent.sleep(max(0.0, begun_s + self.min_interval_s - now_s()))

    def _note_answer(self, sent_s: float) -> None:
        self.last_response_s = sent_s
        if self.failing_since_s != float("inf"):
            failed_for_s = round(now_s() - self.failing_since_s, 2)
            log(Event.FEED_BACK, prefix=self.prefix, after_s=failed_for_s)
            self.failing_since_s = float("inf")

    def _note_failure(self, error: StoreError) -> None:
        if self.failing_since_s == float("inf"):
            self.failing_since_s = now_s()
            log(Event.FEED_LOST, prefix=self.prefix, error=str(error))
        if self.newest_only:
            # A poll would return every version since the failure.
            self.loaded = False
