"""Each team's limit is divided among the pools as they need it."""

import dataclasses
from types import SimpleNamespace

import pytest

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.scheduler.limit_waits import LimitWaits
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import Pool, Team
from heatherhatch_core.state.resources import NO_RESOURCES, Resources
from heatherhatch_daemon.pools import limit_turns, limit_wait_log, part_targets
from heatherhatch_daemon.pools.fleet_records import Grant
from heatherhatch_daemon.pools.part_targets import (
    CONTENDED_RESERVE_DIVISOR,
    RELEASE_AFTER_S,
)
from heatherhatch_daemon.pools.pool_grants import PoolGrants
from heatherhatch_daemon.pools.record_watchers import PlanWatcher
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction
from pool_model import CONFIG

POOLS = ("a", "b", "c", "d")
LIMIT = Resources(80_000, 80_000)
TEAM_CONFIG = dataclasses.replace(
    CONFIG,
    teams=(Team("red", limit=LIMIT),),
    pools=tuple(Pool(pool) for pool in POOLS),
)
STEPS = 40  # enough for each pool to react to all others


class DemandModel:
    """A scheduler that starts what its allowance covers.

    Attributes:
        cpu_m: Demand for the team, thousandths of a core.
    """

    def __init__(self):
        self.cpu_m = 0
        self.allowed = NO_RESOURCES
        self.state = SimpleNamespace(
            team_used={}, allowance_shortfall={}, limit_waits=LimitWaits()
        )

    def set_limit_reservations(self, steps):
        """Ignore the steps: all demand is for tasks of one size."""
        assert steps == {}

    def set_allowances(self, allowances):
        self.allowed = allowances["red"]
        used_m = min(self.cpu_m, self.allowed.cpu_m) // 1000 * 1000
        self.state.team_used = {"red": Resources(used_m, used_m)}
        unmet_m = self.cpu_m - used_m
        self.state.allowance_shortfall = (
            {"red": Resources(unmet_m, unmet_m)} if unmet_m else {}
        )


class GrantsModel:
    """Four pools that divide the limit of one team, with a clock that a test sets."""

    def __init__(self, monkeypatch):
        self.now_s = 100.0
        for module in (limit_turns, limit_wait_log, part_targets):
            monkeypatch.setattr(module, "now_s", lambda: self.now_s)
        self.store = MemoryStore(lambda: 0.0)
        self.watcher = PlanWatcher(self.store)
        self.demands = {pool: DemandModel() for pool in POOLS}
        self.grants = [
            PoolGrants(
                self.store,
                self.watcher,
                pool,
                lambda: Expect("claims/pool/x", 0),
                self.demands[pool],
            )
            for pool in POOLS
        ]

    def step(self, seconds=0.05):
        """Let each pool adjust its part once."""
        self.now_s += seconds
        for grants in self.grants:
            grants.step(TEAM_CONFIG)
        assert sum(item.allowed.cpu_m for item in self.demands.values()) <= (
            LIMIT.cpu_m + len(POOLS)
        )

    def settle(self):
        """Let the pools adjust their parts until nothing changes any more."""
        for _step in range(STEPS):
            self.step()

    def used_cpu_m(self, pool):
        """Return what the team uses in a pool."""
        return self.demands[pool].state.team_used["red"].cpu_m


@pytest.fixture
def model(monkeypatch) -> GrantsModel:
    return GrantsModel(monkeypatch)


def test_reserves_of_idle_pools_do_not_hold_back_a_pool_with_demand(model):
    """Each of three idle pools kept a quarter of the limit."""
    for pool in ("b", "c", "d"):
        model.demands[pool].cpu_m = 10_000
    model.settle()
    for pool in ("b", "c", "d"):
        model.demands[pool].cpu_m = 0
    model.settle()
    model.demands["a"].cpu_m = 80_000
    model.settle()
    assert model.used_cpu_m("a") >= LIMIT.cpu_m * 3 // 4


def test_parts_follow_the_demand_from_pool_to_pool(model):
    for pool in (*POOLS, *POOLS):
        for other in POOLS:
            model.demands[other].cpu_m = 80_000 if other == pool else 1_000
        model.settle()
        assert model.used_cpu_m(pool) >= LIMIT.cpu_m * 3 // 4


def test_pools_without_unmet_demand_rarely_write(model):
    for pool in POOLS:
        model.demands[pool].cpu_m = 5_000
    model.settle()
    before = model.store.revision
    for number in range(STEPS):
        for pool in POOLS:
            model.demands[pool].cpu_m = 5_000 - 1_000 * (number % 3)
        model.step(2 * RELEASE_AFTER_S)
    assert model.store.revision == before


def test_a_limit_that_is_used_up_is_not_rewritten_in_each_step(model):
    for pool in POOLS:
        model.demands[pool].cpu_m = 80_000
    model.settle()
    before = model.store.revision
    model.settle()
    assert model.store.revision == before


def test_a_pool_keeps_a_reserve_while_another_is_short(model):
    """A few small jobs must not wait for the demand of another pool to end."""
    model.demands["b"].cpu_m = 10_000
    model.settle()
    model.demands["a"].cpu_m = 80_000
    model.demands["b"].cpu_m = 0
    model.settle()
    model.demands["b"].cpu_m = 5_000
    model.step()
    assert model.used_cpu_m("b") == 5_000


def test_a_pool_starts_nothing_in_a_part_that_it_is_releasing(model, monkeypatch):
    """The pool that got it used it at the same time, and the limit was exceeded."""
    model.demands["a"].cpu_m = 60_000
    model.settle()
    model.demands["a"].cpu_m = 10_000
    model.demands["b"].cpu_m = 70_000
    transact = model.store.transact
    exceeded = []

    def check(transaction):
        written = decode_json(transaction.puts[0].value, Grant)
        for pool, demand in model.demands.items():
            part_m = written.parts.get(pool, (0, 0, 0))[0]
            if demand.allowed.cpu_m > max(1, part_m):
                exceeded.append((pool, demand.allowed.cpu_m, part_m))
        return transact(transaction)

    monkeypatch.setattr(model.store, "transact", check)
    model.settle()
    assert exceeded == []


@pytest.mark.parametrize("is_applied_late", [False, True])
def test_a_release_without_an_answer_holds_until_the_stored_part_is_known(
    model, monkeypatch, is_applied_late
):
    """The store may apply it late, and another pool may use it at once."""
    model.demands["a"].cpu_m = 60_000
    model.settle()
    model.demands["a"].cpu_m = 10_000
    unanswered = []

    def lose(transaction):
        unanswered.append(transaction)
        raise StoreError("no answer")

    with monkeypatch.context() as outage:
        outage.setattr(model.store, "transact", lose)
        model.settle()
        released = decode_json(unanswered[0].puts[0].value, Grant)
        model.demands["a"].cpu_m = 60_000
        model.settle()
        assert model.demands["a"].allowed.cpu_m <= released.parts["a"][0]
    if is_applied_late:
        assert model.store.transact(unanswered[0]).succeeded
    model.settle()
    assert model.used_cpu_m("a") == 60_000
    assert not model.store.transact(unanswered[0]).succeeded


def test_an_answer_that_comes_late_does_not_undo_later_changes(model, monkeypatch):
    """A pool got back a part that it had released after the write that it answers."""
    for pool in ("a", "b"):
        model.demands[pool].cpu_m = 20_000
    model.settle()
    transact = model.store.transact
    key = "grants/red"

    def release_meanwhile(transaction):
        monkeypatch.setattr(model.store, "transact", transact)
        outcome = transact(transaction)
        stored = decode_json(transaction.puts[0].value, Grant)
        later = Grant({**stored.parts, "b": (20_000, 20_000, 0)}, stored.short)
        put = Put(key, encode_json(later))
        transact(Transaction((Expect(key, outcome.revision),), (put,)))
        model.watcher.update_grant(model.store.get(key))
        return outcome

    monkeypatch.setattr(model.store, "transact", release_meanwhile)
    model.demands["a"].cpu_m = 40_000
    model.step()
    model.grants[0].step(TEAM_CONFIG)
    assert model.watcher.grants["red"].parts["b"] == (20_000, 20_000, 0)


def test_drops_in_use_are_released_seldom_while_another_pool_is_short(model):
    """The record that all pools share was written again at each drop in use."""
    for pool in ("b", "c", "d"):
        model.demands[pool].cpu_m = 25_000
    model.settle()
    model.demands["a"].cpu_m = 80_000
    model.settle()
    before = model.store.revision
    steps_per_second = 20
    for _step in range(steps_per_second):
        model.demands["b"].cpu_m -= 1_000
        model.step(1 / steps_per_second)
    # Two releases by the pool whose use drops, each followed by an increase of "a".
    assert model.store.revision - before <= 4
    model.settle()
    used_by_others_m = sum(model.used_cpu_m(pool) for pool in ("b", "c", "d"))
    reserves_m = 3 * LIMIT.cpu_m // CONTENDED_RESERVE_DIVISOR
    assert model.used_cpu_m("a") >= LIMIT.cpu_m - used_by_others_m - reserves_m


def test_a_short_pool_that_goes_off_does_not_hold_down_the_reserves(model):
    """Its name stayed in the record, and the others released all but a little."""
    model.demands["b"].cpu_m = 60_000
    model.settle()
    model.demands["a"].cpu_m = 80_000
    model.settle()
    assert model.watcher.grants["red"].short == ("a",)
    pools = tuple(Pool(pool, standby=pool == "a") for pool in POOLS)
    config = dataclasses.replace(TEAM_CONFIG, pools=pools)
    before = model.watcher.grants["red"].parts["b"]
    model.demands["b"].cpu_m = 50_000
    for _step in range(STEPS):
        model.now_s += 2 * RELEASE_AFTER_S
        model.grants[POOLS.index("b")].step(config)
    assert model.watcher.grants["red"].parts["b"] == before


def test_a_new_holder_does_not_use_a_part_that_the_former_one_has_released(model):
    """Its instance had read the larger part before the claim, and started in it."""
    model.demands["a"].cpu_m = 60_000
    model.settle()
    watcher = PlanWatcher(model.store)
    watcher.update_grant(model.store.get("grants/red"))
    model.demands["a"].cpu_m = 10_000
    for _step in range(STEPS):
        model.step(2 * RELEASE_AFTER_S)
    stored = model.watcher.grants["red"].parts["a"][0]
    assert stored < 60_000
    demand = DemandModel()
    demand.cpu_m = 60_000
    condition = Expect("claims/pool/x", 0)
    grants = PoolGrants(model.store, watcher, "a", lambda: condition, demand)
    allowed = []
    set_allowances = demand.set_allowances

    def note(allowances):
        allowed.append(allowances["red"].cpu_m)
        set_allowances(allowances)

    demand.set_allowances = note
    grants.step(TEAM_CONFIG)
    assert allowed[0] <= stored


def test_a_pool_that_is_short_now_and_then_does_not_rewrite_that_each_time(model):
    """Each small job of a pool wrote the record twice, although no part changed."""
    model.demands["a"].cpu_m = 80_000
    model.settle()
    before = model.store.revision
    for number in range(STEPS):
        model.demands["b"].cpu_m = 10_000 * (number % 2)
        model.step()
    assert model.store.revision - before <= 2
