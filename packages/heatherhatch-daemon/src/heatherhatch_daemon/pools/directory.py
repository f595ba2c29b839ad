"""The workers that are registered in the store."""

from collections.abc import Callable

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .feed import Feed
from .ports import DirectoryEntry, OperatorRecords

WAIT_S = 2.0  # workers write about every heartbeat, so a poll rarely waits longer
PACE_S = 0.25  # heartbeats of many workers are read together


class Directory:
    """Follows the directory of workers while this node runs a pool.

    Args:
        store: The platform's store.
        records: Where the entries lie and how they are read.
        on_worker: Called with each entry that can be used.
        on_gone: Called with the identifier of each worker that is gone.
    """

    def __init__(
        self,
        store: PolledStore,
        records: OperatorRecords,
        on_worker: Callable[[DirectoryEntry], None],
        on_gone: Callable[[str], None],
    ):
        self.records = records
        self.on_worker = on_worker
        self.on_gone = on_gone
        self.entries: dict[str, DirectoryEntry] = {}
        self.skipped: set[str] = set()
        self.feed = Feed(
            store, records.worker_prefix, self._see, self._miss, WAIT_S, PACE_S
        )

    def start(self) -> None:
        """Follow the directory from here on."""
        if self.feed.greenlet is None:
            self.feed.start()

    def stop(self) -> None:
        """Stop following it."""
        self.feed.stop()

    def _see(self, entry: Entry) -> None:
        worker_id = entry.key.removeprefix(self.records.worker_prefix)
        found = self.records.read_worker(worker_id, entry.value)
        if found is None:
            if worker_id not in self.skipped:
                self.skipped.add(worker_id)
                log(Event.RECORD_SKIPPED, key=entry.key, revision=entry.revision)
            # It names no worker to use; what was known of one is not touched.
            return
        self.entries[worker_id] = found
        self.on_worker(found)

    def _miss(self, key: str) -> None:
        worker_id = key.removeprefix(self.records.worker_prefix)
        if self.entries.pop(worker_id, None) is not None:
            self.on_gone(worker_id)
