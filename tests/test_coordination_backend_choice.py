"""Selection of backend servers and the retry budget."""

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
NO_BACKENDS = frozenset()
DRAWS = st.floats(0, 1, exclude_max=True)


@pytest.fixture
def choice():
    created = BackendChoice()
    created.set_members(NAMES, 0.0)
    return created


def fail(choice, name, now_s, refused=False):
    choice.fail(choice.start(name), now_s, refused)


def names_chosen(choice, now_s, avoided=NO_BACKENDS, count=200):
    rng = random.Random(1)
    draws = [(rng.random(), rng.random()) for _ in range(count)]
    return {choice.choose(now_s, draw, avoided) for draw in draws}


def test_choice_selects_the_less_loaded_of_two(choice):
    for _ in range(3):
        choice.start("a")
    assert names_chosen(choice, 0.0) == {"b", "c", "d"}


def test_choice_still_uses_an_idle_server_with_a_reduced_limit(choice):
    for _ in range(FAILURES_TO_EJECT - 1):
        fail(choice, "a", 0.0)
    assert "a" in names_chosen(choice, 0.0)


def test_choice_ejects_after_one_refused_connection(choice):
    fail(choice, "a", 0.0, refused=True)
    assert names_chosen(choice, 0.5) == {"b", "c", "d"}
    assert "a" in names_chosen(choice, 1.5)


def test_choice_counts_simultaneous_failures_as_one_ejection(choice):
    for _ in range(2_000):
        fail(choice, "a", 0.0, refused=True)
    assert "a" in names_chosen(choice, 1.5)


def test_choice_limits_the_duration_of_repeated_ejections(choice):
    now = 0.0
    for _ in range(2_000):
        fail(choice, "a", now, refused=True)
        now = choice.backends["a"].ejected_until_s
    assert now <= 2_000 * MAX_EJECTION_S


def test_choice_keeps_the_minimum_fraction_serving(choice):
    for name in ("a", "b", "c"):
        fail(choice, name, 0.0, refused=True)
    assert names_chosen(choice, 0.0) == {"c", "d"}


def test_choice_ejects_only_after_consecutive_failures(choice):
    for _ in range(FAILURES_TO_EJECT - 1):
        fail(choice, "a", 0.0)
    choice.succeed(choice.start("a"), 0.01)
    fail(choice, "a", 0.0)
    assert "a" in names_chosen(choice, 0.0)
    for _ in range(FAILURES_TO_EJECT):
        fail(choice, "a", 0.0)
    assert "a" not in names_chosen(choice, 0.0)


def test_choice_avoids_tried_servers_while_others_are_available(choice):
    assert names_chosen(choice, 0.0, frozenset("abc")) == {"d"}
    assert names_chosen(choice, 0.0, frozenset(NAMES)) == set(NAMES)


def test_choice_skips_removed_servers_and_slow_starts_new_ones(choice):
    choice.set_members(("b", "e"), 0.0)
    assert names_chosen(choice, 0.0) == {"b", "e"}
    new_backend = choice.backends["e"]
    assert new_backend.current_limit(0.0) == MIN_LIMIT
    assert new_backend.current_limit(SLOW_START_S) == new_backend.limit


def test_choice_uses_ejected_servers_when_the_others_are_removed(choice):
    fail(choice, "a", 0.0, refused=True)
    choice.set_members(("a",), 0.0)
    assert names_chosen(choice, 0.0) == {"a"}


def test_choice_adapts_the_limit_to_rising_and_falling_latency(
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
    """Any sequence of membership changes, responses and failures."""

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
                > self.choice.backends[item].current_limit(self.now)
                for item in self.choice.serving(self.now)
            )
            return
        state = self.choice.backends[name]
        assert state.running + 1 <= state.current_limit(self.now)
        self.running.append(self.choice.start(name))

    @precondition(lambda self: self.running)
    @rule(latency=st.floats(1e-4, 10.0))
    def respond(self, latency):
        self.choice.succeed(self.running.pop(0), latency)

    @precondition(lambda self: self.running)
    @rule(refused=st.booleans())
    def fail(self, refused):
        self.choice.fail(self.running.pop(), self.now, refused)

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def keeps_the_minimum_fraction_serving(self):
        min_serving = math.ceil(MIN_SERVING_FRACTION * len(self.choice.backends))
        assert len(self.choice.serving(self.now)) >= max(1, min_serving)

    @invariant()
    def keeps_limits_in_bounds(self):
        for state in self.choice.backends.values():
            assert MIN_LIMIT <= state.limit <= MAX_LIMIT
            assert state.running >= 0


TestChoiceMachine = ChoiceMachine.TestCase


def test_retry_budget_limits_retries_to_a_fraction_of_first_attempts():
    budget = RetryBudget(ratio=0.1, reserve=RESERVE)
    allowed = 0
    for _ in range(1_000):
        budget.deposit()
        allowed += budget.withdraw()
    assert RESERVE <= allowed <= 100 + RESERVE


def test_retry_backoff_grows_with_jitter_up_to_a_maximum():
    assert backoff_s(0, 0.0) == 0.0
    assert backoff_s(0, 1.0) < backoff_s(3, 1.0) <= backoff_s(30, 1.0) == MAX_BACKOFF_S
