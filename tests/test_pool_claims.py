"""Roles move between nodes, and no role stays without a holder."""

import time

import gevent
import pytest

from heatherhatch_core.coordination.scheduler.rules import CLOCK_DRIFT, Rules
from heatherhatch_core.exceptions import LeaseExpiredError, StoreError
from heatherhatch_daemon.pools.capacity import MAX_STAGGER_S, NodeCapacity
from heatherhatch_daemon.pools.claims import (
    LEASE_TTL_S,
    POLL_FAILURE_LIMIT_S,
    Claims,
)
from heatherhatch_daemon.pools.clock import now_s
from heatherhatch_daemon.pools.free_roles import JITTER_S
from heatherhatch_daemon.pools.keys import claim_key
from heatherhatch_daemon.pools.pool_holder import UNCONFIRMED_RENEWAL_S
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

HANG_S = 30  # limits a test that hangs; normally nothing takes this long


class LossyStore(MemoryStore):
    """A store that can refuse calls or lose their answers.

    Attributes:
        lost_answers: Number of transactions whose answers are lost next.
    """

    def __init__(self):
        super().__init__(lambda: 0.0 if self.leases_never_expire else time.monotonic())
        self.leases_never_expire = False
        self.refuse_deletes = False
        self.refuse_polls = False
        self.refuse_renewals = False
        self.lost_answers = 0

    def keep_lease(self, lease):
        if self.refuse_renewals:
            raise StoreError("unavailable")
        return super().keep_lease(lease)

    def poll(self, prefix, revision, wait_s):
        if self.refuse_polls:
            raise StoreError("poll refused")
        return super().poll(prefix, revision, wait_s)

    def transact(self, transaction):
        if self.refuse_deletes and transaction.deletes:
            raise StoreError("delete refused")
        outcome = super().transact(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreError("the answer was lost", True)
        return outcome


class Instance:
    """The claims of a node, and the roles that it acquired and lost."""

    def __init__(self, store, name, incarnation="1", roles=("a", "b")):
        self.acquired = []
        self.lost = []
        self.claims = Claims(
            store,
            name,
            incarnation,
            lambda: list(roles),
            lambda role, token: self.acquired.append((role, token)),
            self.lost.append,
        )
        self.claims.start()

    def stop(self):
        """Stop without releasing any claim, as a killed process does."""
        self.claims.feed.stop()
        gevent.killall(self.claims.greenlets)


@pytest.fixture
def store() -> LossyStore:
    return LossyStore()


@pytest.fixture
def start_node(store):
    instances = []

    def start(*args, **rest):
        instances.append(Instance(store, *args, **rest))
        return instances[-1]

    yield start
    for instance in instances:
        instance.stop()


def wait_for(condition):
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.02)


def test_roles_are_spread_and_each_has_one_holder(start_node):
    nodes = [start_node(f"n{number}") for number in range(3)]
    wait_for(lambda: sum(len(node.claims.held) for node in nodes) == 2)
    assert sorted(len(node.claims.held) for node in nodes) == [0, 1, 1]


def test_a_role_goes_to_the_node_with_the_lowest_relative_load():
    """The holder of a busy pool uses a core.

    With a holder on half a core, most jobs were late.
    """
    large_node = NodeCapacity(cores=2.15, link_mbps=200.0)
    small_node = NodeCapacity(cores=0.516, link_mbps=10.0)
    assert large_node.claim_delay_s(0) + JITTER_S < large_node.claim_delay_s(1)
    assert large_node.claim_delay_s(1) + JITTER_S < small_node.claim_delay_s(0)
    assert small_node.claim_delay_s(0) + JITTER_S < small_node.claim_delay_s(1)


def test_a_slow_link_weighs_as_much_as_a_slow_processor():
    assert NodeCapacity(2.0, 10.0).max_roles == NodeCapacity(0.5, 200.0).max_roles


def test_a_node_with_almost_no_capacity_still_acquires_a_free_role():
    assert NodeCapacity(0.0, 0.0).claim_delay_s(5) == MAX_STAGGER_S


def test_roles_of_a_node_that_shuts_down_are_acquired_at_once(start_node, store):
    store.leases_never_expire = True
    first = start_node("n1")
    wait_for(lambda: len(first.claims.held) == 2)
    second = start_node("n2")
    first.claims.release_all()
    wait_for(lambda: len(second.claims.held) == 2)
    assert all(
        token > old_token
        for (_role, token), (_same, old_token) in zip(
            sorted(second.acquired), sorted(first.acquired), strict=True
        )
    )


def test_roles_of_a_killed_node_are_acquired_by_another(start_node):
    first = start_node("n1")
    wait_for(lambda: len(first.claims.held) == 2)
    first.stop()
    second = start_node("n2")
    wait_for(lambda: len(second.claims.held) == 2)


def test_a_new_process_takes_the_roles_of_its_former_incarnation_at_once(
    start_node, store
):
    store.leases_never_expire = True
    first = start_node("n1", incarnation="1")
    wait_for(lambda: len(first.claims.held) == 2)
    first.stop()
    second = start_node("n1", incarnation="2")
    wait_for(lambda: len(second.claims.held) == 2)


def test_a_claim_whose_release_failed_is_acquired_again(start_node, store):
    """The delete is refused and the lease stays valid, so no other node can take it."""
    store.leases_never_expire = True
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.refuse_deletes = True
    node.claims.release("a", "a record was written by another node")
    assert node.lost == ["a"]
    wait_for(lambda: "a" in node.claims.held)
    assert node.acquired[1][1] > node.acquired[0][1]


def test_a_claim_is_never_written_without_a_lease(start_node, store):
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    node.claims.drop("a", "acquired by another node")
    node.claims.lease = 0
    store.revision_before = store.revision
    node.claims._acquire("a")
    assert store.revision == store.revision_before
    assert store.entries[claim_key("a")].lease != 0


def test_an_acquisition_whose_answer_was_lost_is_found_by_the_feed(start_node, store):
    store.lost_answers = 1
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    assert len(node.acquired) == 1
    assert node.acquired[0][1] == store.entries[claim_key("a")].revision


def test_a_role_whose_claim_is_gone_is_reported_as_lost(start_node, store):
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.revoke_lease(node.claims.lease)
    wait_for(lambda: node.lost == ["a"])
    wait_for(lambda: "a" in node.claims.held)
    assert len(node.acquired) == 2


def test_a_free_role_is_acquired_without_a_notification_by_the_feed(start_node, store):
    """The claims expired while the store was unavailable, and the feed hangs."""
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    node.claims.feed.stop()
    gevent.sleep(0.05)
    store.revoke_lease(node.claims.lease)
    wait_for(lambda: node.lost == ["a"])
    wait_for(lambda: "a" in node.claims.held)


def test_a_node_whose_polls_are_refused_releases_its_roles(start_node, store):
    """The store renews the node's lease, but refuses all its other calls."""
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.refuse_polls = True
    wait_for(lambda: node.lost == ["a"])
    assert claim_key("a") not in store.entries
    store.refuse_polls = False
    wait_for(lambda: "a" in node.claims.held)


def test_a_node_keeps_its_roles_through_an_outage_of_the_store(start_node, store):
    """An outage counted as a refusal, so the node released its roles.

    They were still free 2.5 s after the store was back.
    """
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    token = node.claims.token("a")
    store.leases_never_expire = True
    store.refuse_polls = store.refuse_renewals = True
    wait_for(
        lambda: now_s() - node.claims.feed.failing_since_s > 1.5 * POLL_FAILURE_LIMIT_S
    )
    store.refuse_polls = store.refuse_renewals = False
    wait_for(lambda: node.claims.holds("a"))
    assert node.lost == []
    assert node.claims.token("a") == token


def test_a_new_holder_waits_until_leases_of_a_former_one_have_expired():
    """A former holder may renew worker leases for a while after its claim expired."""
    rules = Rules()
    unconfirmed_s = UNCONFIRMED_RENEWAL_S - LEASE_TTL_S
    lease_s = rules.lease_s / (1 - CLOCK_DRIFT) + rules.lease_margin_s
    assert rules.unfenced_s >= unconfirmed_s + lease_s
    # A lasting task must run again within 6 s.
    assert rules.unfenced_s < 6.0


def test_roles_are_acquired_after_an_error(start_node, monkeypatch):
    """The greenlet that acquires roles ended with the first error."""
    node = start_node("n1", roles=("a",))
    roles = node.claims.roles

    def fail_once():
        node.claims.roles = roles
        raise KeyError("a")

    node.claims.roles = fail_once
    wait_for(lambda: "a" in node.claims.held)


def test_the_lease_is_renewed_after_an_error(start_node, store, monkeypatch):
    """The greenlet that renews the lease ended with the first error."""
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    keep_lease = store.keep_lease
    failures = []

    def fail_once(lease):
        store.keep_lease = keep_lease
        failures.append(now_s())
        raise ValueError("unreadable answer")

    store.keep_lease = fail_once
    wait_for(lambda: failures)
    wait_for(lambda: node.claims.confirmed_s > failures[0])


def test_a_role_whose_start_fails_is_not_kept(start_node):
    """The role counted as held, and its claim was renewed, but nobody worked on it."""
    node = start_node("n1", roles=())
    start = node.claims.on_acquired

    def fail_once(_role, _token):
        node.claims.on_acquired = start
        raise KeyError("a")

    node.claims.on_acquired = fail_once
    node.claims.roles = lambda: ["a"]
    wait_for(lambda: node.acquired)
    assert node.lost == ["a"]


def test_no_role_is_kept_whose_lease_has_expired(start_node, store):
    """An acquisition found the lease expired, and a new lease confirmed the old roles.

    Their claims were gone, and only the feed could tell, which may hang.
    """
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    token = node.claims.token("a")
    gevent.killall(node.claims.greenlets)
    node.claims.feed.stop()
    store.revoke_lease(node.claims.lease)

    def expired(_transaction):
        raise LeaseExpiredError("the lease of a write has expired")

    store.transact = expired
    node.claims._acquire("b")
    node.claims._renew()
    assert node.claims.token("a") != token
    assert not node.claims.holds("a")


def test_a_node_whose_polls_fail_acquires_no_role(start_node, store):
    """It acquired free roles and released them 0.3 s later, over and over."""
    node = start_node("n1", roles=("a",))
    wait_for(lambda: "a" in node.claims.held)
    store.refuse_polls = True
    wait_for(lambda: node.lost == ["a"])
    gevent.sleep(2 * POLL_FAILURE_LIMIT_S)
    assert node.lost == ["a"]
    assert len(node.acquired) == 1


def test_a_lost_role_does_not_delay_the_release_of_the_others(start_node, store):
    """One claim of another node made the whole release fail at a shutdown."""
    store.leases_never_expire = True
    node = start_node("n1")
    wait_for(lambda: len(node.claims.held) == 2)
    node.claims.feed.stop()
    store.transact(Transaction((), (Put(claim_key("a"), b"n2/1"),)))
    node.claims.release_all()
    assert store.get(claim_key("a")).value == b"n2/1"
    assert store.get(claim_key("b")) is None


def test_a_claim_that_only_a_refused_write_showed_does_not_block_a_role(store):
    """The feed never saw it, so a full read did not report that it was gone."""
    claims = Claims(store, "n1", "1", list, lambda *_role: None, print)
    claims.lease = store.grant_lease(LEASE_TTL_S)
    claims.feed.read()
    store.transact(Transaction((), (Put(claim_key("a"), b"n2/1"),)))
    claims._acquire("a")
    store.transact(Transaction((), (), (claim_key("a"),)))
    claims.feed.read()  # as after a compaction
    assert claims.free_roles.eligible_at_s("a", 0) < float("inf")


def test_a_refused_write_answered_after_the_deletion_does_not_block_a_role(store):
    """The feed had reported the deletion already, and nothing reported it again."""
    claims = Claims(store, "n1", "1", list, lambda *_role: None, print)
    claims.lease = store.grant_lease(LEASE_TTL_S)
    claims.feed.read()
    store.transact(Transaction((), (Put(claim_key("a"), b"n2/1"),)))
    transact = store.transact

    def answer_late(transaction):
        outcome = transact(transaction)
        transact(Transaction((), (), (claim_key("a"),)))
        claims.feed.poll()
        return outcome

    store.transact = answer_late
    claims._acquire("a")
    assert claims.free_roles.eligible_at_s("a", 0) < float("inf")


def test_a_full_read_from_before_a_refused_write_keeps_the_claim_it_showed(store):
    """The claim is newer than the snapshot, so it was not deleted before it."""
    claims = Claims(store, "n1", "1", list, lambda *_role: None, print)
    claims.lease = store.grant_lease(LEASE_TTL_S)
    snapshot = store.range(claims.feed.prefix)
    store.transact(Transaction((), (Put(claim_key("a"), b"n2/1"),)))
    claims._acquire("a")
    claims.feed.read_all = lambda: snapshot
    claims.feed.read()
    assert claims.free_roles.eligible_at_s("a", 0) == float("inf")


@pytest.fixture
def claims(store):
    """Claims with a lease; a later end of the lease gets lost."""
    store.leases_never_expire = True
    store.revoke_lease = lambda _lease: None
    claims = Claims(store, "n1", "1", list, lambda *_role: None, print)
    claims._renew()
    claims.feed.read()
    return claims


def replace_lease(claims):
    claims.feed.failing_since_s = claims.renewing_since_s = 0.0
    claims._renew()
    assert claims.lease == 0
    claims.feed.failing_since_s = float("inf")
    claims._renew()


def test_a_role_acquired_under_a_former_lease_is_not_held(claims, store):
    """The new lease confirmed a role whose claim ended with the old one."""
    transact = store.transact

    def answer_late(transaction):
        store.transact = transact
        outcome = transact(transaction)
        replace_lease(claims)
        return outcome

    store.transact = answer_late
    claims._acquire("a")
    assert not claims.holds("a")
    wait_for(lambda: claim_key("a") not in store.entries)


def test_a_late_claim_under_a_former_lease_is_not_held(claims, store):
    """The feed showed it, and the new lease confirmed it."""
    former_lease = claims.lease
    replace_lease(claims)
    put = Put(claim_key("a"), claims.value, former_lease)
    store.transact(Transaction((), (put,)))
    claims.feed.poll()
    assert not claims.holds("a")
    wait_for(lambda: claim_key("a") not in store.entries)
