"""A store that fell silent is used again as soon as it answers; no bench.

The pattern: the store is away for some seconds in the middle of a queue's turn.
Calls that it swallowed waited for their whole time, and polls for the next
change, so that callers were refused and nothing started long after its return.
"""

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import HistoryLostError, StoreError
from heatherhatch_daemon.pools import watched_store
from heatherhatch_daemon.pools.feed import Feed
from heatherhatch_daemon.pools.watched_store import WatchedStore
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

HANG_S = 30  # a bound against hanging; nothing here takes that long
WRITE = Transaction((), (Put("jobs/a", b"1"),))


class SilentStore(MemoryStore):
    """A store that can fall silent: calls then wait until they are cut."""

    def __init__(self):
        super().__init__(lambda: 0.0)
        self.silent = False
        self.cut_calls = Signal()
        self.probes = 0

    def transact(self, transaction):
        self._swallow()
        return super().transact(transaction)

    def keep_lease(self, lease):
        self._swallow()
        return True

    def answers(self):
        self.probes += 1
        return not self.silent

    def cut(self, waited_s):
        self.cut_calls.set()
        return 1

    def _swallow(self):
        if self.silent:
            self.cut_calls.wait()
            raise StoreError("cut", True)


@pytest.fixture
def store(monkeypatch) -> SilentStore:
    monkeypatch.setattr(watched_store, "QUIET_S", 0.05)
    monkeypatch.setattr(watched_store, "PROBE_PAUSE_S", 0.01)
    return SilentStore()


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


def test_a_call_that_was_swallowed_fails_once_the_store_answers_again(store, watched):
    store.silent = True
    call = gevent.spawn(watched.transact, WRITE)
    wait_for(lambda: store.probes >= 2)
    assert not call.ready()
    store.silent = False
    with gevent.Timeout(HANG_S), pytest.raises(StoreError) as caught:
        call.get()
    assert caught.value.maybe_applied
    assert watched.transact(WRITE).succeeded


def test_any_answer_ends_the_silence(store, watched):
    store.silent = True
    wait_for(lambda: watched.lost)
    store.silent = False
    watched.get("jobs/a")
    assert not watched.lost
    assert store.cut_calls.is_set()


def test_a_store_that_answers_is_not_probed(store, watched, monkeypatch):
    clock = [watched.answered_s]
    monkeypatch.setattr(watched_store, "now_s", lambda: clock[0])
    for _turn in range(20):
        clock[0] += 0.9 * watched_store.QUIET_S
        gevent.sleep(0.02)
        watched.keep_lease(1)
    assert store.probes == 0


def test_word_that_history_is_lost_is_an_answer(store, watched):
    watched.transact(WRITE)
    store.drop_history()
    store.silent = True
    wait_for(lambda: watched.lost)
    with pytest.raises(HistoryLostError):
        watched.poll("jobs/", 0, 0.0)
    assert not watched.lost


class Polled(MemoryStore):
    """Counts what is read, and lets the first poll fail on request."""

    def __init__(self, fails: int = 0):
        super().__init__(lambda: 0.0)
        self.fails = fails
        self.waits = []
        self.reads = 0

    def range(self, prefix, start="", limit=0):
        self.reads += 1
        return super().range(prefix, start, limit)

    def poll(self, prefix, revision, wait_s):
        self.waits.append(wait_s)
        if len(self.waits) <= self.fails:
            raise StoreError("silent")
        return super().poll(prefix, revision, 0.0)

    def write(self, key: str) -> None:
        self.transact(Transaction((), (Put(key, b"1"),)))


def test_the_first_poll_after_a_failure_doesnt_wait_for_a_change():
    store = Polled(fails=1)
    feed = Feed(store, "op/", print, print, wait_s=1.0)
    feed.read()
    with pytest.raises(StoreError) as caught:
        feed.poll()
    feed._note_failure(caught.value)
    feed.poll()
    feed.poll()
    assert store.waits == [1.0, 0.0, 1.0]


def test_versions_that_overtake_each_other_are_read_as_one():
    """Twelve versions a second, each sent to all, filled links of 10 Mbit/s."""
    store = Polled()
    seen = []
    feed = Feed(store, "op/", seen.append, print, newest_only=True)
    feed.read()
    store.write("op/config")
    feed.poll()
    assert not feed.crowded
    for _version in range(5):
        store.write("op/config")
    feed.poll()
    assert feed.crowded
    seen.clear()
    for _version in range(5):
        store.write("op/config")
    feed.read()
    assert [entry.revision for entry in seen] == [store.revision]
    assert feed.crowded
    feed.read()
    assert not feed.crowded


def test_changes_of_several_keys_are_no_crowd():
    store = Polled()
    feed = Feed(store, "op/", print, print, newest_only=True)
    feed.read()
    store.write("op/config")
    store.write("op/wave/1")
    feed.poll()
    assert not feed.crowded


def test_a_feed_of_records_that_all_count_reads_each():
    store = Polled()
    seen = []
    feed = Feed(store, "jobs/", seen.append, print)
    feed.read()
    for number in range(5):
        store.write(f"jobs/{number}")
        feed.poll()
    assert (len(seen), feed.crowded) == (5, False)


class LateSignal:
    """Lets a change come after the wait for one, as its time runs out."""

    def __init__(self, store):
        self.store = store

    def clear(self):
        return None

    def set(self):
        return None

    def wait(self):
        self.store.write("op/config")
        gevent.sleep(HANG_S)


def test_a_change_that_comes_as_a_poll_ends_is_not_lost():
    """A role stood free for good: the poll skipped the end of its claim."""
    store = Polled()
    store.changed = LateSignal(store)
    changes = MemoryStore.poll(store, "op/", 0, 0.01)
    assert [event.entry.key for event in changes.events] == ["op/config"]
    assert changes.revision == store.revision
