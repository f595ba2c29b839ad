"""What the coordinator asks of the holders, and which answers count."""

from heatherhatch_daemon.pools.board import (
    FleetPlan,
    PoolReport,
    cleared_machines,
    with_requests,
)


def report_of(cleared: dict[str, int]) -> PoolReport:
    return PoolReport("till", 1, 0.0, {}, 0, (), cleared)


def test_a_request_that_goes_on_keeps_its_number():
    plan = with_requests(FleetPlan(), {"m1"}, {"m2"})
    again = with_requests(plan, {"m1", "m3"}, {"m2"})
    assert again.vacating["m1"] == plan.vacating["m1"]
    assert again.resting == plan.resting
    assert again.vacating["m3"] > plan.requests


def test_an_empty_machine_counts_only_for_the_request_that_it_answers():
    """A machine is found empty, kept after all, filled, and asked for again."""
    first = with_requests(FleetPlan(), set(), {"m1"})
    report = report_of({"m1": first.resting["m1"]})
    assert cleared_machines(first, [report]) == {"m1"}
    kept = with_requests(first, set(), set())
    assert cleared_machines(kept, [report]) == set()
    again = with_requests(kept, set(), {"m1"})
    assert cleared_machines(again, [report]) == set()
    assert cleared_machines(again, [report_of(dict(again.resting))]) == {"m1"}


def test_a_machine_that_must_go_sooner_keeps_its_request():
    plan = with_requests(FleetPlan(), set(), {"m1"})
    sooner = with_requests(plan, {"m1"}, {"m1"})
    assert sooner.vacating == plan.resting
    assert sooner.resting == {}
