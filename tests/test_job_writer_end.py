"""A submission does not wait for a writer of records that has ended."""

import gevent
import pytest

from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_daemon.tasks.job_records import GroupCommit

HANG_S = 5  # limits a wait that never ends


# Guards against a caller that waits for ever for its job to be recorded.
def test_a_submission_does_not_wait_for_a_writer_that_has_ended():
    writer = GroupCommit(None)
    writer.greenlet = gevent.spawn(lambda: None)
    writer.greenlet.join()
    with gevent.Timeout(HANG_S), pytest.raises(HeatherhatchError):
        writer.submit(None)
