"""Records of long jobs in the store: group commit, lists, cancellation."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination import attempts
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.jobs import ENDED_PREFIX, JOBS_PREFIX, Job

from ..transport.store import Entry, Expect, Put, Store, Transaction

GROUP_WINDOW_S = 0.01
BATCH_JOBS = 60
PAGE_JOBS = 500
COMMIT_ATTEMPTS = 4
COMMIT_RETRY_PAUSE_S = 0.1
ENDED_LEASE_PERIOD_S = 3600.0


def job_of(entry: Entry) -> Job:
    """Decode the job in a store entry."""
    return decode_json(entry.value, Job)


def live_key(job_id: str) -> str:
    """Return the store key of a live job."""
    return JOBS_PREFIX + job_id


def ended_key(job_id: str) -> str:
    """Return the store key of an ended job."""
    return ENDED_PREFIX + job_id


@dataclass(frozen=True, slots=True)
class Update:
    """A change of a live job's record.

    Attributes:
        before: The job as it was read.
        revision: Store revision at which it was read.
        after: The job as it is to be written.
    """

    before: Job
    revision: int
    after: Job


@dataclass(slots=True)
class _PendingSubmission:
    job: Job
    result: AsyncResult = field(default_factory=AsyncResult)


class JobRecords:
    """Reads and writes job records.

    An ended job moves out of the prefix that the dispatcher reads. It stays
    readable for at least ``keep_s``: the records of ended jobs are attached to
    store leases, one lease an hour, and the store deletes them when their lease
    expires.

    Args:
        store: The platform's store.
        keep_s: Seconds for which an ended job stays readable.
        clock: Returns monotonic seconds.
    """

    def __init__(self, store: Store, keep_s: float, clock: Callable[[], float]):
        self.store = store
        self.keep_s = keep_s
        self.clock = clock
        self.ended_lease = 0
        self.ended_lease_until_s = float("-inf")

    def find(self, job_id: str) -> Entry | None:
        """Return the record of a job, live or ended, or None.

        The live record is read first. A job that ends between the two reads is
        then found as ended.
        """
        return self.store.get(live_key(job_id)) or self.store.get(ended_key(job_id))

    def pages(self, prefix: str, after: str = "") -> Iterable[tuple[Entry, ...]]:
        """Yield the records under a prefix in pages, in the order of their keys."""
        start = after + "\0" if after else ""
        while True:
            entries = self.store.range(prefix, start, PAGE_JOBS).entries
            if entries:
                yield entries
            if len(entries) < PAGE_JOBS:
                return
            start = entries[-1].key + "\0"

    def create(self, jobs: list[Job]) -> bool:
        """Record new jobs in one transaction; return False if any of them exists."""
        expects = []
        for job in jobs:
            expects.append(Expect(live_key(job.job_id), 0))
            expects.append(Expect(ended_key(job.job_id), 0))
        puts = tuple(Put(live_key(job.job_id), encode_json(job)) for job in jobs)
        return self.store.transact(Transaction(tuple(expects), puts)).succeeded

    def transaction(
        self,
        updates: list[Update],
        expects: tuple[Expect, ...] = (),
        puts: tuple[Put, ...] = (),
    ) -> Transaction:
        """Return a transaction that applies all the updates or none.

        Args:
            updates: Changes of live jobs.
            expects: Additional conditions.
            puts: Additional writes.
        """
        checks = [
            Expect(live_key(item.before.job_id), item.revision) for item in updates
        ]
        writes = [self._put_of(item.after) for item in updates]
        deletes = [live_key(item.after.job_id) for item in updates if item.after.ended]
        return Transaction((*expects, *checks), (*puts, *writes), tuple(deletes))

    def cancel(self, entries: list[Entry], now_s: float) -> int:
        """Cancel live jobs and return for how many the cancellation was recorded.

        A job that has changed since it was read is read again and retried.
        """
        cancelled_count = 0
        for first in range(0, len(entries), BATCH_JOBS):
            cancelled_count += self._cancel_batch(
                entries[first : first + BATCH_JOBS], now_s
            )
        return cancelled_count

    def _cancel_batch(self, entries: list[Entry], now_s: float) -> int:
        updates = []
        for entry in entries:
            job = job_of(entry)
            after = attempts.cancel(job, now_s)
            if after != job:
                updates.append(Update(job, entry.revision, after))
        if not updates or self.store.transact(self.transaction(updates)).succeeded:
            return len(entries)
        if len(entries) > 1:
            half = len(entries) // 2
            first = self._cancel_batch(entries[:half], now_s)
            return first + self._cancel_batch(entries[half:], now_s)
        reread = self.store.get(entries[0].key)
        return 0 if reread is None else self._cancel_batch([reread], now_s)

    def _put_of(self, job: Job) -> Put:
        if not job.ended:
            return Put(live_key(job.job_id), encode_json(job))
        return Put(ended_key(job.job_id), encode_json(job), self._lease_for_ended())

    def _lease_for_ended(self) -> int:
        if self.clock() >= self.ended_lease_until_s:
            sent_s = self.clock()
            self.ended_lease = self.store.grant_lease(
                round(self.keep_s + ENDED_LEASE_PERIOD_S)
            )
            self.ended_lease_until_s = sent_s + ENDED_LEASE_PERIOD_S
        return self.ended_lease


class GroupCommit:
    """Records the submissions of many callers in one transaction.

    A caller waits for the transaction that contains its job. No job is
    acknowledged before the store has recorded it.

    Args:
        records: Job records in the store.
        pause: Sleeps for a number of seconds.
    """

    def __init__(
        self, records: JobRecords, pause: Callable[[float], None] = gevent.sleep
    ):
        self.records = records
        self.pause = pause
        self.pending: Queue = Queue()
        self.greenlet: gevent.Greenlet | None = None

    def submit(self, job: Job) -> Job:
        """Record a job, or return the one that was recorded under its id before.

        Raises:
            HeatherhatchError: ``KEY_REUSED`` if the id belongs to another
                submission, ``CHANGE_UNKNOWN`` if the outcome is not known.
        """
        if self.greenlet is None:
            self.greenlet = gevent.spawn(self._run)
        item = _PendingSubmission(job)
        self.pending.put(item)
        return item.result.get()

    def commit(self, jobs: list[Job]) -> dict[str, Job | HeatherhatchError]:
        """Record jobs and return the recorded job or the error of each, by job id."""
        unknown = False
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                self.pause(COMMIT_RETRY_PAUSE_S)
            try:
                return self._try_commit(jobs)
            except StoreError as error:
                # The write may have taken effect. The ids stay the same, so the
                # next attempt finds the records instead of creating them twice.
                unknown = unknown or error.maybe_applied
                failure = error
        if unknown:
            failure = HeatherhatchError(ErrorKind.CHANGE_UNKNOWN, failure.detail)
        return {job.job_id: failure for job in jobs}

    def _try_commit(self, jobs: list[Job]) -> dict[str, Job | HeatherhatchError]:
        if self.records.create(jobs):
            return {job.job_id: job for job in jobs}
        results: dict[str, Job | HeatherhatchError] = {}
        missing = []
        for job in jobs:
            entry = self.records.find(job.job_id)
            if entry is None:
                missing.append(job)
            else:
                results[job.job_id] = _checked_resend(job, job_of(entry))
        if missing:
            results.update(self._try_commit(missing))
        return results

    def _run(self) -> None:
        while True:
            batch = [self.pending.get()]
            self.pause(GROUP_WINDOW_S)
            while len(batch) < BATCH_JOBS:
                try:
                    batch.append(self.pending.get_nowait())
                except Empty:
                    break
            # Submissions with the same key in one window are the same job.
            jobs = {item.job.job_id: item.job for item in reversed(batch)}
            results = self._commit_all(list(jobs.values()))
            for item in batch:
                _deliver(item, results[item.job.job_id])

    def _commit_all(self, jobs: list[Job]) -> dict[str, Job | HeatherhatchError]:
        try:
            return self.commit(jobs)
        except Exception as error:
            failure = HeatherhatchError(ErrorKind.INTERNAL, repr(error))
            return {job.job_id: failure for job in jobs}


def _deliver(item: _PendingSubmission, result: Job | HeatherhatchError) -> None:
    if isinstance(result, Job):
        result = _checked_resend(item.job, result)
    if isinstance(result, HeatherhatchError):
        item.result.set_exception(result)
    else:
        item.result.set(result)


def _checked_resend(job: Job, recorded: Job) -> Job | HeatherhatchError:
    if recorded.spec == job.spec and recorded.team == job.team:
        return recorded
    return HeatherhatchError(ErrorKind.KEY_REUSED, f"job {recorded.job_id}")
