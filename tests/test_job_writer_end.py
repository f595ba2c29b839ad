"""A submission does not wait for a writer that has ended."""

import gevent
import pytest

from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_daemon.tasks import job_records

HANG_S = 5


def test_a_submission_does_not_wait_for_a_writer_that_has_ended():
    writers = [
        item
        for item in vars(job_records).values()
        if isinstance(item, type) and hasattr(item, "_commit_all")
    ]
    writer = writers[0](None)
    writer.greenlet = gevent.spawn(lambda: None)
    writer.greenlet.join()
    with gevent.Timeout(HANG_S), pytest.raises(HeatherhatchError):
        writer.submit(None)
