"""Standing, membership and the log of several nodes under faults."""

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


def acting(cluster):
    return [n for n, node in cluster.nodes.items() if node.follower.has_standing()]


def cut_store(cluster, *names):
    for name in names:
        cluster.nodes[name].store.cut = True


def test_cluster_acts_through_an_outage_of_hours(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(PERIOD_S)
    for _ in range(40):
        cluster.run(2.0)
        assert acting(cluster) == list(NAMES)
    assert not cluster.append("a", "late", "blue")


def test_cluster_acts_right_from_the_start_of_an_outage(cluster):
    cut_store(cluster, *NAMES)
    for _ in range(40):
        cluster.run(0.125)
        assert acting(cluster) == list(NAMES)


def test_cluster_stops_with_one_silent_peer_in_an_outage(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(4 * PERIOD_S)
    cluster.nodes["c"].paused = True
    cluster.run(1.5 * PERIOD_S)
    assert "a" not in acting(cluster)
    cluster.nodes["c"].paused = False
    cluster.run(PERIOD_S)
    assert acting(cluster) == list(NAMES)


def test_cluster_carries_a_node_that_lost_the_store_alone(cluster):
    cut_store(cluster, "b")
    cluster.run(30.0)
    assert acting(cluster) == list(NAMES)
    assert cluster.append("a", "second", "blue")
    cluster.run(1.0)
    assert cluster.nodes["b"].follower.log.seq == 2
    assert cluster.nodes["b"].registrar.entry.incarnation == "b2"


def test_cluster_silences_a_node_that_is_cut_off(cluster):
    cut_store(cluster, "b")
    cluster.cuts = {("b", "a"), ("b", "c")}
    cluster.run(1.5 * PERIOD_S)
    assert "b" not in acting(cluster)


def test_cluster_silences_a_node_that_was_paused(cluster):
    cluster.nodes["b"].paused = True
    cluster.run(20.0)
    assert cluster.append("a", "second", "blue")
    cluster.nodes["b"].paused = False
    assert "b" not in acting(cluster)
    cluster.run(4 * PERIOD_S)
    assert acting(cluster) == list(NAMES)
    assert cluster.nodes["b"].registrar.entry.incarnation != "b2"


def test_cluster_gives_no_standing_to_a_start_in_an_outage(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(2 * PERIOD_S)
    cluster.start("d")
    cut_store(cluster, "d")
    cluster.run(2 * PERIOD_S)
    assert acting(cluster) == list(NAMES)


def test_cluster_makes_a_newcomer_wait_for_all_views(cluster):
    cut_store(cluster, *NAMES)
    cluster.run(20.0)
    cluster.start("d")
    cluster.cuts = {(n, "d") for n in NAMES} | {("d", n) for n in NAMES}
    cluster.run(30.0)
    assert acting(cluster) == [*NAMES, "d"]
    assert not cluster.append("d", "second", "blue")
    cluster.cuts = set()
    cluster.run(3 * PERIOD_S)
    assert cluster.append("d", "second", "blue")
    cluster.run(PERIOD_S)
    assert {node.follower.log.seq for node in cluster.nodes.values()} == {2}


def test_cluster_accepts_soon_after_a_member_died(cluster):
    del cluster.nodes["c"]
    cluster.run(0.5)
    assert cluster.append("a", "second", "blue")
    cluster.start("d")
    cluster.run(15.0)
    assert cluster.append("d", "third", "green")
    assert "c" not in cluster.nodes["d"].registrar.nodes


def test_cluster_returns_the_position_of_a_change_that_is_sent_again(cluster):
    seq = cluster.append("a", "again", "blue")
    cluster.run(0.5)
    assert cluster.append("b", "again", "blue") == seq
    assert cluster.append("b", "again", "green") == 0, "another content"


class ClusterMachine(RuleBasedStateMachine):
    """Random faults; the cluster checks its promises at each step."""

    def __init__(self):
        super().__init__()
        self.cluster = VirtualCluster(NAMES)
        self.count = 0
        self.cluster.run(1.0)

    @rule(seconds=st.sampled_from([0.25, 1.0, 2.5, 7.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    @rule(names=st.sets(NAME), cut=st.booleans())
    def change_store_cuts(self, names, cut):
        for name in names:
            self.cluster.nodes[name].store.cut = cut

    @rule(name=NAME, share=st.sampled_from([0.0, 0.5]))
    def lose_answers(self, name, share):
        self.cluster.nodes[name].store.lost_share = share

    @rule(cuts=st.sets(st.tuples(NAME, NAME)))
    def cut_links(self, cuts):
        self.cluster.cuts = cuts

    @rule(name=NAME, paused=st.booleans())
    def pause(self, name, paused):
        self.cluster.nodes[name].paused = paused

    @rule(name=NAME, held=st.booleans())
    def hold_answers(self, name, held):
        self.cluster.nodes[name].hold_answers = held

    @rule(name=NAME)
    def restart(self, name):
        self.cluster.start(name)

    @rule(name=NAME, changes=st.integers(1, 4))
    def append(self, name, changes):
        for _ in range(changes):
            self.count += 1
            self.cluster.append(name, f"change-{self.count}", f"team-{self.count}")

    @precondition(lambda self: self.count)
    @rule(name=NAME, data=st.data())
    def resend(self, name, data):
        number = data.draw(st.integers(1, self.count))
        self.cluster.append(name, f"change-{number}", f"team-{number}")

    @invariant()
    def promises_hold(self):
        self.cluster.check()
        self.cluster.check_log()


def test_cluster_keeps_its_promises_under_faults(monkeypatch):
    monkeypatch.setattr(log_store, "COMPACT_CHANGES", 3)
    monkeypatch.setattr("heatherhatch_daemon.tasks.follower.COMPACT_ABOVE", 4)
    machine = ClusterMachine.TestCase
    machine.settings = settings(max_examples=60, stateful_step_count=30)
    machine().runTest()
