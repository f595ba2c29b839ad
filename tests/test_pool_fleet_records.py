"""Requests of the coordinator to drain machines, and the answers that count."""

from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.fleet_records import (
    FleetPlan,
    PoolReport,
    cleared_machines,
    with_drain_requests,
    with_orders,
)

MACHINES = {"m1": Machine("m1", "till", MachineState.UP)}


def make_report(cleared: dict[str, int], pool: str = "till") -> PoolReport:
    return PoolReport(pool, 1, 0.0, {}, 0, (), cleared)


def test_a_continued_request_keeps_its_number():
    plan = with_drain_requests(FleetPlan(), {"m1"}, {"m2"})
    updated = with_drain_requests(plan, {"m1", "m3"}, {"m2"})
    assert updated.vacating["m1"] == plan.vacating["m1"]
    assert updated.resting == plan.resting
    assert updated.vacating["m3"] > plan.requests


def test_a_cleared_machine_counts_only_for_the_request_that_it_answers():
    """A drained machine stayed in its pool, got new runs and must drain again."""
    first = with_drain_requests(FleetPlan(), set(), {"m1"})
    report = make_report({"m1": first.resting["m1"]})
    assert cleared_machines(first, [report], MACHINES) == {"m1"}
    withdrawn = with_drain_requests(first, set(), set())
    assert cleared_machines(withdrawn, [report], MACHINES) == set()
    updated = with_drain_requests(withdrawn, set(), {"m1"})
    assert cleared_machines(updated, [report], MACHINES) == set()
    answer = make_report(dict(updated.resting))
    assert cleared_machines(updated, [answer], MACHINES) == {"m1"}


# Guards against maintenance of a machine with lasting tasks, 0.3 s after a wave began:
# its former pool still listed the former worker, without runs.
def test_only_the_pool_of_a_machine_reports_it_as_empty():
    plan = with_drain_requests(FleetPlan(), {"m1"}, set())
    former = make_report(dict(plan.vacating), pool="wall")
    assert cleared_machines(plan, [former], MACHINES) == set()
    assert cleared_machines(plan, [former], {}) == set()


def test_a_request_that_becomes_urgent_keeps_its_number():
    plan = with_drain_requests(FleetPlan(), set(), {"m1"})
    urgent = with_drain_requests(plan, {"m1"}, {"m1"})
    assert urgent.vacating == plan.resting
    assert urgent.resting == {}


def test_the_plan_contains_the_last_order_for_each_machine():
    plan = with_orders(FleetPlan(), {"m1", "m2"}, 7, 100.0)
    plan = with_orders(plan, {"m1"}, 9, 101.0)
    assert (plan.last_order("m1").token, plan.last_order("m1").at_s) == (9, 101.0)
    assert plan.last_order("m2").token == 7


def test_the_plan_drops_orders_that_a_new_coordinator_need_not_await():
    """Each round wrote the plan, which included the last orders of all machines."""
    plan = FleetPlan()
    for number in range(1000):
        plan = with_orders(plan, {f"m{number}"}, 7, 100.0 + number)
    assert len(plan.orders) <= 30
    rules = CoordinatorRules()
    assert rules.min_order_gap_s + rules.maintenance_s < 30
    assert plan.last_order("m999") is not None
