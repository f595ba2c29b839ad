"""The team grants of nodes under random and chosen combinations of faults.

The tests guard against nodes that together run more of a team's requests than its
limit. Most scenarios are also run with a faulty variant of the task, which must then
exceed the limit.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from grant_fleet import LEASE_S, STANDING_S, TARGET_S, TEAM, Fleet
from heatherhatch_core.coordination import grants
from heatherhatch_core.coordination.absence import AbsenceWatch
from heatherhatch_core.coordination.grant_ledger import GrantLedger
from heatherhatch_core.coordination.grants import units_held_at_rest
from heatherhatch_core.coordination.standing import Confirmed
from heatherhatch_daemon.tasks.grants import MAX_WRITE_ATTEMPTS, TeamGrants
from heatherhatch_daemon.tasks.registrar import MEMBER_PREFIX

NAMES = ("a", "b", "c")
LIMIT = 6
SETTINGS = settings(max_examples=60, stateful_step_count=60)


class GrantMachine(RuleBasedStateMachine):
    """Nodes that start, crash, pause, race each other and lose answers of the store.

    A node is paused if no rule runs its steps; its clock advances all the same.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(LIMIT, NAMES)
        self.fleet.run_rounds(3)

    def node(self, index):
        names = sorted(self.fleet.nodes)
        return self.fleet.nodes[names[index % len(names)]]

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0, LEASE_S + 0.5]))
    def time_passes(self, seconds):
        self.fleet.advance(seconds)

    @rule(count=st.integers(1, 10))
    def all_nodes_step(self, count):
        self.fleet.run_rounds(count, 0.5)

    @rule(index=st.integers(0, 2))
    def one_node_steps(self, index):
        self.node(index).step()

    @rule(index=st.integers(0, 2), count=st.integers(1, LIMIT))
    def start_requests(self, index, count):
        node = self.node(index)
        for _ in range(count):
            if not node.can_start():
                return
            node.start()
            assert self.fleet.running <= self.fleet.highest_limit()

    @rule(index=st.integers(0, 2))
    def work_ends(self, index):
        end_times_s = self.node(index).end_times_s
        if end_times_s:
            end_times_s.pop()

    @rule(index=st.integers(0, 2), waiting=st.integers(0, 2 * LIMIT))
    def demand_changes(self, index, waiting):
        self.node(index).waiting = waiting

    @rule(index=st.integers(0, 2))
    def crash_and_restart(self, index):
        name = self.node(index).name
        self.fleet.kill(name)
        self.fleet.add(name)
        self.fleet.nodes[name].store.down = self.fleet.is_store_down

    @rule(index=st.integers(0, 2), late=st.booleans(), failing=st.integers(0, 1))
    def next_answer_is_lost(self, index, late, failing):
        store = self.node(index).store
        store.hold_next = int(late)
        store.lose_next = not late
        store.failing_calls_after_loss = failing

    @rule()
    def late_writes_arrive(self):
        for node in (*self.fleet.nodes.values(), *self.fleet.removed_nodes):
            node.store.deliver()

    @rule()
    def toggle_store(self):
        self.fleet.set_store_down(not self.fleet.is_store_down)

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(limit=st.integers(0, 2 * LIMIT))
    def limit_changes(self, limit):
        self.fleet.set_limit(limit)


def test_tasks_grants_never_exceed_the_limit():
    run_state_machine_as_test(GrantMachine, settings=SETTINGS)


def spend_before_answer(self, record):
    units = record.units_granted_to(self.holder)
    return GrantLedger(self.holder, self.record, self.revision, units, self.revision)


def ignore_pending_write(self, record):
    return self


def reclaim_at_once(self, holder, ends_by_s, now_s):
    return holder in self.since_s


def grow_without_answer(fleet):
    """Node a asks for more units; its write is held back and it gets no answer."""
    receiver = fleet.nodes["a"]
    receiver.waiting = 9
    for other in ("b", "c"):
        fleet.nodes[other].step()
    receiver.store.hold_next = MAX_WRITE_ATTEMPTS
    receiver.store.failing_calls_after_loss = 1
    receiver.step()
    start_all(receiver)
    receiver.waiting = 0
    fleet.nodes["b"].waiting = 9


def give_back_by_late_write(fleet):
    """Node a gives units back by a write that arrives late."""
    giver = fleet.nodes["a"]
    fleet.nodes["b"].waiting = 9
    giver.store.hold_next = MAX_WRITE_ATTEMPTS
    giver.step()
    fleet.nodes["b"].waiting = 0
    giver.step()
    start_all(giver)
    giver.store.deliver()
    fleet.nodes["b"].waiting = 9


def pause_past_lease(fleet):
    """Node a is paused with its grant until all others have reclaimed the grant."""
    paused = fleet.nodes.pop("a")
    fleet.nodes["b"].waiting = 9
    fleet.run_rounds(80)
    fleet.nodes["a"] = paused


def register_again(fleet):
    """Node a registers again after its grant was reclaimed.

    It tries to start work before its team grants have read the records.
    """
    returned = fleet.nodes.pop("a")
    fleet.nodes["b"].waiting = 9
    fleet.run_rounds(80)
    start_all(fleet.nodes["b"])
    start_all(fleet.nodes["c"])
    while (
        returned.registrar.entry not in returned.registrar.membership.registry.members
        or (not returned.follower.has_standing())
    ):
        returned.registrar.step()
        returned.follower.advance(Confirmed(fleet.clock()))
    start_all(returned)
    fleet.removed_nodes.append(returned)


def crash_with_work(fleet):
    """Node a stops renewing its lease and starts work after its entry has expired.

    It then crashes.
    """
    node = fleet.nodes.pop("a")
    while MEMBER_PREFIX + "a" in fleet.store.entries:
        fleet.run_rounds(1)
        node.follower.advance(Confirmed(fleet.clock()))
    start_all(node)
    assert node.end_times_s
    fleet.removed_nodes.append(node)
    fleet.nodes["b"].waiting = 9
    fleet.run_rounds(3)


def expire_all_leases(fleet):
    """All leases expire in an outage of the store; node b reaches it again first."""
    fleet.set_store_down(True)
    fleet.run_rounds(60)
    for node in fleet.nodes.values():
        node.step()
    start_all(fleet.nodes["a"])
    fleet.nodes["b"].waiting = 9
    fleet.is_store_down = False
    fleet.nodes["b"].store.down = False
    fleet.nodes["b"].step()
    fleet.advance(0.3)
    fleet.nodes["b"].step()


def start_all(node):
    while node.can_start():
        node.start()


SCENARIOS = {
    "grow without an answer": grow_without_answer,
    "give back by a late write": give_back_by_late_write,
    "pause past the lease": pause_past_lease,
    "register again": register_again,
    "crash with work": crash_with_work,
    "all leases expire in an outage": expire_all_leases,
}
FAULTY_VARIANTS = {
    "grow without an answer": ((GrantLedger, "before_write", spend_before_answer),),
    "give back by a late write": ((GrantLedger, "before_write", ignore_pending_write),),
    "pause past the lease": ((TeamGrants, "may_start_work", lambda self: True),),
    "register again": (
        (TeamGrants, "may_start_work", lambda self: self.follower.has_standing()),
    ),
    "crash with work": ((AbsenceWatch, "has_ended", reclaim_at_once),),
}


def running_after(scenario):
    """Return the units that run once all nodes have started all that they may."""
    fleet = Fleet(LIMIT, NAMES)
    fleet.run_rounds(4)
    scenario(fleet)
    for name in ("b", "c", "b"):
        fleet.nodes[name].step()
        start_all(fleet.nodes[name])
    if "a" in fleet.nodes:
        start_all(fleet.nodes["a"])
    return fleet.running


@pytest.mark.parametrize("name", SCENARIOS)
def test_tasks_grants_hold_the_limit(name):
    assert running_after(SCENARIOS[name]) <= LIMIT


@pytest.mark.parametrize("name", FAULTY_VARIANTS)
def test_tasks_grants_scenario_detects_a_faulty_variant(name, monkeypatch):
    for owner, attribute, faulty in FAULTY_VARIANTS[name]:
        monkeypatch.setattr(owner, attribute, faulty)
    assert running_after(SCENARIOS[name]) > LIMIT


@pytest.fixture
def fleet():
    started = Fleet(14, ("a", "b", "c", "d", "e", "f", "g"))
    started.run_rounds(4)
    return started


def keep_busy(fleet, name, seconds, period_s=0.25):
    """Let one node start all that it may in each round."""
    node = fleet.nodes[name]
    for _ in range(round(seconds / period_s)):
        while node.can_start():
            node.start(TARGET_S)
        fleet.run_rounds(1, period_s)


def allowances(fleet):
    return [node.team_grants.allowance(TEAM) for node in fleet.nodes.values()]


def test_tasks_grants_give_each_idle_node_a_grant(fleet):
    assert min(allowances(fleet)) >= 1
    assert units_held_at_rest(fleet.limit) <= sum(allowances(fleet)) <= fleet.limit


def test_tasks_grants_move_the_whole_limit_to_one_busy_node(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    assert fleet.nodes["c"].team_grants.allowance(TEAM) == fleet.limit


def test_tasks_grants_spread_again_after_a_burst(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 4.0)
    fleet.nodes["c"].waiting = 0
    fleet.run_rounds(120)
    assert sorted(allowances(fleet)) == [1, 1, 1, 2, 2, 2, 2]


def test_tasks_grants_of_a_crashed_node_are_reclaimed_after_its_work(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    fleet.kill("c")
    fleet.nodes["a"].waiting = 50
    keep_busy(fleet, "a", LEASE_S)
    assert not fleet.nodes["a"].end_times_s
    keep_busy(fleet, "a", STANDING_S + TARGET_S + 3.0)
    assert fleet.nodes["a"].team_grants.allowance(TEAM) == fleet.limit


def test_tasks_grants_stay_usable_through_an_outage(fleet):
    before = allowances(fleet)
    fleet.set_store_down(True)
    fleet.run_rounds(400)
    assert allowances(fleet) == before
    fleet.set_store_down(False)
    fleet.run_rounds(40)
    assert allowances(fleet) == before


def test_tasks_grants_start_nothing_above_a_lowered_limit(fleet):
    for node in fleet.nodes.values():
        for _ in range(2):
            node.start(TARGET_S)
    fleet.set_limit(7)
    fleet.run_rounds(1)
    assert not any(node.can_start() for node in fleet.nodes.values())
    fleet.run_rounds(20)
    assert 5 <= sum(allowances(fleet)) <= 7


def test_tasks_grants_apply_a_lowered_limit_before_the_next_step(fleet):
    fleet.set_limit(7)
    node = fleet.nodes["a"]
    assert node.can_start()
    node.follower.config = fleet.config
    assert not node.can_start()


def test_tasks_grants_use_a_raised_limit_within_seconds(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    fleet.set_limit(30)
    keep_busy(fleet, "c", 2.0)
    assert fleet.nodes["c"].team_grants.allowance(TEAM) == 30


def test_tasks_grants_of_idle_nodes_need_few_store_calls(fleet):
    fleet.run_rounds(40)
    before = fleet.store.calls
    fleet.run_rounds(400)
    grant_calls = fleet.store.calls - before - 400 * 7 * 2
    # Each node reads all records once in 10 s.
    assert grant_calls <= 7 * 11


def test_tasks_grants_are_released_when_a_node_shuts_down(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    fleet.nodes["c"].end_times_s = []
    fleet.nodes["c"].team_grants.finish()
    fleet.nodes["c"].registrar.finish()
    fleet.kill("c")
    fleet.nodes["a"].waiting = 50
    keep_busy(fleet, "a", 2.0)
    assert fleet.nodes["a"].team_grants.allowance(TEAM) == fleet.limit


def test_grants_divide_by_demand_in_any_order():
    demands = tuple(grants.NodeDemand(n, w) for n, w in (("a", 9), ("b", 3), ("c", 0)))
    parts = grants.divide_limit(8, demands)
    assert parts == grants.divide_limit(8, demands[::-1])
    assert parts == {"a": 6, "b": 2, "c": 0}
