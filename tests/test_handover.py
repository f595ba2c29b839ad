"""Late work hands machines over to work of other pools that can be on time.

Load: one peak asks for more than the whole fleet. The late jobs that it leaves behind
kept their pool's machines busy for ten seconds while the next peak became late too.
"""

from dataclasses import replace

import pytest

from heatherhatch_core.coordination.fleet_sizes import FleetView, PoolNeed
from heatherhatch_core.coordination.pool_sizes import PoolSizer
from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_core.state.resources import Resources

CORES_M = 32_000
STANDBY = "off"


@pytest.fixture
def sizer() -> PoolSizer:
    return PoolSizer()


def make_fleet(red: int = 20, blue: int = 2, off: int = 0) -> FleetView:
    """Return a fleet whose red machines run late work and whose blue peak begins."""
    machines = {
        f"{pool}-{number:02}": Machine(
            f"{pool}-{number:02}", pool, MachineState.UP, capacity=Resources(CORES_M)
        )
        for pool, count in (("red", red), ("blue", blue), (STANDBY, off))
        for number in range(count)
    }
    late = PoolNeed(
        "red",
        100 * CORES_M,
        on_time_cpu_m=2 * CORES_M,
        runs={name: 4 for name in machines if name.startswith("red")},
    )
    peak = PoolNeed("blue", 10 * CORES_M, on_time_cpu_m=10 * CORES_M)
    return FleetView(machines, {"red": late, "blue": peak}, STANDBY)


def test_machines_that_run_late_work_are_drained_for_work_that_can_be_on_time(sizer):
    change = sizer.plan(make_fleet(), 0.0)
    assert change.moves == ()
    # The demand is ten machines, two of which are there already.
    assert len(change.draining) == 8
    assert all(name.startswith("red") for name in change.draining)


def test_a_machine_moves_to_the_peak_once_it_is_empty(sizer):
    fleet = make_fleet()
    draining = sizer.plan(fleet, 0.0).draining
    cleared = frozenset(sorted(draining)[:3])
    change = sizer.plan(replace(fleet, cleared=cleared), 0.1)
    assert {name for name, _pool in change.moves} == cleared
    assert {pool for _name, pool in change.moves} == {"blue"}
    assert len(change.draining) == 5


def test_standby_machines_serve_the_peak_before_late_work_gets_any(sizer):
    change = sizer.plan(make_fleet(off=8), 0.0)
    assert [pool for _name, pool in change.moves] == ["blue"] * 8
    assert not change.draining


def test_machines_are_kept_if_the_peak_ends_before_they_are_empty(sizer):
    fleet = make_fleet()
    assert sizer.plan(fleet, 0.0).draining
    calm = PoolNeed("blue", 0)
    needs = {**fleet.needs, "blue": calm}
    assert not sizer.plan(replace(fleet, needs=needs), 0.1).draining


def test_machines_in_an_evacuated_data_centre_are_replaced_by_others(sizer):
    """They cannot serve the peak, but fewer other machines were drained for it."""
    fleet = make_fleet()
    draining = sizer.plan(fleet, 0.0).draining
    evacuated = frozenset(sorted(draining)[:3])
    change = sizer.plan(replace(fleet, evacuated=evacuated), 0.1)
    assert len(change.draining - evacuated) == 8


def test_work_that_can_be_on_time_keeps_its_machines(sizer):
    fleet = make_fleet()
    busy = replace(fleet.needs["red"], on_time_cpu_m=100 * CORES_M)
    needs = {**fleet.needs, "red": busy}
    assert not sizer.plan(replace(fleet, needs=needs), 0.0).draining


def test_machines_with_lasting_runs_are_not_drained_for_a_peak(sizer):
    fleet = make_fleet()
    lasting = {"red-00", "red-01", "red-02"}
    runs = {
        name: count
        for name, count in fleet.needs["red"].runs.items()
        if name not in lasting
    }
    needs = {**fleet.needs, "red": replace(fleet.needs["red"], runs=runs)}
    assert not sizer.plan(replace(fleet, needs=needs), 0.0).draining & lasting


def test_a_report_without_the_division_of_its_demand_hands_nothing_over(sizer):
    """Instances of an earlier version report their whole demand only."""
    fleet = make_fleet()
    old = replace(fleet.needs["red"], on_time_cpu_m=fleet.needs["red"].cpu_m)
    needs = {**fleet.needs, "red": old}
    assert not sizer.plan(replace(fleet, needs=needs), 0.0).draining


def test_a_pool_whose_own_peak_begins_keeps_the_machines_that_were_leaving_it(sizer):
    """They stayed closed to new runs, the empty ones idle, until the peak had ended."""
    fleet = make_fleet()
    leaving = sizer.plan(fleet, 0.0).draining
    busy = replace(fleet.needs["red"], on_time_cpu_m=100 * CORES_M)
    fleet = replace(
        fleet,
        needs={**fleet.needs, "red": busy},
        cleared=frozenset(sorted(leaving)[:3]),
    )
    change = sizer.plan(fleet, 0.1)
    assert not change.draining
    assert not change.moves


def test_at_most_half_of_a_pool_is_closed_for_a_peak_at_a_time(sizer):
    """A late job waited for seconds with nearly all of its pool closed, but not empty.

    A job must not wait for 3 s while under half of its pool is in use.
    """
    fleet = make_fleet()
    peak = replace(fleet.needs["blue"], cpu_m=90 * CORES_M, on_time_cpu_m=90 * CORES_M)
    fleet = replace(fleet, needs={**fleet.needs, "blue": peak})
    for at_s in (0.0, 0.1, 0.2):
        assert len(sizer.plan(fleet, at_s).draining) == 10
