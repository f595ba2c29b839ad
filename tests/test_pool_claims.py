"""Roles pass from node to node, and never stay without a holder."""

import time

import gevent
import pytest

from heatherhatch_core.coordination.scheduler.rules import CLOCK_DRIFT, Rules
from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.pools.capacity import MAX_STAGGER_S, NodeCapacity
from heatherhatch_daemon.pools.claims import (
    JITTER_S,
    LEASE_TTL_S,
    POLL_FAILURE_LIMIT_S,
    Claims,
)
from heatherhatch_daemon.pools.clock import now_s
from heatherhatch_daemon.pools.keys import claim_key
from heatherhatch_daemon.pools.pool_holder import UNCONFIRMED_RENEWAL_S
from heatherhatch_daemon.transport.memory_store import MemoryStore

HANG_S = 30  # a bound against hanging; nothing here takes that long


class LossyStore(MemoryStore):
    """A store that can refuse or lose chosen calls."""

    def __init__(self):
        super().__init__(lambda: 0.0 if self.leases_last else time.monotonic())
        self.leases_last = False
        self.refuse_deletes = False
        self.refuse_polls = False
        self.refuse_keeps = False
        self.lost = 0

    def keep_lease(self, lease):
        if self.refuse_keeps:
            raise StoreError("away")
        return super().keep_lease(lease)

    def poll(self, prefix, revision, wait_s):
        if self.refuse_polls:
            raise StoreError("turned away")
        return super().poll(prefix, revision, wait_s)

    def transact(self, transaction):
        if self.refuse_deletes and transaction.deletes:
            raise StoreError("refused")
        outcome = super().transact(transaction)
        if self.lost:
            self.lost -= 1
            raise StoreError("the answer was lost", True)
        return outcome


class Instance:
    """A node's claims, and what they reported."""

    def __init__(self, store, name, incarnation="1", roles=("a", "b")):
        self.taken = []
        self.lost = []
        self.claims = Claims(
            store,
            name,
            incarnation,
            lambda: list(roles),
            lambda role, token: self.taken.append((role, token)),
            self.lost.append,
        )
        self.claims.start()

    def stop(self):
        """End without a word, as a killed process does."""
        self.claims.feed.stop()
        gevent.killall(self.claims.greenlets)


@pytest.fixture
def store() -> LossyStore:
    return LossyStore()


@pytest.fixture
def start(store):
    running = []

    def begin(*args, **rest):
        running.append(Instance(store, *args, **rest))
        return running[-1]

    yield begin
    for instance in running:
        instance.stop()


def wait_for(condition):
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.02)


def test_roles_are_spread_and_each_has_one_holder(start):
    nodes = [start(f"n{number}") for number in range(3)]
    wait_for(lambda: sum(len(node.claims.held) for node in nodes) == 2)
    assert sorted(len(node.claims.held) for node in nodes) == [0, 1, 1]


def test_a_role_goes_to_the_node_that_it_fills_least():
    """A pool in its turn takes a core; half of one made most of its jobs late."""
    strong = NodeCapacity(cores=2.15, link_mbps=200.0)
    weak = NodeCapacity(cores=0.516, link_mbps=10.0)
    assert strong.claim_delay_s(0) + JITTER_S < strong.claim_delay_s(1)
    assert strong.claim_delay_s(1) + JITTER_S < weak.claim_delay_s(0)
    assert weak.claim_delay_s(0) + JITTER_S < weak.claim_delay_s(1)


def test_a_slow_link_weighs_as_much_as_a_slow_processor():
    assert NodeCapacity(2.0, 10.0).max_roles == NodeCapacity(0.5, 200.0).max_roles


def test_a_node_that_can_carry_next_to_nothing_still_takes_a_free_role():
    assert NodeCapacity(0.0, 0.0).claim_delay_s(5) == MAX_STAGGER_S


def test_a_node_that_ends_hands_its_roles_over_at_once(start, store):
    store.leases_last = True
    first = start("n1")
    wait_for(lambda: len(first.claims.held) == 2)
    second = start("n2")
    first.claims.release_all()
    wait_for(lambda: len(second.claims.held) == 2)
    assert all(
        token > old
        for (_role, token), (_same, old) in zip(
            sorted(second.taken), sorted(first.taken), strict=True
        )
    )


def test_a_killed_node_loses_its_roles_to_another(start):
    first = start("n1")
    wait_for(lambda: len(first.claims.held) == 2)
    first.stop()
    second = start("n2")
    wait_for(lambda: len(second.claims.held) == 2)


def test_a_new_process_takes_the_roles_of_its_former_life_at_once(start, store):
    store.leases_last = True
    first = start("n1", incarnation="1")
    wait_for(lambda: len(first.claims.held) == 2)
    first.stop()
    second = start("n1", incarnation="2")
    wait_for(lambda: len(second.claims.held) == 2)


def test_a_claim_that_could_not_be_given_up_is_taken_anew(start, store):
    """The delete is refused, the lease lives on: nobody else could take it."""
    store.leases_last = True
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.refuse_deletes = True
    node.claims.release("a", "a record was written by another node")
    assert node.lost == ["a"]
    wait_for(lambda: "a" in node.claims.held)
    assert node.taken[1][1] > node.taken[0][1]


def test_a_claim_is_never_written_without_a_lease(start, store):
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    node.claims.drop("a", "as if another had it")
    node.claims.lease = 0
    store.transact_count = store.revision
    node.claims._acquire("a")
    assert store.revision == store.transact_count
    assert store.entries[claim_key("a")].lease != 0


def test_a_take_whose_answer_was_lost_is_seen_by_the_feed(start, store):
    store.lost = 1
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    assert len(node.taken) == 1
    assert node.taken[0][1] == store.entries[claim_key("a")].revision


def test_a_role_that_another_has_taken_is_let_go(start, store):
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.revoke_lease(node.claims.lease)
    wait_for(lambda: node.lost == ["a"])
    wait_for(lambda: "a" in node.claims.held)
    assert len(node.taken) == 2


def test_a_free_role_is_taken_although_the_feed_has_not_told(start, store):
    """The claims lapsed while the store was away, and the feed hangs."""
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    node.claims.feed.stop()
    gevent.sleep(0.05)
    store.revoke_lease(node.claims.lease)
    wait_for(lambda: node.lost == ["a"])
    wait_for(lambda: "a" in node.claims.held)


def test_a_node_that_is_turned_away_gives_its_roles_up(start, store):
    """Its lease is renewed, but nothing else that it asks for is done."""
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.refuse_polls = True
    wait_for(lambda: node.lost == ["a"])
    assert claim_key("a") not in store.entries
    store.refuse_polls = False
    wait_for(lambda: "a" in node.claims.held)


def test_a_node_keeps_its_roles_through_an_outage_of_the_store(start, store):
    """Given up as if turned away, they were free 2.5 s after the store was back."""
    node = start("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    token = node.claims.token("a")
    store.leases_last = True
    store.refuse_polls = store.refuse_keeps = True
    wait_for(
        lambda: now_s() - node.claims.feed.failing_since_s > 1.5 * POLL_FAILURE_LIMIT_S
    )
    store.refuse_polls = store.refuse_keeps = False
    wait_for(lambda: node.claims.holds("a"))
    assert node.lost == []
    assert node.claims.token("a") == token


def test_a_new_holder_waits_until_a_former_one_can_keep_nothing_alive():
    """The former one may renew leases alone for a while after its claim lapsed."""
    rules = Rules()
    alone_s = UNCONFIRMED_RENEWAL_S - LEASE_TTL_S
    lease_s = rules.lease_s / (1 - CLOCK_DRIFT) + rules.lease_margin_s
    assert rules.unfenced_s >= alone_s + lease_s
    # A lasting task has to run again within 6 s.
    assert rules.unfenced_s < 6.0
