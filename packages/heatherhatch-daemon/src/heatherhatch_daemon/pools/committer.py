"""Stores the progress of a pool's jobs, many in one transaction."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.pool import Pool as GreenletPool

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import JobWrite
from heatherhatch_core.exceptions import LeaseExpiredError, StoreError

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Put, Transaction
from .keys import cancel_key, job_key, run_key, shown_status_key

# The store accepts 32 in one transaction; one is for the claim and one for the record
# of a job.
MAX_ENTRIES_PER_BATCH = 30
JOBS_PER_BATCH = 6  # fewest jobs that fill a transaction: at most five entries each
MAX_CONCURRENT_TRANSACTIONS = 6  # more than 1, so that a slow store delays less
RETRY_S = 0.15  # pause before a write without a response is retried


@dataclass(frozen=True, slots=True)
class Batch:
    """Writes of several jobs that are stored in one transaction.

    Attributes:
        writes: The writes, one for each job.
        transaction: The transaction that is sent to the store.
        values: New value of each progress key; None if the key is deleted.
    """

    writes: tuple[JobWrite, ...]
    transaction: Transaction
    values: dict[str, bytes | None]


class Committer:
    """Writes progress on the condition that this node holds the pool's claim.

    Each write also expects the revision that it replaces, so that a write that
    is applied late cannot overwrite a newer one. A job's first write expects that
    there is none; it could be applied again after the end of the job, which deletes
    the progress. A transaction of first writes therefore expects the record of a job,
    which is deleted with the progress.

    Args:
        store: The platform's store.
        pool: Name of the pool.
        claim: Returns the condition that this node holds the claim.
        holds: Returns whether this node may still hold the claim.
        on_stored: Called with the writes that have been stored.
        on_conflict: Called with the reason if the store rejected a write.
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
        self.job_revisions: dict[str, int] = {}
        self.cancels: set[str] = set()
        self.greenlets = GreenletPool(MAX_CONCURRENT_TRANSACTIONS)

    def free_capacity(self) -> int:
        """Return how many jobs' progress may be submitted now."""
        return self.greenlets.free_count() * JOBS_PER_BATCH

    def submit(self, writes: list[JobWrite]) -> None:
        """Store the progress of some jobs, at most as many as `free_capacity` returns.

        This never blocks, since it is also called from a write that has just ended.
        """
        for batch in self._batches(writes):
            self.greenlets.start(gevent.Greenlet(self._commit, batch))

    def stop(self) -> None:
        """Abandon the transactions that are in flight."""
        self.greenlets.kill(block=False)

    def _batches(self, writes: list[JobWrite]) -> list[Batch]:
        batches = []
        group: list[JobWrite] = []
        entry_count = 0
        for write in writes:
            entries = self._entry_count(write)
            if group and entry_count + entries > MAX_ENTRIES_PER_BATCH:
                batches.append(self._batch(group))
                group, entry_count = [], 0
            group.append(write)
            entry_count += entries
        if group:
            batches.append(self._batch(group))
        return batches

    def _entry_count(self, write: JobWrite) -> int:
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
                shown_key = shown_status_key(write.job_id, write.status)
                puts.append(Put(shown_key, encode_json(write.status)))
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
        if not any(self.revisions.get(write.job_id) for write in writes):
            expects += self._job_expect(writes)
        transaction = Transaction(tuple(expects), tuple(puts), tuple(deletes))
        return Batch(tuple(writes), transaction, values)

    def _job_expect(self, writes: list[JobWrite]) -> list[Expect]:
        """Return the condition that a job's record exists; none if no one is known."""
        for write in writes:
            revision = self.job_revisions.get(write.job_id)
            if revision:
                return [Expect(job_key(self.pool, write.job_id), revision)]
        return []

    def _commit(self, batch: Batch) -> None:
        try:
            self._store(batch)
        except Exception as error:
            # The jobs of the batch count as being written and must be read again.
            log(Event.TASK_FAILED, task=f"writes of {self.pool}", error=repr(error))
            self.on_conflict(f"writes ended with an error: {error!r}")

    def _store(self, batch: Batch) -> None:
        tries = 0
        while self.holds():
            tries += 1
            try:
                outcome = self.store.transact(batch.transaction)
            except LeaseExpiredError as error:
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
                self._record_stored(batch, outcome.revision)
            elif tries > 1 and self._was_applied(batch, outcome.entries):
                found = {entry.key: entry.revision for entry in outcome.entries}
                self._record_stored(batch, 0, found)
            else:
                self.on_conflict(_failed_conditions(batch, outcome.entries))
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

    def _record_stored(
        self, batch: Batch, revision: int, found: dict[str, int] | None = None
    ) -> None:
        for write in batch.writes:
            key = run_key(self.pool, write.job_id)
            if batch.values[key] is None:
                self.revisions.pop(write.job_id, None)
                self.job_revisions.pop(write.job_id, None)
                self.cancels.discard(write.job_id)
            else:
                self.revisions[write.job_id] = found[key] if found else revision
        self.on_stored(batch.writes)


def _failed_conditions(batch: Batch, entries: tuple[Entry, ...]) -> str:
    """Return which conditions of a batch failed."""
    found = {entry.key: entry.revision for entry in entries}
    return "; ".join(
        f'"{expect.key}" is at {found.get(expect.key, 0)}, not {expect.revision}'
        for expect in batch.transaction.expects
        if found.get(expect.key, 0) != expect.revision
    )
