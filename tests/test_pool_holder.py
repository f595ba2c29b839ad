"""A pool whose role is held is worked on, whatever fails in its holder."""

import gevent
import pytest

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.state.work import JobStatus, Phase, Progress
from heatherhatch_daemon.events import LOG, Event
from heatherhatch_daemon.pools import pool_holder, pool_watchdog
from heatherhatch_daemon.pools.keys import (
    job_key,
    report_key,
    run_key,
    runs_prefix,
    status_key,
)
from pool_model import POOL, make_job, make_step
from pool_node import ROLE, PartialStore, PoolCluster, wait_for


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


@pytest.fixture
def quick_watch(monkeypatch):
    """Watch holders so often that tests need not wait for seconds."""
    monkeypatch.setattr(pool_watchdog, "WATCH_PERIOD_S", 0.02)


def test_a_pool_that_its_holder_cannot_load_goes_to_another_node(cluster, quick_watch):
    """The holder repeated the failing read for ever and kept its claim."""
    store = PartialStore(cluster.store)
    store.refused_prefixes.add(runs_prefix(POOL))
    cluster.put_job(make_job(make_step()))
    first = cluster.start_node("n1", store)
    cluster.wait_for_role(first)
    second = cluster.start_node("n2")
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    assert ROLE in second.holders


# A pool whose load took longer than a fixed limit would go from node to node for ever.
def test_a_pool_that_takes_long_to_load_is_not_given_up(
    cluster, quick_watch, monkeypatch
):
    range_of = cluster.store.range

    def read_slowly(prefix, *args):
        if prefix == runs_prefix(POOL):
            gevent.sleep(50 * pool_watchdog.WATCH_PERIOD_S)
        return range_of(prefix, *args)

    monkeypatch.setattr(cluster.store, "range", read_slowly)
    cluster.put_job(make_job(make_step()))
    holder = cluster.wait_for_role(cluster.start_node("n1"))
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    assert not holder.stopped


def test_a_pool_whose_rounds_fail_goes_to_another_node(cluster, quick_watch):
    """Each round failed with the same error while the claim was renewed."""
    first = cluster.start_node("n1")
    holder = cluster.wait_for_role(first)
    wait_for(lambda: holder.loaded)

    def fail(*_args):
        raise KeyError("j0")

    holder.scheduler.decide = fail
    second = cluster.start_node("n2")
    cluster.put_job(make_job(make_step()))
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    assert ROLE in second.holders


def test_a_node_without_others_takes_a_role_back_that_it_gave_up(
    cluster, quick_watch, monkeypatch
):
    monkeypatch.setattr(pool_watchdog, "GIVEN_UP_PAUSE_S", 0.3)
    store = PartialStore(cluster.store)
    store.refused_prefixes.add(runs_prefix(POOL))
    cluster.put_job(make_job(make_step()))
    node = cluster.start_node("n1", store)
    holder = cluster.wait_for_role(node)
    wait_for(lambda: holder.stopped)
    assert node.claims.token(ROLE) == 0
    store.refused_prefixes.clear()
    wait_for(lambda: cluster.running_jobs() == {"j1"})


def test_a_role_is_kept_while_the_store_is_away(cluster, quick_watch):
    """Without a confirmed claim no round can be made, by this node or another."""
    node = cluster.start_node("n1")
    holder = cluster.wait_for_role(node)
    wait_for(lambda: holder.loaded)
    holder.claims.confirmed_s = float("-inf")
    for _period in range(3 * pool_watchdog.ROUND_LIMIT_PERIODS):
        holder.claims.confirmed_s = float("-inf")
        holder.watchdog.step()
    assert not holder.stopped


@pytest.fixture
def loaded_holder(cluster):
    holder = cluster.wait_for_role(cluster.start_node("n1"))
    wait_for(lambda: holder.loaded and "w0" in holder.links.by_worker)
    return holder


def fail_once(target, name, monkeypatch):
    """Let the next call of a method end with an error that nobody expects."""
    method = getattr(target, name)

    def fail(*_args, **_rest):
        monkeypatch.setattr(target, name, method)
        raise KeyError(name)

    monkeypatch.setattr(target, name, fail)


def phase_of(cluster, job_id):
    return decode_json(cluster.store.get(status_key(job_id)).value, JobStatus).phase


def test_writes_that_an_error_interrupts_are_not_forgotten(
    cluster, loaded_holder, monkeypatch
):
    """The job counted as being written, so it was never written or started."""
    monkeypatch.setattr(pool_holder, "GIVEN_UP_PAUSE_S", 0.1)
    fail_once(loaded_holder.committer, "submit", monkeypatch)
    cluster.put_job(make_job(make_step()))
    wait_for(lambda: cluster.running_jobs() == {"j1"})


def test_ends_are_stored_although_the_placement_of_jobs_fails(
    cluster, loaded_holder, monkeypatch
):
    """Writes and orders waited for a placement that succeeds."""
    cluster.put_job(make_job(make_step()))
    wait_for(lambda: cluster.running_jobs() == {"j1"})

    def fail(*_args):
        raise KeyError("j0")

    monkeypatch.setattr(loaded_holder.scheduler, "decide", fail)
    for task, number in list(cluster.worker.runs):
        cluster.worker.end(task, number)
    wait_for(lambda: phase_of(cluster, "j1") is Phase.COMPLETED)


def test_an_order_that_ends_with_an_error_does_not_hold_its_task(
    cluster, loaded_holder, monkeypatch
):
    """The run counted as ordered for ever, so its task was not started again."""
    fail_once(loaded_holder.links.by_worker["w0"].control, "start", monkeypatch)
    cluster.put_job(make_job(make_step()))
    wait_for(lambda: cluster.running_jobs() == {"j1"})


def test_a_link_whose_report_ends_with_an_error_goes_on(
    cluster, loaded_holder, monkeypatch
):
    """The worker stayed usable, but no end of its runs was heard any more."""
    fail_once(loaded_holder.scheduler, "handle_report", monkeypatch)
    cluster.put_job(make_job(make_step()))
    wait_for(lambda: cluster.running_jobs() == {"j1"})
    for task, number in list(cluster.worker.runs):
        cluster.worker.end(task, number)
    wait_for(lambda: phase_of(cluster, "j1") is Phase.COMPLETED)


def test_reports_go_on_after_an_error(cluster, loaded_holder, monkeypatch):
    """Grants and reports ended with the first error, while the pool went on."""
    fail_once(loaded_holder.grants, "step", monkeypatch)
    wait_for(lambda: loaded_holder.grants.step.__name__ == "step")
    before = cluster.store.get(report_key(POOL))
    cluster.put_job(make_job(make_step(count=20)))
    wait_for(lambda: cluster.store.get(report_key(POOL)) != before)


def test_a_job_that_the_scheduler_does_not_accept_is_read_again(
    cluster, loaded_holder, monkeypatch
):
    """The feed logged the error and never reported the job again."""
    monkeypatch.setattr(pool_holder, "GIVEN_UP_PAUSE_S", 0.1)
    fail_once(loaded_holder.scheduler, "add_job", monkeypatch)
    cluster.put_job(make_job(make_step()))
    wait_for(lambda: cluster.running_jobs() == {"j1"})
