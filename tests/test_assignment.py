"""Assignments of workers to pools: transitions, budgets and races.

The tests guard against writes that take a pool below its budget or skip a state, among
them writes that were made from an old view.
"""

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from heatherhatch_core.coordination.release import ReleaseGate
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.changes import (
    Change,
    Edit,
    Removal,
    apply_change,
    check_edit,
)
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Assignment,
    Cause,
    Pool,
    WorkClass,
    Worker,
    WorkerState,
    WorkKind,
)
from heatherhatch_core.state.fleet_index import build_index
from heatherhatch_core.state.transitions import TRANSITIONS

STATES = list(WorkerState)
VOLUNTARY = [state for state in STATES if state.value not in ("failed", "lost")]
# Written out independently of the product's table, so that a fault in that table shows.
ALLOWED_STATES = {
    "serving": {"draining", "failed", "lost"},
    "draining": {"drained", "serving", "failed", "lost"},
    "drained": {"serving", "maintenance", "failed", "lost"},
    "maintenance": {"returning", "failed", "lost"},
    "returning": {"serving", "failed", "lost"},
    "failed": {"returning", "maintenance", "failed", "lost"},
    "lost": {"returning", "maintenance", "failed", "lost"},
}


def accept(config, edit):
    """Check and apply an edit as the next position of the log."""
    check_edit(config, edit)
    return apply_change(config, Change(config.seq + 1, "id", "actor", "", 0.0, edit))


def refused_kind(config, edit):
    with pytest.raises(HeatherhatchError) as caught:
        check_edit(config, edit)
    return caught.value.kind


def step(config, name, state, cause, **more):
    pool = more.pop("pool", config.pool_of(name))
    return Edit(assignments=(Assignment(name, pool, state, cause, **more),))


@pytest.fixture
def fleet():
    edit = Edit(
        pools=(Pool("a", 2), Pool("b", 1), Pool("spare", 0, spare=True)),
        classes=(WorkClass("c", "a", WorkKind.REQUEST, 2.0),),
        workers=tuple(
            Worker(f"{pool}{i}", f"fd-{i}", f"r{i}", "127.0.0.1:1", pool)
            for pool, size in (("a", 3), ("b", 2), ("spare", 2))
            for i in range(size)
        ),
    )
    return accept(Configuration(), edit)


def test_assignment_refuses_transitions_that_are_not_in_the_table(fleet):
    jump = step(fleet, "a0", WorkerState.MAINTENANCE, Cause.WAVE, replaces=0)
    assert refused_kind(fleet, jump) is ErrorKind.INVALID_CHANGE
    cause = step(fleet, "a0", WorkerState.DRAINING, Cause.RETURN)
    assert refused_kind(fleet, cause) is ErrorKind.INVALID_CHANGE


def test_assignment_refuses_two_assignments_of_one_worker(fleet):
    item = Assignment("a0", "a", WorkerState.DRAINING, Cause.WAVE)
    assert (
        refused_kind(fleet, Edit(assignments=(item, item))) is ErrorKind.INVALID_CHANGE
    )


def test_assignment_refuses_moves_outside_the_transitions(fleet):
    worker = dataclasses.replace(fleet.workers["a0"], home_pool="b")
    assert refused_kind(fleet, Edit(workers=(worker,))) is ErrorKind.INVALID_CHANGE
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.OPERATOR))
    removal = Edit(removals=(Removal("assignment", "a0"),))
    assert refused_kind(fleet, removal) is ErrorKind.INVALID_CHANGE
    other_pool = step(fleet, "a0", WorkerState.SERVING, Cause.CANCELLED, pool="b")
    assert refused_kind(fleet, other_pool) is ErrorKind.INVALID_CHANGE


def test_assignment_checks_the_budget_in_the_same_write(fleet):
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.OPERATOR))
    second = step(fleet, "a1", WorkerState.DRAINING, Cause.WAVE)
    assert refused_kind(fleet, second) is ErrorKind.BUDGET_EXCEEDED
    removal = Edit(removals=(Removal("worker", "a1"),))
    assert refused_kind(fleet, removal) is ErrorKind.BUDGET_EXCEEDED
    both = Edit(
        assignments=tuple(
            Assignment(name, "b", WorkerState.DRAINING, Cause.WAVE)
            for name in ("b0", "b1")
        )
    )
    assert refused_kind(fleet, both) is ErrorKind.BUDGET_EXCEEDED


def test_assignment_records_failures_below_the_budget(fleet):
    for name in ("a0", "a1", "a2"):
        fleet = accept(fleet, step(fleet, name, WorkerState.FAILED, Cause.FAILURE))
    assert fleet.serving_workers("a") == ()


def test_assignment_refuses_a_stale_confirmation(fleet):
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.WAVE))
    first = fleet.assignments["a0"].seq
    fleet = accept(fleet, step(fleet, "a0", WorkerState.SERVING, Cause.CANCELLED))
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.OPERATOR))
    stale = step(fleet, "a0", WorkerState.DRAINED, Cause.WAVE, replaces=first)
    assert refused_kind(fleet, stale) is ErrorKind.INVALID_CHANGE
    unnamed = step(fleet, "a0", WorkerState.DRAINED, Cause.WAVE)
    assert refused_kind(fleet, unnamed) is ErrorKind.INVALID_CHANGE


def test_assignment_ends_with_its_worker(fleet):
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.OPERATOR))
    fleet = accept(fleet, Edit(removals=(Removal("worker", "a0"),)))
    assert "a0" not in fleet.assignments
    assert len(fleet.serving_workers("a")) == 2


def test_release_waits_for_every_node_and_for_running_requests(fleet):
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.WAVE))
    draining = fleet.assignments["a0"]
    in_force = []
    gate = ReleaseGate(lambda seq: seq in in_force)
    assert not gate.is_drained(fleet, draining, 100.0)
    in_force.append(draining.seq)
    assert not gate.is_drained(fleet, draining, 110.0)
    shorter = Edit(classes=(WorkClass("c", "a", WorkKind.REQUEST, 0.5),))
    fleet = accept(fleet, shorter)
    assert not gate.is_drained(fleet, draining, 111.9)
    assert gate.is_drained(fleet, draining, 112.0)


def test_release_needs_new_evidence_for_a_second_drain(fleet):
    gate = ReleaseGate(lambda _seq: True)
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.WAVE))
    assert not gate.is_drained(fleet, fleet.assignments["a0"], 0.0)
    fleet = accept(fleet, step(fleet, "a0", WorkerState.SERVING, Cause.CANCELLED))
    fleet = accept(fleet, step(fleet, "a0", WorkerState.DRAINING, Cause.OPERATOR))
    assert not gate.is_drained(fleet, fleet.assignments["a0"], 10.0)


class RacingActors(RuleBasedStateMachine):
    """Actors with stale views write to one log; some answers are lost.

    Each actor makes its edit from its own view. The log appends an edit by
    compare-and-swap, after it was checked against the position right before it.
    """

    actors = st.integers(0, 2)
    names = st.sampled_from([f"{p}{i}" for p in ("a", "b", "s") for i in range(3)])

    @initialize()
    def begin(self):
        edit = Edit(
            pools=(Pool("a", 2), Pool("b", 1), Pool("s", 0, spare=True)),
            workers=tuple(
                Worker(f"{pool}{i}", f"fd-{i}", "r", "127.0.0.1:1", pool)
                for pool in ("a", "b", "s")
                for i in range(3)
            ),
        )
        self.log = accept(Configuration(), edit)
        self.views = [self.log] * 3
        self.accepted = {}

    @rule(actor=actors)
    def read(self, actor):
        self.views[actor] = self.log

    @rule(
        actor=actors,
        name=names,
        state=st.sampled_from(VOLUNTARY),
        cause=st.sampled_from(list(Cause)),
        pool=st.sampled_from(["a", "b", "s"]),
        stays=st.integers(0, 3),
        lost=st.booleans(),
    )
    def write(self, actor, name, state, cause, pool, stays, lost):
        view = self.views[actor]
        pool = view.pool_of(name) if stays else pool
        known = view.assignments.get(name)
        replaces = known.seq if known else 0
        edit = step(view, name, state, cause, pool=pool, replaces=replaces)
        self.submit(f"{actor}-{view.seq}-{name}-{state}", edit, lost)

    @rule(actor=actors, name=names, pick=st.integers(0, 9), lost=st.booleans())
    def follow_the_table(self, actor, name, pick, lost):
        view = self.views[actor]
        state = view.state_of(name)
        transitions = [
            (after, cause)
            for (before, after), causes in TRANSITIONS.items()
            for cause in sorted(causes, key=str)
            if before is state and after in VOLUNTARY
        ]
        after, cause = transitions[pick % len(transitions)]
        moves = after is WorkerState.SERVING and cause is Cause.MOVE
        pool = "b" if moves else view.pool_of(name)
        known = view.assignments.get(name)
        replaces = known.seq if known else 0
        edit = step(view, name, after, cause, pool=pool, replaces=replaces)
        self.submit(f"{actor}-{view.seq}-{name}-{after}", edit, lost)

    @rule(
        actor=actors,
        pair=st.lists(names, min_size=2, max_size=3, unique=True),
    )
    def drain_together(self, actor, pair):
        view = self.views[actor]
        items = tuple(
            Assignment(name, view.pool_of(name), WorkerState.DRAINING, Cause.WAVE)
            for name in pair
        )
        self.submit(f"{actor}-{view.seq}-{pair}", Edit(assignments=items), False)

    @rule(name=names, lost=st.booleans())
    def fail(self, name, lost):
        kind = (WorkerState.LOST, Cause.LOSS) if lost else _FAILURE
        edit = step(self.log, name, *kind)
        before = self.log
        self.log = accept(before, edit)

    @rule(name=names)
    def recover(self, name):
        if self.log.state_of(name) in (WorkerState.FAILED, WorkerState.LOST):
            for state, cause in _RECOVERY:
                self.submit(object(), step(self.log, name, state, cause), False)

    def submit(self, change_id, edit, lost):
        for _ in range(2 if lost else 1):
            # An actor whose answer was lost finds its own change in the log.
            if change_id in self.accepted:
                return
            before = self.log
            try:
                self.log = accept(before, edit)
            except HeatherhatchError:
                return
            self.accepted[change_id] = self.log.seq
            self.check_step(before, edit)

    def check_step(self, before, edit):
        for item in edit.assignments:
            was = before.state_of(item.worker_id).value
            assert item.state.value in ALLOWED_STATES[was]
            if item.pool != before.pool_of(item.worker_id):
                assert was in ("drained", "returning")
        for pool in self.log.pools.values():
            before_count, after_count = (
                count_serving(c, pool.name) for c in (before, self.log)
            )
            assert after_count >= before_count or after_count >= pool.min_available

    @invariant()
    def state_is_consistent(self):
        assert self.log.problems() == []
        assert self.log.index == build_index(self.log)
        serving = [w for p in self.log.pools for w in self.log.serving_workers(p)]
        assert len(serving) == len({worker.worker_id for worker in serving})


_FAILURE = (WorkerState.FAILED, Cause.FAILURE)
_RECOVERY = (
    (WorkerState.RETURNING, Cause.RECOVERY),
    (WorkerState.SERVING, Cause.RETURN),
)


def count_serving(config, pool):
    return sum(
        config.pool_of(name) == pool and config.state_of(name) is WorkerState.SERVING
        for name in config.workers
    )


TestRacingActors = RacingActors.TestCase
TestRacingActors.settings = settings(max_examples=100, stateful_step_count=40)
