"""End-to-end tests of real instances on the platform stand-in, also under faults."""

import random
import signal
import socket
import statistics
import subprocess
import time
from pathlib import Path

import gevent
import pytest

from heatherhatch_daemon.settings import Address
from heatherhatch_platform.kv_store import KvStore
from heatherhatch_platform_standin.deployment import Deployment, Instance
from heatherhatch_platform_standin.load import Callers
from heatherhatch_platform_standin.soak import Soak
from heatherhatch_platform_standin.store import MAX_PAGE_ITEMS, StandinStore, StoreMode

READY_TIMEOUT_S = 30  # limits a test that hangs; a start takes far less
COMPLETION_TIMEOUT_S = 60  # limits the wait for the end of all jobs


@pytest.fixture
def deployment():
    with Deployment() as running:
        yield running


@pytest.fixture
def callers(deployment):
    running_callers = Callers(deployment, random.Random(1))
    with gevent.Timeout(READY_TIMEOUT_S):
        running_callers.wait_until_ready()
        while running_callers.submit() is None:
            gevent.sleep(0.1)
    return running_callers


def test_every_accepted_job_runs_each_task_once(deployment, callers):
    for _number in range(10):
        assert callers.submit() is not None
    assert callers.wait_until_ended(COMPLETION_TIMEOUT_S) == []
    ledger = deployment.ledger
    assert ledger.violations == []
    assert ledger.starts
    assert set(ledger.starts.values()) == {1}


def test_jobs_end_although_every_instance_is_killed_once(deployment, callers):
    for instance in deployment.instances:
        for _number in range(5):
            callers.submit()
        instance.signal(signal.SIGKILL)
        instance.process.wait()
        instance.start()
    assert callers.wait_until_ended(COMPLETION_TIMEOUT_S) == []
    assert deployment.ledger.violations == []


def test_a_job_submitted_twice_is_one_job(deployment, callers):
    job_id = callers.submit()
    body = {"spec": "done 0.1", "steps": [{"count": 4, "cpu": 1000}]}
    assert callers.call("POST", callers.paths[job_id], body)[0] == 200
    assert callers.wait_until_ended(COMPLETION_TIMEOUT_S) == []
    tasks = [task for task in deployment.ledger.starts if task.startswith(job_id)]
    assert all(deployment.ledger.starts[task] == 1 for task in tasks)


def test_without_the_store_jobs_are_neither_accepted_nor_reported_unknown(
    deployment, callers
):
    deployment.store.mode = StoreMode.BUSY
    body = {"spec": "done 0.1", "steps": [{"count": 1, "cpu": 1000}]}
    path = f"/till/{callers.random.getrandbits(64):016x}"
    assert callers.call("POST", path, body)[0] == 503
    assert callers.call("GET", path)[0] == 503
    deployment.store.mode = StoreMode.UP
    with gevent.Timeout(READY_TIMEOUT_S):
        while callers.call("POST", path, body)[0] != 200:
            gevent.sleep(0.1)


def test_callers_are_served_while_four_of_ten_writes_are_not_answered(
    deployment, callers
):
    """Each lost answer cost a timeout of 1 s, so that hardly any caller was served."""
    deployment.store.mode = StoreMode.LOST
    took_s = []
    for _number in range(20):
        began_s = time.monotonic()
        assert callers.submit() is not None
        took_s.append(time.monotonic() - began_s)
    deployment.store.mode = StoreMode.UP
    assert statistics.mean(took_s) < 0.4
    assert callers.wait_until_ended(COMPLETION_TIMEOUT_S) == []
    assert deployment.ledger.violations == []


def test_a_revoked_key_is_refused_by_every_instance(deployment, callers):
    deployment.configure(keys=("another",))
    body = {"spec": "done 0.1", "steps": [{"count": 1, "cpu": 1000}]}
    for number in range(6):
        assert callers.call("POST", f"/till/{number:016x}", body)[0] == 401


def test_an_unknown_job_and_an_unknown_queue_get_different_answers(callers):
    assert callers.call("GET", f"/till/{5:016x}")[0] == 410
    assert callers.call("GET", "/nowhere/1")[0] == 404
    assert callers.wait_until_ended(COMPLETION_TIMEOUT_S) == []
    # The count may be up to a second old.
    with gevent.Timeout(READY_TIMEOUT_S):
        while callers.call("GET", "/till/") != (200, {"numWaiting": 0}):
            gevent.sleep(0.1)


def test_a_prefix_of_several_pages_is_read_completely():
    """Guards against a stand-in that returns more at once than the platform does."""
    store = StandinStore()
    keys = [f"jobs/till/{number:04}" for number in range(2 * MAX_PAGE_ITEMS + 1)]
    for key in keys:
        store.put(key, b"{}")
    snapshot = KvStore(Address.parse(store.address)).range("jobs/till/")
    assert [entry.key for entry in snapshot.entries] == keys
    store.stop()


def test_a_short_soak_violates_no_invariant():
    result = Soak(seed=1, seconds=6.0).run()
    assert result.violations == ()
    assert result.inconclusive == ()
    assert result.accepted > 0


def test_ports_of_an_instance_that_is_down_stay_reserved(tmp_path: Path):
    """Otherwise the kernel might assign them to other processes before the restart."""
    instance = Instance("n0", "127.0.0.1:1", tmp_path)
    for address in (instance.entry, instance.ready):
        host, _colon, port = address.partition(":")
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((host, int(port)))
    instance.proxy.stop()


class SlowProcess:
    """A process that yields to other greenlets while it starts, as gevent's do."""

    started = 0

    def __init__(self, *_args, **_rest):
        type(self).started += 1
        gevent.sleep(0.01)

    def poll(self):
        return None

    def send_signal(self, _number):
        return None

    def wait(self):
        return 0


def test_concurrent_starts_of_an_instance_start_one_process(tmp_path, monkeypatch):
    """Soak seed 357: two starts of one instance overlapped.

    The second process found the port in use, and the first kept running.
    """
    monkeypatch.setattr(subprocess, "Popen", SlowProcess)
    instance = Instance("n0", "127.0.0.1:1", tmp_path)
    starts = [gevent.spawn(instance.start) for _ in range(2)]
    gevent.sleep(0)
    stop = gevent.spawn(instance.stop)
    gevent.joinall([*starts, stop])
    assert SlowProcess.started == 1
    assert instance.process is not None


def test_a_process_whose_start_is_interrupted_still_belongs_to_its_instance(
    tmp_path, monkeypatch
):
    """Guards against processes that serve for ever because no instance stops them."""
    monkeypatch.setattr(SlowProcess, "started", 0)
    monkeypatch.setattr(subprocess, "Popen", SlowProcess)
    instance = Instance("n0", "127.0.0.1:1", tmp_path)
    start = gevent.spawn(instance.start)
    while not SlowProcess.started:
        gevent.sleep(0)
    start.kill()
    instance.stop()
    assert instance.process is not None
