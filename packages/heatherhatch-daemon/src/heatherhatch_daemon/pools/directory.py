"""Watches the directory of workers in the store."""

from collections.abc import Callable

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .clock import now_s
from .feed import Feed
from .ports import DirectoryEntry, OperatorRecords

POLL_WAIT_S = 1.5  # workers write at heartbeats, so a poll rarely waits longer
MAX_AGE_S = 4.0  # the platform allows 4.5 s until a shrunk capacity must be known
POLL_INTERVAL_S = 0.25  # heartbeats of many workers are read together


class Directory:
    """Watches the directory of workers while this node holds a pool.

    Args:
        store: The platform's store.
        records: Key prefix and decoder of the entries.
        on_worker: Called with each entry that can be decoded.
        on_deleted: Called with the identifier of each worker whose entry was deleted.
    """

    def __init__(
        self,
        store: PolledStore,
        records: OperatorRecords,
        on_worker: Callable[[DirectoryEntry], None],
        on_deleted: Callable[[str], None],
    ):
        self.records = records
        self.on_worker = on_worker
        self.on_deleted = on_deleted
        self.entries: dict[str, DirectoryEntry] = {}
        self.skipped: set[str] = set()
        self.feed = Feed(
            store,
            records.worker_prefix,
            self._on_entry,
            self._on_delete,
            POLL_WAIT_S,
            POLL_INTERVAL_S,
        )

    def start(self) -> None:
        """Start watching the directory."""
        if self.feed.greenlet is None:
            self.feed.start()

    def stop(self) -> None:
        """Stop watching the directory."""
        self.feed.stop()

    def is_recent(self) -> bool:
        """Return whether the entries are recent enough to start runs by them."""
        return now_s() - self.feed.last_response_s <= MAX_AGE_S

    def _on_entry(self, entry: Entry) -> None:
        worker_id = entry.key.removeprefix(self.records.worker_prefix)
        worker = self.records.read_worker(worker_id, entry.value)
        if worker is None:
            if worker_id not in self.skipped:
                self.skipped.add(worker_id)
                log(Event.RECORD_SKIPPED, key=entry.key, revision=entry.revision)
            # The entry cannot be used; an earlier entry of the worker stays in use.
            return
        self.entries[worker_id] = worker
        self.on_worker(worker)

    def _on_delete(self, key: str) -> None:
        worker_id = key.removeprefix(self.records.worker_prefix)
        if self.entries.pop(worker_id, None) is not None:
            self.on_deleted(worker_id)
