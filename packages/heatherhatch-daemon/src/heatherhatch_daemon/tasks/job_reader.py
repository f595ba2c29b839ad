"""Reads live jobs from the store into the state of the dispatcher."""

from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.state.jobs import JOBS_PREFIX

from .job_feed import JobFeed
from .job_records import PAGE_JOBS, JobRecords, job_of


class JobReader:
    """Reads all live jobs once and then applies their changes.

    Args:
        records: Job records in the store.
        feed: Watch on the job records.
    """

    def __init__(self, records: JobRecords, feed: JobFeed):
        self.records = records
        self.feed = feed

    def read(self, dispatch: Dispatch) -> None:
        """Apply every change of a live job since the last call.

        Args:
            dispatch: State of all live jobs, which is updated.

        Raises:
            StoreError: If the store does not answer.
        """
        if self.feed.needs_relist:
            self._list(dispatch)
        for event in self.feed.take():
            job_id = event.entry.key.removeprefix(JOBS_PREFIX)
            if event.deleted:
                dispatch.drop(job_id)
            else:
                dispatch.put(job_of(event.entry), event.entry.revision)

    def _list(self, dispatch: Dispatch) -> None:
        # The watch starts after the revision of the first page, so it reports
        # every record that is written while later pages are read.
        first = self.records.store.range(JOBS_PREFIX, "", PAGE_JOBS)
        entries = list(first.entries)
        if len(entries) == PAGE_JOBS:
            for page in self.records.pages(JOBS_PREFIX, entries[-1].key):
                entries += page
        listed = {entry.key.removeprefix(JOBS_PREFIX): entry for entry in entries}
        for job_id in dispatch.live.keys() - listed.keys():
            dispatch.drop(job_id)
        for entry in entries:
            dispatch.put(job_of(entry), entry.revision)
        self.feed.watch_from(first.revision)
