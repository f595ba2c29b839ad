"""Reads a pool's jobs and their progress for its holder."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json
from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.work import Job, Progress

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .clock import now_s
from .committer import Committer
from .feed import Feed
from .keys import CANCEL_SUFFIX, jobs_prefix, runs_prefix


class PoolRecords:
    """Hands what earlier holders stored, and new jobs, to the scheduler.

    Args:
        store: The platform's store.
        pool: The pool.
        scheduler: The pool's scheduler.
        committer: Has to know the revisions that it replaces.
        wake: Called when something has come.
    """

    def __init__(
        self,
        store: PolledStore,
        pool: str,
        scheduler: Scheduler,
        committer: Committer,
        wake: Callable[[], None],
    ):
        self.store = store
        self.pool = pool
        self.scheduler = scheduler
        self.committer = committer
        self.wake = wake
        self.early: dict[str, Progress] = {}
        self.jobs = Feed(store, jobs_prefix(pool), self._see_job, self._miss_job)

    def load(self, token: int) -> bool:
        """Read what earlier holders stored; return False if that failed."""
        try:
            snapshot = self.store.range(runs_prefix(self.pool))
            for entry in snapshot.entries:
                self._see_progress(entry)
            self.jobs.read()
        except StoreError as error:
            log(Event.FEED_LOST, prefix=runs_prefix(self.pool), error=str(error))
            return False
        log(
            Event.POOL_LOADED,
            pool=self.pool,
            token=token,
            jobs=len(self.scheduler.state.jobs),
            begun=len(snapshot.entries),
        )
        return True

    def start(self) -> None:
        """Follow new jobs and cancellations from here on."""
        self.jobs.start()

    def stop(self) -> None:
        """Stop following them."""
        self.jobs.stop()

    def _see_progress(self, entry: Entry) -> None:
        job_id = entry.key.removeprefix(runs_prefix(self.pool))
        self.early[job_id] = decode_json(entry.value, Progress)
        self.committer.revisions[job_id] = entry.revision

    def _see_job(self, entry: Entry) -> None:
        job_id = entry.key.removeprefix(jobs_prefix(self.pool))
        if job_id.endswith(CANCEL_SUFFIX):
            job_id = job_id.removesuffix(CANCEL_SUFFIX)
            self.committer.cancels.add(job_id)
            self.scheduler.cancel(job_id, now_s())
        else:
            job = decode_json(entry.value, Job)
            self.scheduler.add_job(job, self.early.pop(job_id, None), now_s())
            if job_id in self.committer.cancels:
                self.scheduler.cancel(job_id, now_s())
        self.wake()

    def _miss_job(self, key: str) -> None:
        # Only this node deletes jobs of the pool, once they are final.
        return
