"""Records of ended jobs are removed once their retention period is over."""

import time

import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.work import JobStatus, Phase
from heatherhatch_daemon.pools.keys import claim_key, status_key
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


def test_nothing_is_removed_once_another_node_is_the_coordinator(store, sweeper):
    put_status(store, "old", Phase.COMPLETED, 1000)
    key = claim_key("coordinator")
    store.transact(Transaction((), (Put(key, b"another"),)))
    assert sweeper.sweep() == 0
    assert store.get(status_key("old")) is not None
