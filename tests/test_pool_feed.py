"""Feeds miss no change that counts, and read no version that doesn't.

The pattern: after an outage many wait for the first answer; in a storm of versions
of one large record, each sent to every instance, slow links are full.
"""

import gevent
import pytest

from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.pools.feed import Feed
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

HANG_S = 30  # a bound against hanging; nothing here takes that long


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
    feed = Feed(store, "told/", print, print, wait_s=1.0)
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
    feed = Feed(store, "told/", seen.append, print, newest_only=True)
    feed.read()
    store.write("told/config")
    feed.poll()
    assert not feed.in_burst
    for _version in range(5):
        store.write("told/config")
    feed.poll()
    assert feed.in_burst
    seen.clear()
    for _version in range(5):
        store.write("told/config")
    feed.read()
    assert [entry.revision for entry in seen] == [store.revision]
    assert feed.in_burst
    feed.read()
    assert not feed.in_burst


def test_changes_of_several_keys_are_no_crowd():
    store = Polled()
    feed = Feed(store, "told/", print, print, newest_only=True)
    feed.read()
    store.write("told/config")
    store.write("told/wave/1")
    feed.poll()
    assert not feed.in_burst


def test_a_feed_of_records_that_all_count_reads_each():
    store = Polled()
    seen = []
    feed = Feed(store, "jobs/", seen.append, print)
    feed.read()
    for number in range(5):
        store.write(f"jobs/{number}")
        feed.poll()
    assert (len(seen), feed.in_burst) == (5, False)


class LateSignal:
    """Lets a change come after the wait for one, as its time runs out."""

    def __init__(self, store):
        self.store = store

    def clear(self):
        return None

    def set(self):
        return None

    def wait(self):
        self.store.write("told/config")
        gevent.sleep(HANG_S)


def test_a_change_that_comes_as_a_poll_ends_is_not_lost():
    """A role stood free for good: the poll skipped the end of its claim."""
    store = Polled()
    store.changed = LateSignal(store)
    changes = MemoryStore.poll(store, "told/", 0, 0.01)
    assert [event.entry.key for event in changes.events] == ["told/config"]
    assert changes.revision == store.revision
