"""Brings the dispatcher's view of live jobs up to the store's records."""

from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.state.jobs import JOBS_PREFIX

from .job_feed import JobFeed
from .job_records import PAGE_JOBS, JobRecords, job_of


class JobReader:
    """Lists all live jobs once, and then follows their changes.

    Args:
        records: Job records in the store.
        feed: Changes of the records.
    """

    def __init__(self, records: JobRecords, feed: JobFeed):
        self.records = records
        self.feed = feed

    def read(self, dispatch: Dispatch) -> None:
        """Tell the live jobs of every change since the last call.

        Args:
            dispatch: Live jobs.

        Raises:
            StoreError: The store did not answer.
        """
        if self.feed.must_list:
            self._list(dispatch)
        for event in self.feed.take():
            job_id = event.entry.key.removeprefix(JOBS_PREFIX)
            if event.deleted:
                dispatch.drop(job_id)
            else:
                dispatch.put(job_of(event.entry), event.entry.revision)

    def _list(self, dispatch: Dispatch) -> None:
        # A record written between two pages is seen again by the watch, which
        # starts from the first page's revision.
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
