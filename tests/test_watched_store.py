"""A store that stopped answering is used again as soon as it answers.

The store fails for some seconds during a burst of demand. Calls that it did not
answer waited for their whole timeout and polls waited for the next change, so that
callers were refused and nothing started until long after the store was back.
"""

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import RevisionCompactedError, StoreError
from heatherhatch_daemon.pools import watched_store
from heatherhatch_daemon.pools.watched_store import WatchedStore
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

HANG_S = 30  # limits a test that hangs; normally nothing takes this long
WRITE = Transaction((), (Put("jobs/a", b"1"),))


class UnresponsiveStore(MemoryStore):
    """A store that can stop answering; calls then wait until they are cut off."""

    def __init__(self):
        super().__init__(lambda: 0.0)
        self.silent = False
        self.cut_calls = Signal()
        self.probe_count = 0

    def transact(self, transaction):
        self._hang_if_silent()
        return super().transact(transaction)

    def keep_lease(self, lease):
        self._hang_if_silent()
        return True

    def is_available(self):
        self.probe_count += 1
        return not self.silent

    def abort_overdue(self, waited_s):
        self.cut_calls.set()
        return 1

    def _hang_if_silent(self):
        if self.silent:
            self.cut_calls.wait()
            raise StoreError("cut", True)


@pytest.fixture
def store(monkeypatch) -> UnresponsiveStore:
    monkeypatch.setattr(watched_store, "QUIET_S", 0.05)
    monkeypatch.setattr(watched_store, "PROBE_PAUSE_S", 0.01)
    return UnresponsiveStore()


@pytest.fixture
def watched(store):
    watched = WatchedStore(store)
    watched.start()
    yield watched
    watched.stop()


def wait_for(condition):
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.005)


def test_an_unanswered_call_fails_once_the_store_answers_again(store, watched):
    store.silent = True
    call = gevent.spawn(watched.transact, WRITE)
    wait_for(lambda: store.probe_count >= 2)
    assert not call.ready()
    store.silent = False
    with gevent.Timeout(HANG_S), pytest.raises(StoreError) as caught:
        call.get()
    assert caught.value.maybe_applied
    assert watched.transact(WRITE).succeeded


def test_any_answer_ends_the_outage(store, watched):
    store.silent = True
    wait_for(lambda: watched.lost)
    store.silent = False
    watched.get("jobs/a")
    assert not watched.lost
    assert store.cut_calls.is_set()


def test_a_store_that_answers_is_not_probed(store, watched, monkeypatch):
    clock = [watched.answered_s]
    monkeypatch.setattr(watched_store, "now_s", lambda: clock[0])
    for _call in range(20):
        clock[0] += 0.9 * watched_store.QUIET_S
        gevent.sleep(0.02)
        watched.keep_lease(1)
    assert store.probe_count == 0


def test_a_compaction_error_counts_as_an_answer(store, watched):
    watched.transact(WRITE)
    store.compact()
    store.silent = True
    wait_for(lambda: watched.lost)
    with pytest.raises(RevisionCompactedError):
        watched.poll("jobs/", 0, 0.0)
    assert not watched.lost
