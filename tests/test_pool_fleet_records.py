"""What the coordinator asks of the holders, and which answers count."""

from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.fleet_records import (
    FleetPlan,
    PoolReport,
    cleared_machines,
    with_drain_requests,
    with_orders,
)


def report_of(cleared: dict[str, int]) -> PoolReport:
    return PoolReport("till", 1, 0.0, {}, 0, (), cleared)


def test_a_request_that_goes_on_keeps_its_number():
    plan = with_drain_requests(FleetPlan(), {"m1"}, {"m2"})
    again = with_drain_requests(plan, {"m1", "m3"}, {"m2"})
    assert again.vacating["m1"] == plan.vacating["m1"]
    assert again.resting == plan.resting
    assert again.vacating["m3"] > plan.requests


def test_an_empty_machine_counts_only_for_the_request_that_it_answers():
    """A machine is found empty, kept after all, filled, and asked for again."""
    first = with_drain_requests(FleetPlan(), set(), {"m1"})
    report = report_of({"m1": first.resting["m1"]})
    assert cleared_machines(first, [report]) == {"m1"}
    kept = with_drain_requests(first, set(), set())
    assert cleared_machines(kept, [report]) == set()
    again = with_drain_requests(kept, set(), {"m1"})
    assert cleared_machines(again, [report]) == set()
    assert cleared_machines(again, [report_of(dict(again.resting))]) == {"m1"}


def test_a_machine_that_must_go_sooner_keeps_its_request():
    plan = with_drain_requests(FleetPlan(), set(), {"m1"})
    sooner = with_drain_requests(plan, {"m1"}, {"m1"})
    assert sooner.vacating == plan.resting
    assert sooner.resting == {}


def test_the_plan_holds_the_last_order_for_each_machine():
    plan = with_orders(FleetPlan(), {"m1", "m2"}, 7, 100.0)
    plan = with_orders(plan, {"m1"}, 9, 101.0)
    assert (plan.last_order("m1").token, plan.last_order("m1").at_s) == (9, 101.0)
    assert plan.last_order("m2").token == 7


def test_the_plan_drops_orders_that_no_successor_would_wait_for():
    """With every machine's last order in it, it was written in each round."""
    plan = FleetPlan()
    for number in range(1000):
        plan = with_orders(plan, {f"m{number}"}, 7, 100.0 + number)
    assert len(plan.orders) <= 30
    rules = CoordinatorRules()
    assert rules.min_order_gap_s + rules.maintenance_s < 30
    assert plan.last_order("m999") is not None
