"""Feeds miss no relevant change and skip superseded versions.

After an outage, many callers wait for the first answer. A burst of versions of one
large record, each sent to every instance, saturates slow links.
"""

import gevent
import pytest

from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.maintenance import Wave
from heatherhatch_daemon.pools.feed import Feed
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.ports import OperatorRecords
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

CONFIG = FleetConfiguration(1, (), (), ())
RECORDS = OperatorRecords(
    "op/",
    "op/config",
    "op/wave/",
    "w/",
    "s/",
    lambda _value: CONFIG,
    lambda value: Wave(int(value), (), 1.0, 1),
    None,
    None,
)
HANG_S = 30  # limits a test that hangs; normally nothing takes this long


class CountingStore(MemoryStore):
    """A store that counts reads and can fail the first polls."""

    def __init__(self, failures: int = 0):
        super().__init__(lambda: 0.0)
        self.failures = failures
        self.waits_s = []
        self.prefixes = []

    def range(self, prefix, start="", limit=0):
        self.prefixes.append(prefix)
        return super().range(prefix, start, limit)

    def poll(self, prefix, revision, wait_s):
        self.waits_s.append(wait_s)
        if len(self.waits_s) <= self.failures:
            raise StoreError("no answer")
        return super().poll(prefix, revision, 0.0)

    def write(self, key: str) -> None:
        self.transact(Transaction((), (Put(key, key[-1:].encode()),)))


def test_the_first_poll_after_a_failure_does_not_wait_for_a_change():
    store = CountingStore(failures=1)
    feed = Feed(store, "op/", print, print, wait_s=1.0)
    feed.read()
    with pytest.raises(StoreError) as caught:
        feed.poll()
    feed._note_failure(caught.value)
    feed.poll()
    feed.poll()
    assert store.waits_s == [1.0, 0.0, 1.0]


def test_of_a_burst_of_versions_only_the_newest_is_read():
    """Twelve versions a second, sent to each instance, saturated links of 10 Mbit/s."""
    store = CountingStore()
    seen = []
    feed = Feed(store, "op/", seen.append, print, newest_only=True)
    feed.read()
    store.write("op/config")
    feed.poll()
    assert not feed.in_burst
    for _version in range(5):
        store.write("op/config")
    feed.poll()
    assert feed.in_burst
    seen.clear()
    for _version in range(5):
        store.write("op/config")
    feed.read()
    assert [entry.revision for entry in seen] == [store.revision]
    assert feed.in_burst
    feed.read()
    assert not feed.in_burst


# After an outage with a burst of versions, a poll returned more than the store client
# accepts or the instance may hold, again at each attempt.
def test_after_a_failure_only_the_newest_version_is_read():
    store = CountingStore(failures=1)
    seen = []
    feed = Feed(store, "op/", seen.append, print, newest_only=True)
    store.write("op/config")
    feed.read()
    seen.clear()
    feed.start()
    for _version in range(5):
        store.write("op/config")
    with gevent.Timeout(HANG_S):
        while not seen:
            gevent.sleep(0.01)
    feed.stop()
    assert [entry.revision for entry in seen] == [store.revision]


def test_after_a_failure_a_configuration_that_is_known_is_not_read_again():
    store = CountingStore()
    versions = []
    operators = Operators(store, RECORDS, versions.append)
    store.write("op/config")
    store.write("op/wave/1")
    operators.feed.read()
    store.prefixes.clear()
    operators.feed._note_failure(StoreError("no answer"))
    store.write("op/wave/2")
    store.transact(Transaction((), (), ("op/wave/1",)))
    operators.feed.read()
    assert store.prefixes == ["op/wave/"]
    assert set(operators.waves) == {2}
    assert len(versions) == 1


def test_changes_of_several_keys_are_not_a_burst():
    store = CountingStore()
    feed = Feed(store, "op/", print, print, newest_only=True)
    feed.read()
    store.write("op/config")
    store.write("op/wave/1")
    feed.poll()
    assert not feed.in_burst


def test_a_feed_that_needs_all_versions_reads_each():
    store = CountingStore()
    seen = []
    feed = Feed(store, "jobs/", seen.append, print)
    feed.read()
    for number in range(5):
        store.write(f"jobs/{number}")
        feed.poll()
    assert (len(seen), feed.in_burst) == (5, False)


class LateSignal:
    """Writes a change just as the wait for a change times out."""

    def __init__(self, store):
        self.store = store

    def clear(self):
        return None

    def set(self):
        return None

    def wait(self):
        self.store.write("op/config")
        gevent.sleep(HANG_S)


def test_a_change_during_the_timeout_of_a_poll_is_not_lost():
    """A poll skipped the deletion of a claim, so its role stayed free forever."""
    store = CountingStore()
    store.changed = LateSignal(store)
    changes = MemoryStore.poll(store, "op/", 0, 0.01)
    assert [event.entry.key for event in changes.events] == ["op/config"]
    assert changes.revision == store.revision


def test_an_error_about_one_change_does_not_hold_up_the_others():
    """A deletion whose callback failed was polled again for ever, and all after it."""
    store = CountingStore()
    seen = []

    def refuse(key):
        raise KeyError(key)

    store.write("jobs/0")
    feed = Feed(store, "jobs/", lambda entry: seen.append(entry.key), refuse)
    feed.read()
    store.transact(Transaction((), (), ("jobs/0",)))
    store.write("jobs/1")
    feed.poll()
    feed.poll()
    assert seen == ["jobs/0", "jobs/1"]


def test_changes_that_cannot_be_read_are_skipped_by_a_full_read():
    """The same poll was repeated for ever, and no later change was seen."""
    store = CountingStore()
    seen = []
    feed = Feed(store, "jobs/", lambda entry: seen.append(entry.key), print)
    feed.read()
    first_revision = store.revision
    poll = store.poll

    def unreadable(prefix, revision, wait_s):
        if revision <= first_revision:
            raise ValueError("a change without a key")
        return poll(prefix, revision, wait_s)

    store.poll = unreadable
    store.write("jobs/0")
    with gevent.Timeout(HANG_S):
        feed.start()
        while "jobs/0" not in seen:
            gevent.sleep(0.01)
    feed.stop()
