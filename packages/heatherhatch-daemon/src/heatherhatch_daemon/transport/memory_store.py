"""In-memory store without persistence, for a trial of one node and for tests."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
from gevent.event import Event as Signal
from gevent.queue import Queue
from sortedcontainers import SortedDict

from heatherhatch_core.exceptions import RevisionCompactedError, StoreError

from .store import (
    Changes,
    Entry,
    Outcome,
    PendingCalls,
    Snapshot,
    Transaction,
    WatchEvent,
    prefix_end,
)

MAX_HISTORY_EVENTS = 10_000


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Watcher:
    prefix: str
    queue: Queue


class MemoryStore:
    """Implements the semantics of the platform's store within one process.

    Args:
        clock: Returns monotonic seconds.

    Attributes:
        compacted_revision: Last revision whose changes may have left the history.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.revision = 0
        self.entries: SortedDict = SortedDict()
        self.history: deque[WatchEvent] = deque(maxlen=MAX_HISTORY_EVENTS)
        self.leases: dict[int, _Lease] = {}
        self.watchers: set[_Watcher] = set()
        self.next_lease = 1
        self.compacted_revision = 0
        self.changed = Signal()
        self.calls = 0
        self.bytes = 0

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if the key does not exist."""
        self._begin_call()
        return self.entries.get(key)

    def range(self, prefix: str, start: str = "", limit: int = 0) -> Snapshot:
        """Return the entries under a prefix, from the key ``start`` on."""
        self._begin_call()
        keys = list(
            self.entries.irange(start or prefix, prefix_end(prefix), (True, False))
        )
        if limit:
            keys = keys[:limit]
        return Snapshot(self.revision, tuple(self.entries[key] for key in keys))

    def transact(self, transaction: Transaction) -> Outcome:
        """Apply a transaction if its conditions hold."""
        self._begin_call()
        for expect in transaction.expects:
            entry = self.entries.get(expect.key)
            if (entry.revision if entry else 0) != expect.revision:
                keys = [item.key for item in transaction.expects]
                found = [self.entries[key] for key in keys if key in self.entries]
                return Outcome(False, self.revision, tuple(found))
        if any(put.lease and put.lease not in self.leases for put in transaction.puts):
            return Outcome(False, self.revision)
        self.revision += 1
        for put in transaction.puts:
            entry = Entry(put.key, put.value, self.revision, put.lease)
            self._write(entry)
        for key in transaction.deletes:
            self._delete(key)
        return Outcome(True, self.revision)

    def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        self._begin_call()
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = _Lease(ttl_s, self.clock() + ttl_s)
        return lease

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it does not exist any more."""
        self._begin_call()
        if lease not in self.leases:
            return False
        self.leases[lease].expires_s = self.clock() + self.leases[lease].ttl_s
        return True

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._begin_call()
        self._end_lease(lease)

    def watch(self, prefix: str, revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on.

        Raises:
            StoreError: If the history does not reach back to the revision.
        """
        self._begin_call()
        oldest_revision = self.history[0].entry.revision if self.history else revision
        if len(self.history) == MAX_HISTORY_EVENTS and revision < oldest_revision:
            raise StoreError(f"revision {revision} is compacted")
        watcher = _Watcher(prefix, Queue())
        for event in self.history:
            if event.entry.revision >= revision:
                self._send_to(watcher, event)
        self.watchers.add(watcher)
        try:
            while True:
                yield watcher.queue.get()
        finally:
            self.watchers.discard(watcher)

    def poll(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; wait until there is one.

        Returns no change if none comes within ``wait_s`` seconds.

        Raises:
            RevisionCompactedError: If the history does not reach back to the revision.
        """
        self._begin_call()
        if revision < self.compacted_revision:
            raise RevisionCompactedError(f"revision {revision} is compacted")
        with gevent.Timeout(wait_s, False):
            while not (found := self._events_after(prefix, revision)):
                self.changed.clear()
                self.changed.wait()
            return Changes(self.revision, found)
        # A change may have arrived just as the timeout expired.
        return Changes(self.revision, self._events_after(prefix, revision))

    def is_available(self) -> bool:
        """Return True: the memory is always available."""
        return True

    def is_receiving(self, prefix: str) -> bool:
        """Return False: changes take no time."""
        return False

    def is_answering(self, greenlet: gevent.Greenlet) -> bool:
        """Return False: answers take no time."""
        return False

    def is_transferring(self) -> bool:
        """Return False: answers take no time."""
        return False

    def abort_overdue(self, waited_s: float) -> int:
        """Return 0: calls only wait for changes, never for a response."""
        return 0

    def pending(self) -> PendingCalls:
        """Return that no call waits: answers take no time."""
        return PendingCalls()

    def compact(self) -> None:
        """Discard the history, as a store does that compacts it."""
        self.history.clear()
        self.compacted_revision = self.revision

    def _events_after(self, prefix, revision):
        return tuple(
            event
            for event in self.history
            if event.entry.revision > revision and event.entry.key.startswith(prefix)
        )

    def expire_leases(self) -> None:
        """End every expired lease and delete its keys."""
        now = self.clock()
        ended = [key for key, lease in self.leases.items() if lease.expires_s <= now]
        for lease in ended:
            self._end_lease(lease)

    def _begin_call(self):
        self.calls += 1
        self.expire_leases()

    def _end_lease(self, lease):
        ended = self.leases.pop(lease, None)
        if ended is None or not ended.keys:
            return
        self.revision += 1
        for key in sorted(ended.keys):
            self._delete(key)

    def _write(self, entry):
        self._detach_from_lease(entry.key)
        self.entries[entry.key] = entry
        if entry.lease:
            self.leases[entry.lease].keys.add(entry.key)
        self._publish(WatchEvent(entry, False))

    def _delete(self, key):
        if key not in self.entries:
            return
        self._detach_from_lease(key)
        del self.entries[key]
        self._publish(WatchEvent(Entry(key, b"", self.revision), True))

    def _detach_from_lease(self, key):
        entry = self.entries.get(key)
        if entry is not None and entry.lease in self.leases:
            self.leases[entry.lease].keys.discard(key)

    def _publish(self, event):
        if len(self.history) == MAX_HISTORY_EVENTS:
            self.compacted_revision = self.history[0].entry.revision
        self.history.append(event)
        self.changed.set()
        for watcher in self.watchers:
            self._send_to(watcher, event)

    def _send_to(self, watcher, event):
        if event.entry.key.startswith(watcher.prefix):
            watcher.queue.put(event)
