"""Reads a pool's jobs and their progress for its holder."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
from heatherhatch_core.state.work import Job, Progress

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .clock import now_s
from .committer import Committer
from .feed import Feed
from .keys import CANCEL_SUFFIX, jobs_prefix, runs_prefix
from .learned_run_times import LearnedRunTimes


class PoolRecords:
    """Passes stored and new jobs, their progress and cancellations to the scheduler.

    It also keeps the learned run times of the pool in the store.

    A job is left alone if its record or its progress cannot be decoded; the other
    jobs of the pool are not affected.

    Args:
        store: The platform's store.
        pool: The pool.
        scheduler: The pool's scheduler.
        committer: Receives the revisions that its writes replace, and cancellations.
        wake: Called after a new job or a cancellation was passed on.
        on_error: Called with the reason if the scheduler does not accept a record, so
            that its state may be incomplete.
    """

    def __init__(
        self,
        store: PolledStore,
        pool: str,
        scheduler: Scheduler,
        committer: Committer,
        wake: Callable[[], None],
        on_error: Callable[[str], None],
    ):
        self.store = store
        self.pool = pool
        self.scheduler = scheduler
        self.committer = committer
        self.wake = wake
        self.on_error = on_error
        self.loaded_progress: dict[str, Progress] = {}
        self.unreadable_progress: set[str] = set()
        self.learned = LearnedRunTimes(
            store, pool, scheduler.state.run_times, committer.claim, committer.holds
        )
        self.jobs = Feed(
            store, jobs_prefix(pool), self._on_written, self._on_job_deleted
        )

    def load(self, token: int) -> bool:
        """Load the records of earlier holders; return False if the store failed."""
        try:
            snapshot = self.store.range(runs_prefix(self.pool))
            for entry in snapshot.entries:
                self._load_progress(entry)
            self.jobs.read()
        except StoreError as error:
            log(Event.FEED_LOST, prefix=runs_prefix(self.pool), error=str(error))
            return False
        self.learned.load()
        log(
            Event.POOL_LOADED,
            pool=self.pool,
            token=token,
            jobs=len(self.scheduler.state.jobs),
            begun=len(snapshot.entries),
        )
        return True

    def start(self) -> None:
        """Start to watch for new jobs and cancellations, and to write run times."""
        self.jobs.start()
        self.learned.start()

    def stop(self) -> None:
        """Stop watching for new jobs and cancellations, and writing run times."""
        self.jobs.stop()
        self.learned.stop()

    def _load_progress(self, entry: Entry) -> None:
        job_id = entry.key.removeprefix(runs_prefix(self.pool))
        self.committer.revisions[job_id] = entry.revision
        try:
            self.loaded_progress[job_id] = decode_json(entry.value, Progress)
        except HeatherhatchError as error:
            # Runs of the job may be alive under numbers that are not known.
            self.unreadable_progress.add(job_id)
            log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)

    def _on_written(self, entry: Entry) -> None:
        try:
            self._pass_on(entry)
        except Exception as error:
            log(Event.TASK_FAILED, task=f"jobs of {self.pool}", error=repr(error))
            self.on_error(f'record "{entry.key}" was not accepted: {error!r}')

    def _pass_on(self, entry: Entry) -> None:
        job_id = entry.key.removeprefix(jobs_prefix(self.pool))
        if job_id.endswith(CANCEL_SUFFIX):
            job_id = job_id.removesuffix(CANCEL_SUFFIX)
            self.committer.cancels.add(job_id)
            self.scheduler.cancel(job_id, now_s())
        elif job_id not in self.unreadable_progress:
            self._add_job(job_id, entry)
        self.wake()

    def _add_job(self, job_id: str, entry: Entry) -> None:
        try:
            job = decode_json(entry.value, Job)
        except HeatherhatchError as error:
            log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)
            return
        self.scheduler.add_job(job, self.loaded_progress.pop(job_id, None), now_s())
        if job_id in self.committer.cancels:
            self.scheduler.cancel(job_id, now_s())

    def _on_job_deleted(self, key: str) -> None:
        # Only this node deletes the pool's jobs, once they are final.
        return
