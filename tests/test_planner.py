"""Plans over all maintenance waves, and the steps that carry them out.

The tests guard against plans and steps that take a pool below its availability budget
without reporting a shortfall.
"""

import dataclasses
import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherhatch_core.coordination.planner import (
    Evidence,
    PlanTiming,
    drain_time,
    due_steps,
    failure_edit,
    plan_waves,
)
from heatherhatch_core.coordination.planner.annealing import Annealing
from heatherhatch_core.coordination.planner.demand import (
    Timeline,
    find_absences,
    find_needs,
)
from heatherhatch_core.coordination.planner.explanation import list_moves
from heatherhatch_core.coordination.planner.lending import SpareAssigner
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Assignment,
    Cause,
    Pool,
    Wave,
    Worker,
    WorkerState,
)

TIMING = PlanTiming(lead_s=10.0, return_s=10.0, restart_s=60.0)


def accept(config, edit):
    check_edit(config, edit)
    return apply_change(config, Change(config.seq + 1, "id", "actor", "", 0.0, edit))


@pytest.fixture
def fleet():
    edit = Edit(
        pools=(Pool("a", 3), Pool("b", 3), Pool("spare", 0, spare=True)),
        workers=tuple(
            Worker(f"{pool}{i}", f"fd-{i}", f"r{i}", "127.0.0.1:1", pool)
            for pool, size in (("a", 3), ("b", 3), ("spare", 3))
            for i in range(size)
        ),
    )
    return accept(Configuration(), edit)


def announce(config, *waves):
    return accept(config, Edit(waves=waves))


def moves_of(plan):
    return [(m.at_s, m.worker_id, m.from_pool, m.to_pool) for m in plan.moves]


def test_planner_lends_a_spare_before_a_wave_and_returns_it_after(fleet):
    fleet = announce(fleet, Wave("w", 1000.0, 2000.0, ("a0",)))
    plan = plan_waves(fleet, 0.0, TIMING)
    assert moves_of(plan) == [
        (980.0, "spare1", "spare", "a"),
        (2010.0, "spare1", "a", "spare"),
    ]
    assert plan.moves[0].reason == "wave w takes a below its budget"
    assert plan.shortfalls == ()
    assert drain_time(plan, "a0") == 990.0
    assert drain_time(plan, "spare1") == 980.0
    assert drain_time(plan, "b0") is None


def test_planner_keeps_a_spare_between_two_waves_of_a_pool(fleet):
    first = Wave("w1", 1000.0, 2000.0, ("a0",))
    second = Wave("w2", 9000.0, 9500.0, ("a1",))
    plan = plan_waves(announce(fleet, first, second), 0.0, TIMING)
    assert [move[2:] for move in moves_of(plan)] == [("spare", "a"), ("a", "spare")]
    # Its failure domain is neither that of a0 nor that of a1.
    assert plan.moves[0].worker_id == "spare2"


def test_planner_moves_a_spare_directly_to_the_next_pool(fleet):
    first = Wave("w1", 1000.0, 2000.0, ("a0",))
    second = Wave("w2", 9000.0, 9500.0, ("b0",))
    plan = plan_waves(announce(fleet, first, second), 0.0, TIMING)
    steps = [move[2:] for move in moves_of(plan)]
    assert steps == [("spare", "a"), ("a", "b"), ("b", "spare")]


def test_planner_spares_are_outside_the_domain_of_replaced_workers(fleet):
    fleet = announce(fleet, Wave("w", 1000.0, 2000.0, ("a0", "b1")))
    plan = plan_waves(fleet, 0.0, TIMING)
    domains = {cover.pool: cover.worker_id for cover in plan.covers}
    assert domains["a"] != "spare0"
    assert domains["b"] != "spare1"


def test_planner_replaces_a_spare_that_has_a_wave_itself(fleet):
    failure = Edit(assignments=tuple(_failed(f"spare{i}") for i in (0,)))
    fleet = accept(fleet, failure)
    long = Wave("w1", 1000.0, 9000.0, ("a0",))
    early = Wave("w2", 2000.0, 3000.0, ("spare1",))
    late = Wave("w3", 6000.0, 7000.0, ("spare2",))
    plan = plan_waves(announce(fleet, long, early, late), 0.0, TIMING)
    assert plan.shortfalls == ()
    for at_s in range(995, 9005, 5):
        serving = [c for c in plan.covers if c.start_s <= at_s < c.end_s]
        assert len(serving) == 1
        assert not (serving[0].worker_id == "spare1" and 1990 <= at_s < 3010)
        assert not (serving[0].worker_id == "spare2" and 5990 <= at_s < 7010)


def _failed(name):
    return Assignment(name, "spare", WorkerState.FAILED, Cause.FAILURE)


def test_planner_reports_a_shortfall_before_the_wave(fleet):
    wave = Wave("w", 1000.0, 2000.0, ("a0", "a1", "spare0", "spare1"))
    plan = plan_waves(announce(fleet, wave), 0.0, TIMING)
    (shortfall,) = plan.shortfalls
    assert (shortfall.wave_id, shortfall.pool, shortfall.missing) == ("w", "a", 1)
    assert (shortfall.at_s, shortfall.until_s, shortfall.reachable) == (990, 2010, 2)
    assert "add 1 to a spare pool outside fd-0, fd-1" in shortfall.mend
    lowered = dataclasses.replace(fleet.pools["a"], min_available=shortfall.reachable)
    fleet = accept(fleet, Edit(pools=(lowered,)))
    assert plan_waves(announce(fleet, wave), 0.0, TIMING).shortfalls == ()


def test_planner_replaces_a_failed_worker_and_keeps_other_moves(fleet):
    waves = (Wave("w", 1000.0, 2000.0, ("a0",)), Wave("v", 5000.0, 6000.0, ("a0",)))
    before = plan_waves(announce(fleet, *waves), 0.0, TIMING)
    fleet = accept(announce(fleet, *waves), failure_edit(fleet, _LOST_B, 1.0, ""))
    after = plan_waves(fleet, 1.0, TIMING, before)
    assert moves_of(before) == [m for m in moves_of(after) if "a" in m[2:]]
    assert [m[:1] + m[2:] for m in moves_of(after)][0] == (1.0, "spare", "b")
    # Until the spare worker has joined, the pool is one worker short, which the plan
    # reports.
    (shortfall,) = after.shortfalls
    assert (shortfall.pool, shortfall.until_s) == ("b", 11.0)


_LOST_B = {"b2": WorkerState.LOST}


def test_planner_keeps_the_reserve_of_a_spare_pool(fleet):
    reserve = Edit(pools=(Pool("spare", 3, spare=True),))
    fleet = announce(accept(fleet, reserve), Wave("w", 1000.0, 2000.0, ("a0",)))
    plan = plan_waves(fleet, 0.0, TIMING)
    assert plan.moves == ()
    assert [item.missing for item in plan.shortfalls] == [1]


@given(st.data())
@settings(max_examples=60)
def test_planner_keeps_every_budget_or_reports_a_shortfall(data):
    numbers = st.integers(0, 40)
    workers = tuple(
        Worker(f"{pool}{i}", f"fd-{i % 3}", f"r{i}", "127.0.0.1:1", pool)
        for pool, size in (("a", 4), ("b", 4), ("c", 3), ("s", 5))
        for i in range(size)
    )
    pools = (Pool("a", 3), Pool("b", 4), Pool("c", 2), Pool("s", 0, spare=True))
    fleet = accept(Configuration(), Edit(pools=pools, workers=workers))
    names = st.lists(st.sampled_from(sorted(fleet.workers)), min_size=1, max_size=5)
    waves = []
    for i in range(data.draw(st.integers(1, 5))):
        start_s = 100.0 * data.draw(numbers)
        end_s = start_s + 100.0 * data.draw(st.integers(1, 8))
        waves.append(Wave(f"w{i}", start_s, end_s, tuple(data.draw(names))))
    fleet = announce(fleet, *waves)
    plan = plan_waves(fleet, 0.0, TIMING)
    for at_s in range(0, 5000, 25):
        check_budgets_at(fleet, waves, plan, float(at_s))
    assert_moves_lead_to_covers(plan)


def check_budgets_at(fleet, waves, plan, at_s):
    unavailable = {
        name
        for wave in waves
        if wave.start_s - TIMING.lead_s <= at_s < wave.end_s + TIMING.return_s
        for name in wave.workers
    }
    covers = [c for c in plan.covers if c.start_s <= at_s < c.end_s]
    assert len({c.worker_id for c in covers}) == len(covers)
    assert not unavailable & {c.worker_id for c in covers}
    for pool in ("a", "b", "c"):
        serving = sum(w.worker_id not in unavailable for w in fleet.workers_of(pool))
        serving += sum(c.pool == pool for c in covers)
        reported = sum(
            item.missing
            for item in plan.shortfalls
            if item.pool == pool and item.at_s <= at_s < item.until_s
        )
        assert serving + reported >= fleet.pools[pool].min_available


def assert_moves_lead_to_covers(plan):
    places = {}
    steps = [(move.at_s, 0, move) for move in plan.moves]
    steps += [(cover.start_s, 1, cover) for cover in plan.covers]
    for _, kind, step in sorted(steps, key=lambda step: step[:2]):
        if kind == 0:
            assert places.get(step.worker_id, "s") == step.from_pool
            places[step.worker_id] = step.to_pool
        else:
            assert places[step.worker_id] == step.pool
    assert set(places.values()) <= {"s"}


def rolling_fleet():
    workers = tuple(
        Worker(f"{pool}{i}", f"fd-{i % 4}", f"r{i}", "127.0.0.1:1", pool)
        for pool, size in (*((f"p{n}", 8) for n in range(6)), ("s", 16))
        for i in range(size)
    )
    pools = tuple(Pool(f"p{n}", 7) for n in range(6)) + (Pool("s", 0, spare=True),)
    fleet = accept(Configuration(), Edit(pools=pools, workers=workers))
    waves = []
    for i in range(8):
        names = [f"p{n}{j}" for n in range(6) for j in (i, (i + 4 * (n % 2)) % 8)]
        names += [f"p{n}{(i + n + 1) % 8}" for n in range(0, 6, 1 + i % 3)]
        names.append(f"s{i}")
        start_s = 1000.0 + 100_000.0 * i
        waves.append(Wave(f"w{i}", start_s, start_s + 500.0, tuple(sorted(set(names)))))
    return announce(fleet, *waves)


def test_annealing_meets_the_same_needs_with_fewer_moves():
    fleet = rolling_fleet()
    absences = find_absences(fleet, 0.0, TIMING)
    timeline = Timeline(0.0, absences, TIMING)
    needs = find_needs(fleet, timeline, absences)
    plans = []
    for _ in range(2):
        lending = SpareAssigner(fleet, timeline, absences).assign(needs, ())
        before = list_moves(lending, timeline)
        met = sorted(map(repr, (n for item in lending.spares for n in item.needs)))
        # If a move has an infinite cost, idle time has no effect: only moves count.
        Annealing(list(lending.spares), timeline, math.inf).run()
        after = list_moves(lending, timeline)
        again = sorted(map(repr, (n for item in lending.spares for n in item.needs)))
        assert met == again
        assert len(after) < len(before)
        plans.append(after)
        for item in lending.spares:
            for need, later in itertools.pairwise(item.needs):
                assert need.last <= later.first
            for need in item.needs:
                assert not item.away & need.mask
                assert item.worker.failure_domain not in need.domains
    assert plans[0] == plans[1]


def test_planner_keeps_every_choice_of_an_improved_plan():
    fleet = rolling_fleet()
    plan = plan_waves(fleet, 0.0, TIMING)
    assert plan_waves(fleet, 0.0, TIMING, plan) == plan


class PlannerNode:
    """The planner of one node, stepped at times that the test sets.

    Attributes:
        confirm_s: Seconds after which a draining worker counts as drained.
        down: Names of the workers whose backend servers do not answer.
    """

    def __init__(self, confirm_s=4.0):
        self.confirm_s = confirm_s
        self.down = set()

    def step(self, config, now_s, stale=None):
        view = stale or config
        plan = plan_waves(view, now_s, TIMING)
        evidence = Evidence(
            lambda item: now_s - item.since_s >= self.confirm_s,
            lambda name: name not in self.down,
        )
        for edit in due_steps(view, plan, now_s, evidence).edits:
            try:
                config = accept(config, edit)
            except HeatherhatchError:
                continue
        return config


def run(config, planners, start_s, end_s, check):
    for now_s in range(start_s, end_s):
        config = planners[now_s % len(planners)].step(config, float(now_s))
        check(now_s, config)
    return config


def check_budgets(_now_s, config):
    for pool in config.pools.values():
        assert len(config.serving_workers(pool.name)) >= pool.min_available


def test_steps_carry_out_a_wave_under_changing_holders(fleet):
    fleet = announce(fleet, Wave("w", 1000.0, 1100.0, ("a0", "b1")))
    seen = {}

    def check(now_s, config):
        check_budgets(now_s, config)
        seen[now_s] = (config.state_of("a0"), config.state_of("b1"))

    # The role changes its holder each second. Each holder has only the configuration
    # to continue from.
    fleet = run(fleet, [PlannerNode(), PlannerNode(), PlannerNode()], 950, 1150, check)
    away = (WorkerState.MAINTENANCE, WorkerState.MAINTENANCE)
    assert all(seen[now_s] == away for now_s in range(1002, 1100))
    assert {fleet.state_of(name) for name in fleet.workers} == {WorkerState.SERVING}
    assert [fleet.pool_of(f"spare{i}") for i in range(3)] == ["spare"] * 3


def test_steps_hold_a_drain_back_and_report_the_late_release(fleet):
    wave = Wave("w", 1000.0, 1100.0, ("a0", "spare0", "spare1", "spare2"))
    fleet = run(announce(fleet, wave), [PlannerNode()], 950, 1001, check_budgets)
    plan = plan_waves(fleet, 1001.0, TIMING)
    evidence = Evidence(lambda _item: True, lambda _name: True)
    steps = due_steps(fleet, plan, 1001.0, evidence)
    assert steps.held_back == ("a0",)
    assert "a0" in steps.late
    assert [item.worker_id for item in plan.departures if item.late] == list(steps.late)


def test_steps_of_a_stale_view_change_nothing(fleet):
    fleet = announce(fleet, Wave("w", 1000.0, 1100.0, ("a0",)))
    paused = run(fleet, [PlannerNode()], 950, 996, check_budgets)
    now = run(paused, [PlannerNode()], 996, 1050, check_budgets)
    assert now.state_of("a0") is WorkerState.MAINTENANCE
    after = PlannerNode().step(now, 1050.0, stale=paused)
    assert after.assignments == now.assignments


def test_steps_cancel_a_drain_whose_wave_is_withdrawn(fleet):
    spare_pool = Edit(pools=(Pool("a", 2),))
    wave = Wave("w", 1000.0, 1100.0, ("a0",))
    fleet = announce(accept(fleet, spare_pool), wave)
    fleet = run(fleet, [PlannerNode(confirm_s=60.0)], 985, 995, check_budgets)
    assert fleet.state_of("a0") is WorkerState.DRAINING
    fleet = dataclasses.replace(fleet, waves={})
    fleet = run(fleet, [PlannerNode()], 995, 997, check_budgets)
    assert fleet.state_of("a0") is WorkerState.SERVING


def test_steps_of_a_plan_from_before_a_change_of_its_wave_drain_nothing(fleet):
    wave = Wave("w", 1000.0, 2000.0, ("a0",))
    fleet = accept(announce(fleet, wave), Edit(pools=(Pool("a", 2),)))
    plan = plan_waves(fleet, 990.0, TIMING)
    evidence = Evidence(lambda _item: True, lambda _name: True)
    assert due_steps(fleet, plan, 1010.0, evidence).drains
    ended = announce(fleet, dataclasses.replace(wave, end_s=1005.0))
    assert due_steps(ended, plan, 1010.0, evidence).drains == ()
    other = announce(fleet, dataclasses.replace(wave, workers=("a1",)))
    assert due_steps(other, plan, 1010.0, evidence).drains == ()


def test_steps_return_a_recovered_worker(fleet):
    holder = PlannerNode()
    holder.down.add("b2")
    fleet = accept(fleet, failure_edit(fleet, _LOST_B, 0.0, "no answer"))
    fleet = run(fleet, [holder], 0, 40, lambda *_: None)
    assert len(fleet.serving_workers("b")) == 3
    holder.down.clear()
    fleet = run(fleet, [holder], 40, 60, check_budgets)
    assert fleet.state_of("b2") is WorkerState.SERVING
    assert len(fleet.serving_workers("spare")) == 3
