"""Standing, membership and the log of several nodes under faults.

The virtual cluster checks after each step that no node acts on an expired position and
that no position is reported in force too early; the random test checks besides that no
change is lost or recorded twice.
"""

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherhatch_daemon.tasks import log_store
from virtual_cluster import PERIOD_S, VirtualCluster

NAMES = ("a", "b", "c")
NAME = st.sampled_from(NAMES)
HOURS_S = 7200.0


@pytest.fixture
def cluster():
    started = VirtualCluster(NAMES)
    started.run(1.0)
    assert started.append("a", "first", "red")
    started.run(2 * PERIOD_S)
    return started


def nodes_with_standing(cluster):
    return [n for n, node in cluster.nodes.items() if node.follower.has_standing()]


def cut_store(cluster, *names):
    for name in names:
        cluster.nodes[name].store.cut = True


def test_cluster_acts_through_an_outage_of_hours(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(PERIOD_S)
    for _ in range(40):
        cluster.run(2.0)
        assert nodes_with_standing(cluster) == list(NAMES)
    assert not cluster.append("a", "late", "blue")


def test_cluster_acts_right_from_the_start_of_an_outage(cluster):
    cut_store(cluster, *NAMES)
    for _ in range(40):
        cluster.run(0.125)
        assert nodes_with_standing(cluster) == list(NAMES)


def test_cluster_stops_if_one_peer_is_silent_in_an_outage(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(4 * PERIOD_S)
    cluster.nodes["c"].paused = True
    cluster.run(1.5 * PERIOD_S)
    assert "a" not in nodes_with_standing(cluster)
    cluster.nodes["c"].paused = False
    cluster.run(PERIOD_S)
    assert nodes_with_standing(cluster) == list(NAMES)


def test_cluster_keeps_acting_after_a_shutdown_in_an_outage(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(4 * PERIOD_S)
    cluster.nodes["c"].leave()
    del cluster.nodes["c"]
    for _ in range(20):
        cluster.run(1.0)
        assert nodes_with_standing(cluster) == ["a", "b"]


def test_cluster_confirms_a_node_that_alone_lost_the_store(cluster):
    cut_store(cluster, "b")
    cluster.run(30.0)
    assert nodes_with_standing(cluster) == list(NAMES)
    assert cluster.append("a", "second", "blue")
    cluster.run(1.0)
    assert cluster.nodes["b"].follower.log.seq == 2
    assert cluster.nodes["b"].registrar.entry.incarnation == "b2"


def test_cluster_node_that_is_cut_off_loses_standing(cluster):
    cut_store(cluster, "b")
    cluster.cuts = {("b", "a"), ("b", "c")}
    cluster.run(1.5 * PERIOD_S)
    assert "b" not in nodes_with_standing(cluster)


def test_cluster_node_that_was_paused_has_no_standing(cluster):
    cluster.nodes["b"].paused = True
    cluster.run(20.0)
    assert cluster.append("a", "second", "blue")
    cluster.nodes["b"].paused = False
    assert "b" not in nodes_with_standing(cluster)
    cluster.run(4 * PERIOD_S)
    assert nodes_with_standing(cluster) == list(NAMES)
    assert cluster.nodes["b"].registrar.entry.incarnation != "b2"


def test_cluster_gives_no_standing_to_a_node_started_in_an_outage(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(2 * PERIOD_S)
    cluster.start("d")
    cut_store(cluster, "d")
    cluster.run(2 * PERIOD_S)
    assert nodes_with_standing(cluster) == list(NAMES)


def test_cluster_makes_a_new_node_wait_for_all_views(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(20.0)
    cluster.start("d")
    cluster.cuts = {(n, "d") for n in NAMES} | {("d", n) for n in NAMES}
    cluster.run(30.0)
    assert nodes_with_standing(cluster) == [*NAMES, "d"]
    assert not cluster.append("d", "second", "blue")
    cluster.cuts = set()
    cluster.run(3 * PERIOD_S)
    assert cluster.append("d", "second", "blue")
    cluster.run(PERIOD_S)
    assert {node.follower.log.seq for node in cluster.nodes.values()} == {2}


def test_cluster_accepts_changes_soon_after_a_crash(cluster):
    del cluster.nodes["c"]
    cluster.run(0.5)
    assert cluster.append("a", "second", "blue")
    cluster.start("d")
    cluster.run(15.0)
    assert cluster.append("d", "third", "green")
    assert "c" not in cluster.nodes["d"].registrar.nodes


def test_cluster_returns_the_position_of_a_resent_change(cluster):
    seq = cluster.append("a", "again", "blue")
    cluster.run(0.5)
    assert cluster.append("b", "again", "blue") == seq
    assert cluster.append("b", "again", "green") == 0, (
        "the same id with another content"
    )


def cut_links(cluster, left, right):
    cluster.cuts |= {(x, y) for x in left for y in right}
    cluster.cuts |= {(y, x) for x in left for y in right}


def test_cluster_dates_delayed_answers_by_their_requests(cluster):
    held = cluster.nodes["b"]
    held.hold_answers = True
    cluster.run(1.0)
    cut_store(cluster, "b")
    cut_links(cluster, "b", "ac")
    cluster.run(3.0)
    assert cluster.append("a", "second", "blue")
    cluster.run(2.5)
    held.hold_answers = False
    held.tick()
    assert "b" not in nodes_with_standing(cluster)


def test_cluster_nodes_without_the_store_do_not_confirm_each_other(cluster):
    cut_store(cluster, "a", "b")
    cut_links(cluster, "ab", "c")
    cluster.run(1.5 * PERIOD_S)
    assert nodes_with_standing(cluster) == ["c"]
    assert cluster.append("c", "second", "blue")
    cluster.run(PERIOD_S)
    assert nodes_with_standing(cluster) == ["c"]


def test_cluster_waits_one_period_after_the_store_is_back(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(20.0)
    cluster.nodes["a"].store.cut = False
    cluster.run(PERIOD_S - 0.5)
    assert not cluster.append("a", "second", "blue")
    cluster.run(2.0)
    assert cluster.append("a", "second", "blue")
    incarnations = {n.registrar.entry.incarnation for n in cluster.nodes.values()}
    assert incarnations == {"a1", "b2", "c3"}, "no node had to register again"


def test_cluster_fences_a_writer_whose_lease_expired(cluster):
    node = cluster.nodes["a"]
    follower = node.follower
    fence = follower.registration
    cluster.store.revoke_lease(node.registrar.lease)
    late = dataclasses.replace(follower.log.recent[-1], seq=follower.log.seq + 1)
    assert not follower.log_store.append(late, follower.base, (fence,))
    assert follower.may_accept(), "the node has not noticed the expiry yet"
    assert not cluster.append("a", "second", "blue")
    assert len(follower.log_store.audit()) == 1


def test_cluster_starts_a_node_from_the_snapshot(cluster, monkeypatch):
    monkeypatch.setattr("heatherhatch_daemon.tasks.follower.COMPACT_ABOVE", 4)
    monkeypatch.setattr(log_store, "COMPACT_CHANGES", 3)
    for number in range(20):
        assert cluster.append("a", f"change-{number}", f"team-{number}")
        cluster.run(1.0)
    assert cluster.nodes["a"].follower.base.seq > 10
    cluster.start("d")
    cluster.run(PERIOD_S)
    assert cluster.nodes["d"].follower.log.seq == 21
    resent = cluster.append("b", "change-0", "team-0")
    assert resent == 2, "the snapshot contains the change ids"
    cluster.check_log()


def test_log_refuses_a_write_delayed_until_after_a_compaction(cluster):
    follower = cluster.nodes["a"].follower
    late, base = follower.log.recent[-1], follower.base
    assert follower.log_store.compact(follower.log, base)
    assert not follower.log_store.append(late, base, ())


class ClusterMachine(RuleBasedStateMachine):
    """Random faults; the cluster checks its invariants after each step."""

    def __init__(self):
        super().__init__()
        self.cluster = VirtualCluster(NAMES)
        self.count = 0
        self.cluster.run(1.0)
        self.append("a", 2)
        self.cluster.run(2.5 * PERIOD_S)

    @rule(seconds=st.sampled_from([0.25, 1.0, 2.5, 7.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    @rule(names=st.sets(NAME, min_size=2))
    def begin_outage(self, names):
        cut_store(self.cluster, *names)
        self.cluster.run(2.5)

    @rule(name=NAME)
    def end_outage(self, name):
        self.cluster.nodes[name].store.cut = False
        self.cluster.run(0.5)

    @rule(name=NAME, share=st.sampled_from([0.0, 0.5]))
    def lose_answers(self, name, share):
        self.cluster.nodes[name].store.lost_share = share

    @rule(name=NAME, held=st.booleans())
    def isolate(self, name, held):
        self.cluster.nodes[name].hold_answers = held
        self.cluster.run(0.25)
        self.cluster.nodes[name].store.cut = True
        for other in NAMES:
            self.cluster.cuts |= {(name, other), (other, name)}

    @rule(name=NAME, store=st.booleans())
    def heal(self, name, store):
        node = self.cluster.nodes[name]
        node.hold_answers = False
        node.paused = False
        node.store.cut = not store
        self.cluster.cuts = {pair for pair in self.cluster.cuts if name not in pair}
        node.tick()
        self.cluster.check()

    @rule(name=NAME)
    def release_answers(self, name):
        self.cluster.nodes[name].hold_answers = False
        self.cluster.run(0.125)

    @rule(name=NAME)
    def pause(self, name):
        self.cluster.nodes[name].paused = True

    @rule(name=NAME)
    def restart(self, name):
        self.cluster.start(name)

    @rule(name=NAME, changes=st.integers(1, 4))
    def append(self, name, changes):
        """Append some changes, so that the log is compacted soon."""
        for _ in range(changes):
            self.count += 1
            self.cluster.append(name, f"change-{self.count}", f"team-{self.count}")

    @precondition(lambda self: self.count)
    @rule(name=NAME, data=st.data())
    def resend(self, name, data):
        number = data.draw(st.integers(1, self.count))
        self.cluster.append(name, f"change-{number}", f"team-{number}")

    @invariant()
    def invariants_hold(self):
        self.cluster.check()
        self.cluster.check_log()


def test_cluster_holds_its_invariants_under_faults(monkeypatch):
    monkeypatch.setattr(log_store, "COMPACT_CHANGES", 3)
    monkeypatch.setattr("heatherhatch_daemon.tasks.follower.COMPACT_ABOVE", 4)
    machine = ClusterMachine.TestCase
    machine.settings = settings(max_examples=40, stateful_step_count=20)
    machine().runTest()
