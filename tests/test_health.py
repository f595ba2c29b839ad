"""Health of workers, as observed by one node."""

import pytest

from heatherhatch_core.coordination.health import CONFIRMATIONS, FleetHealth
from heatherhatch_core.state.changes import Change, Edit, apply_change
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Assignment,
    Cause,
    Pool,
    Worker,
    WorkerState,
)


@pytest.fixture
def fleet():
    workers = tuple(
        Worker(f"w{i:02}", "fd", "r", f"127.0.0.1:{i + 1}", "a") for i in range(12)
    )
    in_maintenance = Assignment("w11", "a", WorkerState.MAINTENANCE, Cause.WAVE)
    edit = Edit(pools=(Pool("a", 1),), workers=workers, assignments=(in_maintenance,))
    return apply_change(Configuration(), Change(1, "", "", "", 0.0, edit))


def miss_probes(health, names, times=CONFIRMATIONS):
    for _ in range(times):
        for name in names:
            health.note(name, False)


def test_health_reports_a_worker_after_consecutive_misses(fleet):
    health = FleetHealth()
    miss_probes(health, ["w01"], CONFIRMATIONS - 1)
    assert health.failed(fleet) == {}
    health.note("w01", True)
    miss_probes(health, ["w01"], CONFIRMATIONS - 1)
    assert health.failed(fleet) == {}
    health.note("w01", False)
    assert health.failed(fleet) == {"w01": WorkerState.FAILED}
    assert health.failed(fleet, frozenset(["w01"])) == {"w01": WorkerState.LOST}


def test_health_reports_no_failures_when_it_may_be_cut_off(fleet):
    health = FleetHealth()
    miss_probes(health, [f"w{i:02}" for i in range(7)])
    assert health.may_be_cut_off(fleet)
    assert health.failed(fleet) == {}
    health.note("w00", True)
    assert len(health.failed(fleet)) == 6


def test_health_probes_all_workers_in_turn_and_suspects_at_once(fleet):
    health = FleetHealth()
    suspects = frozenset([fleet.workers["w09"].address])
    first = health.to_probe(fleet, suspects)
    assert {"w09", "w11"} <= set(first)
    assert len(first) < len(fleet.workers)
    seen = set(first)
    for _ in range(2):
        seen |= set(health.to_probe(fleet, frozenset()))
    assert seen == set(fleet.workers)


def test_health_is_up_only_after_an_answer(fleet):
    health = FleetHealth()
    assert not health.is_up("w11")
    health.note("w11", True)
    assert health.is_up("w11")
    health.note("w11", False)
    assert not health.is_up("w11")
