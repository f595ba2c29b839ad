"""A pool whose role is held is worked on, whatever fails in its holder."""

import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.work import Progress
from heatherhatch_daemon.events import LOG, Event
from heatherhatch_daemon.pools.keys import job_key, run_key
from pool_model import POOL, make_job, make_step
from pool_node import PoolCluster, wait_for


@pytest.fixture
def cluster():
    running = PoolCluster()
    yield running
    running.stop()


@pytest.fixture
def events(monkeypatch):
    found = []
    monkeypatch.setattr(
        LOG, "sink", lambda event, details: found.append((event, details))
    )
    return found


def skipped_keys(events):
    return [
        details["key"] for event, details in events if event is Event.RECORD_SKIPPED
    ]


def test_a_job_that_cannot_be_decoded_does_not_stop_its_pool(cluster, events):
    """The holder's load ended with the error, and its claim was renewed for ever."""
    cluster.put(job_key(POOL, "j0"), b"not a job")
    cluster.put_job(make_job(make_step(), job_id="j1"))
    cluster.start_node("n1")
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    assert skipped_keys(events) == [job_key(POOL, "j0")]


def test_a_job_with_unreadable_progress_is_not_started_anew(cluster, events):
    """Its runs may be alive under numbers that are not known."""
    cluster.put_job(make_job(make_step(), job_id="j0"))
    cluster.put_job(make_job(make_step(), job_id="j1"))
    cluster.put(run_key(POOL, "j0"), b"not progress")
    cluster.put(run_key(POOL, "j1"), encode_json(Progress()))
    cluster.start_node("n1")
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    assert skipped_keys(events) == [run_key(POOL, "j0")]


def test_a_new_job_that_cannot_be_decoded_does_not_delay_the_next(cluster, events):
    holder = cluster.wait_for_role(cluster.start_node("n1"))
    wait_for(lambda: holder.loaded)
    cluster.put(job_key(POOL, "j0"), b"not a job")
    cluster.put_job(make_job(make_step(), job_id="j1"))
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    assert skipped_keys(events) == [job_key(POOL, "j0")]
