"""The committer writes the progress of jobs although the store is slow or fails."""

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
    """A store that can delay transactions and lose their answers."""

    def __init__(self):
        super().__init__(time.monotonic)
        self.unblocked = Signal()
        self.unblocked.set()
        self.lost_answers = 0

    def transact(self, transaction):
        self.unblocked.wait()
        outcome = super().transact(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreError("the answer was lost", True)
        return outcome


class CommitterHarness:
    """A committer on a slow store, and the writes that it reported."""

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
        if self.next_writes and self.committer.free_capacity():
            self.committer.submit([self.next_writes.pop()])

    def wait_until_idle(self):
        with gevent.Timeout(30):
            self.committer.greenlets.join()


@pytest.fixture
def harness() -> CommitterHarness:
    return CommitterHarness()


def make_write(job_id: str, version: int = 1, phase: Phase | None = None) -> JobWrite:
    progress = Progress((TaskRecord(0, 0, 0, version, 0, False, "", ()),))
    status = JobStatus(phase, POOL, "q") if phase else None
    return JobWrite(job_id, version, progress, status)


def test_a_finished_write_may_submit_the_next_while_all_slots_are_in_use(harness):
    """The holder submits the next write whenever a slow store finishes one."""
    harness.store.unblocked.clear()
    for number in range(MAX_CONCURRENT_TRANSACTIONS):
        harness.committer.submit([make_write(f"j{number}")])
    assert harness.committer.free_capacity() == 0
    harness.next_writes = [
        make_write(f"k{number}") for number in range(MAX_CONCURRENT_TRANSACTIONS)
    ]
    gevent.sleep(0)
    harness.store.unblocked.set()
    harness.wait_until_idle()
    assert len(harness.stored) >= MAX_CONCURRENT_TRANSACTIONS


def test_a_write_whose_answer_was_lost_is_detected_as_stored(harness):
    harness.store.lost_answers = 1
    harness.committer.submit([make_write("j1")])
    harness.wait_until_idle()
    assert harness.stored == ["j1"]
    assert harness.conflicts == []
    harness.committer.submit([make_write("j1", 2)])
    harness.wait_until_idle()
    assert harness.stored == ["j1", "j1"]


def test_a_final_write_whose_answer_was_lost_is_detected_as_stored(harness):
    harness.committer.submit([make_write("j1")])
    harness.wait_until_idle()
    harness.store.lost_answers = 1
    harness.committer.submit([make_write("j1", 2, Phase.COMPLETED)])
    harness.wait_until_idle()
    assert harness.stored == ["j1", "j1"]
    assert harness.store.get(run_key(POOL, "j1")) is None


def test_nothing_is_written_once_another_node_holds_the_claim(harness):
    harness.store.transact(Transaction((), (Put(claim_key("pool/till"), b"other"),)))
    harness.committer.submit([make_write("j1")])
    harness.wait_until_idle()
    assert harness.stored == []
    assert len(harness.conflicts) == 1


def test_many_jobs_share_few_transactions(harness):
    before = harness.store.calls
    harness.committer.submit([make_write(f"j{number}") for number in range(30)])
    harness.wait_until_idle()
    assert len(harness.stored) == 30
    assert harness.store.calls - before <= 4


def test_an_error_after_a_write_is_reported_to_the_holder(harness):
    """The greenlet ended, and the other jobs of its batch were never written again."""

    def fail(_writes):
        raise KeyError("j1")

    harness.committer.on_stored = fail
    harness.committer.submit([make_write("j1")])
    harness.wait_until_idle()
    assert len(harness.conflicts) == 1
