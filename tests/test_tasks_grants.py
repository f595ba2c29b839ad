"""The keeper of grants, under every mix of faults that it is meant for."""

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
from heatherhatch_daemon.tasks.grants import ATTEMPTS, GrantKeeper
from heatherhatch_daemon.tasks.registrar import MEMBER_PREFIX

NAMES = ("a", "b", "c")
LIMIT = 6
SEARCH = settings(max_examples=60, stateful_step_count=60)


class GrantMachine(RuleBasedStateMachine):
    """Nodes that start, die, pause, race and lose answers.

    A node is paused by not being chosen to work; its clock goes on.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(LIMIT, NAMES)
        self.fleet.rounds(3)

    def node(self, index):
        names = sorted(self.fleet.nodes)
        return self.fleet.nodes[names[index % len(names)]]

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0, LEASE_S + 0.5]))
    def time_passes(self, seconds):
        self.fleet.advance(seconds)

    @rule(count=st.integers(1, 10))
    def all_work(self, count):
        self.fleet.rounds(count, 0.5)

    @rule(index=st.integers(0, 2))
    def one_works(self, index):
        self.node(index).work()

    @rule(index=st.integers(0, 2), count=st.integers(1, LIMIT))
    def starts(self, index, count):
        node = self.node(index)
        for _ in range(count):
            if not node.can_start():
                return
            node.start()
            assert self.fleet.running <= self.fleet.highest_limit()

    @rule(index=st.integers(0, 2))
    def work_ends(self, index):
        ends = self.node(index).ends
        if ends:
            ends.pop()

    @rule(index=st.integers(0, 2), waiting=st.integers(0, 2 * LIMIT))
    def demand_changes(self, index, waiting):
        self.node(index).waiting = waiting

    @rule(index=st.integers(0, 2))
    def dies_and_starts_again(self, index):
        name = self.node(index).name
        self.fleet.kill(name)
        self.fleet.add(name)
        self.fleet.nodes[name].store.down = self.fleet.is_down

    @rule(index=st.integers(0, 2), late=st.booleans(), silent=st.integers(0, 1))
    def next_answer_is_lost(self, index, late, silent):
        store = self.node(index).store
        store.hold_next = int(late)
        store.lose_next = not late
        store.silent_calls_after_loss = silent

    @rule()
    def late_writes_arrive(self):
        for node in (*self.fleet.nodes.values(), *self.fleet.gone):
            node.store.deliver()

    @rule()
    def store_goes_or_comes(self):
        self.fleet.set_down(not self.fleet.is_down)

    @precondition(lambda self: not self.fleet.is_down)
    @rule(limit=st.integers(0, 2 * LIMIT))
    def limit_changes(self, limit):
        self.fleet.set_limit(limit)


def test_tasks_grants_never_exceed_the_limit():
    run_state_machine_as_test(GrantMachine, settings=SEARCH)


def spend_before_the_answer(self, record):
    units = record.units_granted_to(self.holder)
    return GrantLedger(self.holder, self.record, self.revision, units, self.revision)


def forget_the_write(self, record):
    return self


def reclaim_at_once(self, holder, ends_by_s, now_s):
    return holder in self.since_s


def grow_with_silence(fleet):
    """Node a asks for more; the write never arrives and no answer comes."""
    taker = fleet.nodes["a"]
    taker.waiting = 9
    for other in ("b", "c"):
        fleet.nodes[other].work()
    taker.store.hold_next = ATTEMPTS
    taker.store.silent_calls_after_loss = 1
    taker.work()
    start_all(taker)
    taker.waiting = 0
    fleet.nodes["b"].waiting = 9


def give_with_a_late_write(fleet):
    """Node a gives its units away by a write that arrives late."""
    giver = fleet.nodes["a"]
    fleet.nodes["b"].waiting = 9
    giver.store.hold_next = ATTEMPTS
    giver.work()
    fleet.nodes["b"].waiting = 0
    giver.work()
    start_all(giver)
    giver.store.deliver()
    fleet.nodes["b"].waiting = 9


def pause_past_the_lease(fleet):
    """Node a is paused with its part until all others have counted it gone."""
    paused = fleet.nodes.pop("a")
    fleet.nodes["b"].waiting = 9
    fleet.rounds(80)
    fleet.nodes["a"] = paused


def register_anew(fleet):
    """Node a was counted gone, comes back and asks before its keeper looked."""
    back = fleet.nodes.pop("a")
    fleet.nodes["b"].waiting = 9
    fleet.rounds(80)
    start_all(fleet.nodes["b"])
    start_all(fleet.nodes["c"])
    while back.registrar.entry not in back.registrar.membership.registry.members or (
        not back.follower.has_standing()
    ):
        back.registrar.step()
        back.follower.advance(Confirmed(fleet.clock()))
    start_all(back)
    fleet.gone.append(back)


def die_with_work(fleet):
    """Node a renews no lease, starts work once it is forgotten, and dies."""
    node = fleet.nodes.pop("a")
    while MEMBER_PREFIX + "a" in fleet.store.entries:
        fleet.rounds(1)
        node.follower.advance(Confirmed(fleet.clock()))
    start_all(node)
    assert node.ends
    fleet.gone.append(node)
    fleet.nodes["b"].waiting = 9
    fleet.rounds(3)


def outlast_an_outage(fleet):
    """All leases lapse in an outage; node b gets the store back first."""
    fleet.set_down(True)
    fleet.rounds(60)
    for node in fleet.nodes.values():
        node.work()
    start_all(fleet.nodes["a"])
    fleet.nodes["b"].waiting = 9
    fleet.is_down = False
    fleet.nodes["b"].store.down = False
    fleet.nodes["b"].work()
    fleet.advance(0.3)
    fleet.nodes["b"].work()


def start_all(node):
    while node.can_start():
        node.start()


SCENARIOS = {
    "grow with silence": grow_with_silence,
    "give with a late write": give_with_a_late_write,
    "pause past the lease": pause_past_the_lease,
    "register anew": register_anew,
    "die with work": die_with_work,
    "outlast an outage": outlast_an_outage,
}
BROKEN = {
    "grow with silence": ((GrantLedger, "before_write", spend_before_the_answer),),
    "give with a late write": ((GrantLedger, "before_write", forget_the_write),),
    "pause past the lease": ((GrantKeeper, "may_spend", lambda self: True),),
    "register anew": (
        (GrantKeeper, "may_spend", lambda self: self.follower.has_standing()),
    ),
    "die with work": ((AbsenceWatch, "has_ended", reclaim_at_once),),
}


def running_after(scenario):
    """Return the units that run when all start what they may afterwards."""
    fleet = Fleet(LIMIT, NAMES)
    fleet.rounds(4)
    scenario(fleet)
    for name in ("b", "c", "b"):
        fleet.nodes[name].work()
        start_all(fleet.nodes[name])
    if "a" in fleet.nodes:
        start_all(fleet.nodes["a"])
    return fleet.running


@pytest.mark.parametrize("name", SCENARIOS)
def test_tasks_grants_hold_the_limit(name):
    assert running_after(SCENARIOS[name]) <= LIMIT


@pytest.mark.parametrize("name", BROKEN)
def test_tasks_grants_scenario_breaks_a_broken_keeper(name, monkeypatch):
    for owner, attribute, broken in BROKEN[name]:
        monkeypatch.setattr(owner, attribute, broken)
    assert running_after(SCENARIOS[name]) > LIMIT


@pytest.fixture
def fleet():
    made = Fleet(14, ("a", "b", "c", "d", "e", "f", "g"))
    made.rounds(4)
    return made


def keep_busy(fleet, name, seconds, period_s=0.25):
    """Let one node start all it may, again and again."""
    node = fleet.nodes[name]
    for _ in range(round(seconds / period_s)):
        while node.can_start():
            node.start(TARGET_S)
        fleet.rounds(1, period_s)


def parts_of(fleet):
    return [node.keeper.allowance(TEAM) for node in fleet.nodes.values()]


def test_tasks_grants_give_each_node_a_part_at_rest(fleet):
    assert min(parts_of(fleet)) >= 1
    assert units_held_at_rest(fleet.limit) <= sum(parts_of(fleet)) <= fleet.limit


def test_tasks_grants_bring_the_whole_limit_to_one_node(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    assert fleet.nodes["c"].keeper.allowance(TEAM) == fleet.limit


def test_tasks_grants_spread_again_after_a_burst(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 4.0)
    fleet.nodes["c"].waiting = 0
    fleet.rounds(120)
    assert sorted(parts_of(fleet)) == [1, 1, 1, 2, 2, 2, 2]


def test_tasks_grants_of_a_dead_node_come_back_and_no_sooner(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    fleet.kill("c")
    fleet.nodes["a"].waiting = 50
    keep_busy(fleet, "a", LEASE_S)
    assert not fleet.nodes["a"].ends
    keep_busy(fleet, "a", STANDING_S + TARGET_S + 3.0)
    assert fleet.nodes["a"].keeper.allowance(TEAM) == fleet.limit


def test_tasks_grants_stay_usable_through_an_outage(fleet):
    before = parts_of(fleet)
    fleet.set_down(True)
    fleet.rounds(400)
    assert parts_of(fleet) == before
    fleet.set_down(False)
    fleet.rounds(40)
    assert parts_of(fleet) == before


def test_tasks_grants_start_nothing_above_a_lowered_limit(fleet):
    for node in fleet.nodes.values():
        for _ in range(2):
            node.start(TARGET_S)
    fleet.set_limit(7)
    fleet.rounds(1)
    assert not any(node.can_start() for node in fleet.nodes.values())
    fleet.rounds(20)
    assert 5 <= sum(parts_of(fleet)) <= 7


def test_tasks_grants_know_a_lowered_limit_before_the_next_round(fleet):
    fleet.set_limit(7)
    node = fleet.nodes["a"]
    assert node.can_start()
    node.follower.config = fleet.config
    assert not node.can_start()


def test_tasks_grants_use_a_raised_limit_soon(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    fleet.set_limit(30)
    keep_busy(fleet, "c", 2.0)
    assert fleet.nodes["c"].keeper.allowance(TEAM) == 30


def test_tasks_grants_at_rest_cost_few_store_calls(fleet):
    fleet.rounds(40)
    before = fleet.store.calls
    fleet.rounds(400)
    keeper_calls = fleet.store.calls - before - 400 * 7 * 2
    # One look at all records in ten seconds for each node.
    assert keeper_calls <= 7 * 11


def test_tasks_grants_come_back_when_a_node_shuts_down(fleet):
    fleet.nodes["c"].waiting = 50
    keep_busy(fleet, "c", 2.0)
    fleet.nodes["c"].ends = []
    fleet.nodes["c"].keeper.finish()
    fleet.nodes["c"].registrar.finish()
    fleet.kill("c")
    fleet.nodes["a"].waiting = 50
    keep_busy(fleet, "a", 2.0)
    assert fleet.nodes["a"].keeper.allowance(TEAM) == fleet.limit


def test_grants_divide_by_demand_whatever_the_order():
    demands = tuple(grants.NodeDemand(n, w) for n, w in (("a", 9), ("b", 3), ("c", 0)))
    parts = grants.divide_limit(8, demands)
    assert parts == grants.divide_limit(8, demands[::-1])
    assert parts == {"a": 6, "b": 2, "c": 0}
