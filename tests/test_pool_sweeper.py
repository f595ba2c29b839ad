"""Records of ended jobs are removed once their retention period is over."""

import time

import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.work import JobStatus, Phase
from heatherhatch_daemon.events import LOG, Event
from heatherhatch_daemon.pools.keys import STATUS_PREFIX, claim_key, status_key
from heatherhatch_daemon.pools.sweeper import CLOCK_MARGIN_S, Sweeper
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction

RETENTION_S = 120.0


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore(time.monotonic)


@pytest.fixture
def sweeper(store) -> Sweeper:
    key = claim_key("coordinator")
    token = store.transact(Transaction((), (Put(key, b"me"),))).revision
    return Sweeper(store, lambda: Expect(key, token), RETENTION_S)


def put_status(store, job_id: str, phase: Phase, age_s: float) -> None:
    ended_s = time.time() - age_s if phase.final else 0.0
    status = JobStatus(phase, "till", "q", "", ended_s)
    store.transact(Transaction((), (Put(status_key(job_id), encode_json(status)),)))


def test_only_jobs_that_ended_long_ago_are_removed(store, sweeper):
    put_status(store, "old", Phase.COMPLETED, RETENTION_S + CLOCK_MARGIN_S + 1)
    put_status(store, "fresh", Phase.FAILED, RETENTION_S)
    put_status(store, "running", Phase.RUNNING, 0)
    assert sweeper.sweep() == 1
    assert store.get(status_key("old")) is None
    assert store.get(status_key("fresh")) is not None
    assert store.get(status_key("running")) is not None


def test_many_records_are_removed_in_several_transactions(store, sweeper):
    for number in range(40):
        put_status(store, f"j{number}", Phase.CANCELLED, 1000)
    assert sweeper.sweep() == 40


def test_a_sweep_logs_what_it_read(store, sweeper, monkeypatch):
    lines = []
    monkeypatch.setattr(LOG, "sink", lambda *line: lines.append(line))
    put_status(store, "old", Phase.COMPLETED, 1000)
    put_status(store, "running", Phase.RUNNING, 0)
    entries = store.range(STATUS_PREFIX).entries
    sweeper.sweep()
    store.range = lambda _prefix: (_ for _ in ()).throw(StoreError("no answer"))
    with pytest.raises(StoreError):
        sweeper.sweep()
    (event, swept), (_event, failed) = lines
    assert event is Event.SWEPT
    assert (swept["records"], swept["removed"]) == (2, 1)
    assert swept["bytes"] == sum(len(item.key) + len(item.value) for item in entries)
    assert (swept["read_s"] is None, failed["read_s"]) == (False, None)


def test_nothing_is_removed_once_another_node_is_the_coordinator(store, sweeper):
    put_status(store, "old", Phase.COMPLETED, 1000)
    key = claim_key("coordinator")
    store.transact(Transaction((), (Put(key, b"another"),)))
    assert sweeper.sweep() == 0
    assert store.get(status_key("old")) is not None
