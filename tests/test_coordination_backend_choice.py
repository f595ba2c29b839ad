"""Choice of backend servers and the retry budget."""

import math
import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherhatch_core.coordination.backend_choice import (
    FAILURES_TO_EJECT,
    MAX_EJECTION_S,
    MAX_LIMIT,
    MIN_LIMIT,
    MIN_SERVING_FRACTION,
    SLOW_START_S,
    BackendChoice,
)
from heatherhatch_core.coordination.retry_budget import (
    MAX_BACKOFF_S,
    RESERVE,
    RetryBudget,
    backoff_s,
)

NAMES = ("a", "b", "c", "d")
NOBODY = frozenset()
DRAWS = st.floats(0, 1, exclude_max=True)


@pytest.fixture
def choice():
    chosen = BackendChoice()
    chosen.set_members(NAMES, 0.0)
    return chosen


def fail(choice, name, now_s, refused=False):
    choice.fail(choice.start(name), now_s, refused)


def names_chosen(choice, now_s, avoided=NOBODY, count=200):
    source = random.Random(1)
    draws = [(source.random(), source.random()) for _ in range(count)]
    return {choice.choose(now_s, draw, avoided) for draw in draws}


def test_choice_takes_the_less_loaded_of_any_two(choice):
    for _ in range(3):
        choice.start("a")
    assert names_chosen(choice, 0.0) == {"b", "c", "d"}


def test_choice_tries_an_idle_server_whose_limit_fell(choice):
    for _ in range(FAILURES_TO_EJECT - 1):
        fail(choice, "a", 0.0)
    assert "a" in names_chosen(choice, 0.0)


def test_choice_counts_a_refused_connection_at_once(choice):
    fail(choice, "a", 0.0, refused=True)
    assert names_chosen(choice, 0.5) == {"b", "c", "d"}
    assert "a" in names_chosen(choice, 1.5)


def test_choice_counts_failures_of_one_moment_as_one_ejection(choice):
    for _ in range(2_000):
        fail(choice, "a", 0.0, refused=True)
    assert "a" in names_chosen(choice, 1.5)


def test_choice_ejects_for_a_bounded_time_however_often(choice):
    now = 0.0
    for _ in range(2_000):
        fail(choice, "a", now, refused=True)
        now = choice.backends["a"].ejected_until_s
    assert now <= 2_000 * MAX_EJECTION_S


def test_choice_ejects_no_more_than_the_floor_allows(choice):
    for name in ("a", "b", "c"):
        fail(choice, name, 0.0, refused=True)
    assert names_chosen(choice, 0.0) == {"c", "d"}


def test_choice_ejects_after_failures_in_a_row_only(choice):
    for _ in range(FAILURES_TO_EJECT - 1):
        fail(choice, "a", 0.0)
    choice.succeed(choice.start("a"), 0.01)
    fail(choice, "a", 0.0)
    assert "a" in names_chosen(choice, 0.0)
    for _ in range(FAILURES_TO_EJECT):
        fail(choice, "a", 0.0)
    assert "a" not in names_chosen(choice, 0.0)


def test_choice_avoids_those_that_were_tried_while_others_are_left(choice):
    assert names_chosen(choice, 0.0, frozenset("abc")) == {"d"}
    assert names_chosen(choice, 0.0, frozenset(NAMES)) == set(NAMES)


def test_choice_gives_nothing_to_those_that_left_and_starts_newcomers_slowly(choice):
    choice.set_members(("b", "e"), 0.0)
    assert names_chosen(choice, 0.0) == {"b", "e"}
    newcomer = choice.backends["e"]
    assert newcomer.room(0.0) == MIN_LIMIT
    assert newcomer.room(SLOW_START_S) == newcomer.limit


def test_choice_tries_the_ejected_again_when_the_others_leave(choice):
    fail(choice, "a", 0.0, refused=True)
    choice.set_members(("a",), 0.0)
    assert names_chosen(choice, 0.0) == {"a"}


def test_choice_lowers_the_limit_of_a_server_that_slows_down_and_raises_it_again(
    choice,
):
    state = choice.backends["a"]
    for _ in range(200):
        choice.succeed(choice.start("a"), 0.01)
    before = state.limit
    for _ in range(30):
        choice.succeed(choice.start("a"), 0.2)
    lowered = state.limit
    assert lowered < before / 1.5
    while state.running < 8:
        choice.start("a")
    for _ in range(60):
        choice.succeed(choice.start("a"), 0.005)
    assert state.limit > lowered


class ChoiceMachine(RuleBasedStateMachine):
    """Any course of members, answers and failures."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.choice = BackendChoice()
        self.choice.set_members(NAMES[:2], 0.0)
        self.running = []

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def change_members(self, names):
        self.choice.set_members(tuple(sorted(names)), self.now)

    @rule(draws=st.tuples(DRAWS, DRAWS), avoided=st.frozensets(st.sampled_from(NAMES)))
    def send(self, draws, avoided):
        name = self.choice.choose(self.now, draws, avoided)
        if name is None:
            assert all(
                self.choice.backends[item].running + 1
                > self.choice.backends[item].room(self.now)
                for item in self.choice.serving(self.now)
            )
            return
        state = self.choice.backends[name]
        assert state.running + 1 <= state.room(self.now)
        self.running.append(self.choice.start(name))

    @precondition(lambda self: self.running)
    @rule(latency=st.floats(1e-4, 10.0))
    def answer(self, latency):
        self.choice.succeed(self.running.pop(0), latency)

    @precondition(lambda self: self.running)
    @rule(refused=st.booleans())
    def fail(self, refused):
        self.choice.fail(self.running.pop(), self.now, refused)

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def serves_with_at_least_the_floor(self):
        floor = math.ceil(MIN_SERVING_FRACTION * len(self.choice.backends))
        assert len(self.choice.serving(self.now)) >= max(1, floor)

    @invariant()
    def keeps_limits_in_bounds(self):
        for state in self.choice.backends.values():
            assert MIN_LIMIT <= state.limit <= MAX_LIMIT
            assert state.running >= 0


TestChoiceMachine = ChoiceMachine.TestCase


def test_retry_budget_allows_a_part_of_the_first_attempts():
    budget = RetryBudget(ratio=0.1, reserve=RESERVE)
    allowed = 0
    for _ in range(1_000):
        budget.deposit()
        allowed += budget.withdraw()
    assert RESERVE <= allowed <= 100 + RESERVE


def test_retry_pause_grows_is_spread_and_bounded():
    assert backoff_s(0, 0.0) == 0.0
    assert backoff_s(0, 1.0) < backoff_s(3, 1.0) <= backoff_s(30, 1.0) == MAX_BACKOFF_S
