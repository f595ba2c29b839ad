"""Stores the progress of a pool's jobs, many in one transaction."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.pool import Pool as GreenletPool

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import JobWrite
from heatherhatch_core.exceptions import LeaseGoneError, StoreError

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Put, Transaction
from .keys import cancel_key, job_key, run_key, status_key

ENTRIES_MOST = 30  # the store takes 32 in one transaction; one is the claim's
JOBS_IN_BATCH = 6  # fewest jobs that fill a transaction: five entries for each
SIDE_BY_SIDE = 6  # transactions under way, so that a slow store delays less
RETRY_S = 0.15  # pause before a write without an answer is repeated


@dataclass(frozen=True, slots=True)
class Batch:
    """Writes of one transaction.

    Attributes:
        writes: The jobs' writes.
        transaction: What is sent.
        values: New content of each key of progress; None if it is deleted.
    """

    writes: tuple[JobWrite, ...]
    transaction: Transaction
    values: dict[str, bytes | None]


class Committer:
    """Writes progress under the condition that this node has the pool.

    Each write also names the revision that it replaces, so that one that is
    done late can't undo a newer one.

    Args:
        store: The platform's store.
        pool: Name of the pool.
        claim: Returns the condition of the claim.
        holds: Tells whether the claim may still be this node's.
        on_stored: Called with the writes that are stored.
        on_conflict: Called if another node has written.
    """

    def __init__(
        self,
        store: PolledStore,
        pool: str,
        claim: Callable[[], Expect],
        holds: Callable[[], bool],
        on_stored: Callable[[tuple[JobWrite, ...]], None],
        on_conflict: Callable[[str], None],
    ):
        self.store = store
        self.pool = pool
        self.claim = claim
        self.holds = holds
        self.on_stored = on_stored
        self.on_conflict = on_conflict
        self.revisions: dict[str, int] = {}
        self.cancels: set[str] = set()
        self.greenlets = GreenletPool(SIDE_BY_SIDE)

    def room(self) -> int:
        """Return how many jobs' progress may be submitted now."""
        return self.greenlets.free_count() * JOBS_IN_BATCH

    def submit(self, writes: list[JobWrite]) -> None:
        """Store some jobs' progress; no more than there is room for.

        This never waits: it is also called from a write that has just ended.
        """
        for batch in self._batches(writes):
            self.greenlets.start(gevent.Greenlet(self._commit, batch))

    def stop(self) -> None:
        """Give up what is under way."""
        self.greenlets.kill(block=False)

    def _batches(self, writes: list[JobWrite]) -> list[Batch]:
        batches = []
        group: list[JobWrite] = []
        size = 0
        for write in writes:
            entries = self._entries(write)
            if group and size + entries > ENTRIES_MOST:
                batches.append(self._batch(group))
                group, size = [], 0
            group.append(write)
            size += entries
        if group:
            batches.append(self._batch(group))
        return batches

    def _entries(self, write: JobWrite) -> int:
        final = write.status is not None and write.status.phase.final
        return 5 if final else 3

    def _batch(self, writes: list[JobWrite]) -> Batch:
        expects = [self.claim()]
        puts = []
        deletes = []
        values: dict[str, bytes | None] = {}
        for write in writes:
            key = run_key(self.pool, write.job_id)
            revision = self.revisions.get(write.job_id, 0)
            expects.append(Expect(key, revision))
            if write.status is not None:
                puts.append(Put(status_key(write.job_id), encode_json(write.status)))
            if write.status is not None and write.status.phase.final:
                values[key] = None
                deletes.append(job_key(self.pool, write.job_id))
                if revision:
                    deletes.append(key)
                if write.job_id in self.cancels:
                    deletes.append(cancel_key(self.pool, write.job_id))
            else:
                value = encode_json(write.progress)
                values[key] = value
                puts.append(Put(key, value))
        transaction = Transaction(tuple(expects), tuple(puts), tuple(deletes))
        return Batch(tuple(writes), transaction, values)

    def _commit(self, batch: Batch) -> None:
        tries = 0
        while self.holds():
            tries += 1
            try:
                outcome = self.store.transact(batch.transaction)
            except LeaseGoneError as error:
                self.on_conflict(str(error))
                return
            except StoreError as error:
                if tries == 1:
                    log(
                        Event.WRITE_FAILED,
                        pool=self.pool,
                        jobs=len(batch.writes),
                        maybe_applied=error.maybe_applied,
                        error=str(error),
                    )
                gevent.sleep(RETRY_S)
                continue
            if outcome.succeeded:
                self._note_stored(batch, outcome.revision)
            elif tries > 1 and self._was_applied(batch, outcome.entries):
                found = {entry.key: entry.revision for entry in outcome.entries}
                self._note_stored(batch, 0, found)
            else:
                self.on_conflict(_differences(batch, outcome.entries))
            return

    def _was_applied(self, batch: Batch, entries: tuple[Entry, ...]) -> bool:
        found = {entry.key: entry for entry in entries}
        claim = self.claim()
        held = found.get(claim.key)
        if held is None or held.revision != claim.revision:
            return False
        return all(
            (found[key].value if key in found else None) == value
            for key, value in batch.values.items()
        )

    def _note_stored(
        self, batch: Batch, revision: int, found: dict[str, int] | None = None
    ) -> None:
        for write in batch.writes:
            key = run_key(self.pool, write.job_id)
            if batch.values[key] is None:
                self.revisions.pop(write.job_id, None)
                self.cancels.discard(write.job_id)
            else:
                self.revisions[write.job_id] = found[key] if found else revision
        self.on_stored(batch.writes)


def _differences(batch: Batch, entries: tuple[Entry, ...]) -> str:
    """Return which conditions of a batch failed."""
    found = {entry.key: entry.revision for entry in entries}
    return "; ".join(
        f'"{expect.key}" is at {found.get(expect.key, 0)}, not {expect.revision}'
        for expect in batch.transaction.expects
        if found.get(expect.key, 0) != expect.revision
    )
