"""Division of a pool's capacity among teams and nodes."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.fair_share import (
    TeamDemand,
    divide_pool,
    max_min,
    round_parts,
)

TEAMS = ("red", "blue", "green", "grey")
NODES = ("a", "b", "c")
capacities = st.integers(0, 200)
weights = st.fixed_dictionaries({t: st.sampled_from([0.5, 1.0, 3.0]) for t in TEAMS})
wanted = st.fixed_dictionaries({t: st.integers(0, 200) for t in TEAMS})
demands = st.dictionaries(
    st.tuples(st.sampled_from(TEAMS), st.sampled_from(NODES)), st.integers(0, 90)
).map(lambda d: [TeamDemand(team, node, units) for (team, node), units in d.items()])


@given(capacities, wanted, weights)
def test_fair_share_uses_all_capacity_that_is_wanted(capacity, wanted, weights):
    parts = max_min(capacity, wanted, weights)
    assert math.fsum(parts.values()) == pytest.approx(
        min(capacity, sum(wanted.values()))
    )
    assert all(parts[team] <= wanted[team] for team in TEAMS)


@given(capacities, wanted, weights)
def test_fair_share_is_envy_free_by_weight(capacity, wanted, weights):
    parts = max_min(capacity, wanted, weights)
    levels = {team: parts[team] / weights[team] for team in TEAMS}
    for team in TEAMS:
        if parts[team] < wanted[team] - 1e-9:
            assert levels[team] >= max(levels.values()) - 1e-9


@given(capacities, wanted, weights, st.sampled_from(TEAMS), st.integers(1, 50))
def test_fair_share_grows_with_demand(capacity, wanted, weights, team, extra):
    before = max_min(capacity, wanted, weights)
    after = max_min(capacity, {**wanted, team: wanted[team] + extra}, weights)
    assert after[team] >= before[team] - 1e-9
    for other in set(TEAMS) - {team}:
        assert after[other] <= before[other] + 1e-9


@given(capacities, demands, weights, st.randoms(use_true_random=False))
def test_fair_share_does_not_depend_on_order(capacity, demands, weights, shuffler):
    shuffled = list(demands)
    shuffler.shuffle(shuffled)
    first = divide_pool(capacity, tuple(demands), weights, NODES)
    assert divide_pool(capacity, tuple(shuffled), weights, NODES) == first


@given(capacities, demands, weights)
def test_fair_share_budgets_add_up_to_the_capacity(capacity, demands, weights):
    division = divide_pool(capacity, tuple(demands), weights, NODES)
    assert sum(division.budgets.values()) == capacity
    for demand in demands:
        part = division.parts[demand.node].get(demand.team, 0.0)
        assert part <= demand.wanted + 1e-9


@given(st.dictionaries(st.sampled_from(TEAMS), st.integers(0, 40), min_size=1))
def test_fair_share_rounds_to_the_total(thirds):
    parts = {name: units / 3 for name, units in thirds.items()}
    total = sum(thirds.values()) // 3
    parts[min(parts)] += total - math.fsum(parts.values())
    rounded = round_parts(parts, total)
    assert sum(rounded.values()) == total
    assert all(abs(rounded[name] - parts[name]) < 1 + 1e-9 for name in parts)


def test_fair_share_node_part_is_proportional_to_its_demand():
    demands = (TeamDemand("red", "a", 30), TeamDemand("red", "b", 10))
    division = divide_pool(20, demands, {"red": 1.0}, ("a", "b", "c"))
    assert division.parts == {"a": {"red": 15.0}, "b": {"red": 5.0}, "c": {}}
    assert division.budgets == {"a": 15, "b": 5, "c": 0}
