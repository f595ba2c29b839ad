"""Progress of jobs goes to the store, whatever the store does meanwhile."""

import time

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.coordination.scheduler import JobWrite
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.work import JobStatus, Phase, Progress, TaskRecord
from heatherhatch_daemon.pools.committer import MAX_CONCURRENT_TRANSACTIONS, Committer
from heatherhatch_daemon.pools.keys import claim_key, run_key
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction
from pool_model import POOL


class SlowStore(MemoryStore):
    """A store whose transactions wait, and whose answers may be lost."""

    def __init__(self):
        super().__init__(time.monotonic)
        self.gate = Signal()
        self.gate.set()
        self.lost = 0

    def transact(self, transaction):
        self.gate.wait()
        outcome = super().transact(transaction)
        if self.lost:
            self.lost -= 1
            raise StoreError("the answer was lost", True)
        return outcome


class Desk:
    """A committer with what it reports."""

    def __init__(self):
        self.store = SlowStore()
        claim = self.store.transact(
            Transaction((), (Put(claim_key("pool/till"), b"me"),))
        )
        self.token = claim.revision
        self.stored = []
        self.conflicts = []
        self.next_writes = []
        self.committer = Committer(
            self.store,
            POOL,
            lambda: Expect(claim_key("pool/till"), self.token),
            lambda: True,
            self.take_stored,
            self.conflicts.append,
        )

    def take_stored(self, writes):
        self.stored.extend(write.job_id for write in writes)
        if self.next_writes and self.committer.room():
            self.committer.submit([self.next_writes.pop()])

    def settle(self):
        with gevent.Timeout(30):
            self.committer.greenlets.join()


@pytest.fixture
def desk() -> Desk:
    return Desk()


def write_of(job_id: str, version: int = 1, phase: Phase | None = None) -> JobWrite:
    progress = Progress((TaskRecord(0, 0, 0, version, 0, False, "", ()),))
    status = JobStatus(phase, POOL, "q") if phase else None
    return JobWrite(job_id, version, progress, status)


def test_a_write_that_ends_may_submit_the_next_while_all_slots_are_taken(desk):
    """A slow store, and a holder that goes on from each write that ends."""
    desk.store.gate.clear()
    for number in range(MAX_CONCURRENT_TRANSACTIONS):
        desk.committer.submit([write_of(f"j{number}")])
    assert desk.committer.room() == 0
    desk.next_writes = [
        write_of(f"k{number}") for number in range(MAX_CONCURRENT_TRANSACTIONS)
    ]
    gevent.sleep(0)
    desk.store.gate.set()
    desk.settle()
    assert len(desk.stored) >= MAX_CONCURRENT_TRANSACTIONS


def test_a_write_whose_answer_was_lost_is_found_done(desk):
    desk.store.lost = 1
    desk.committer.submit([write_of("j1")])
    desk.settle()
    assert desk.stored == ["j1"]
    assert desk.conflicts == []
    desk.committer.submit([write_of("j1", 2)])
    desk.settle()
    assert desk.stored == ["j1", "j1"]


def test_a_final_write_whose_answer_was_lost_is_found_done(desk):
    desk.committer.submit([write_of("j1")])
    desk.settle()
    desk.store.lost = 1
    desk.committer.submit([write_of("j1", 2, Phase.COMPLETED)])
    desk.settle()
    assert desk.stored == ["j1", "j1"]
    assert desk.store.get(run_key(POOL, "j1")) is None


def test_nothing_is_written_once_another_node_has_the_claim(desk):
    desk.store.transact(Transaction((), (Put(claim_key("pool/till"), b"other"),)))
    desk.committer.submit([write_of("j1")])
    desk.settle()
    assert desk.stored == []
    assert len(desk.conflicts) == 1


def test_many_jobs_share_few_transactions(desk):
    before = desk.store.calls
    desk.committer.submit([write_of(f"j{number}") for number in range(30)])
    desk.settle()
    assert len(desk.stored) == 30
    assert desk.store.calls - before <= 4
