"""Delay until the fleet receives a change in the demand of a pool.

At the start of a burst, the demand of a queue doubles within tenths of a second, and
its jobs wait until the coordinator gets a report. Tests set the clock.
"""

import pytest

from heatherhatch_core.coordination.scheduler.demand import PoolDemand
from heatherhatch_daemon.pools import pool_reporter
from heatherhatch_daemon.pools.fleet_records import FleetPlan
from heatherhatch_daemon.pools.keys import report_key
from heatherhatch_daemon.pools.pool_reporter import (
    MAX_AGE_S,
    MIN_INTERVAL_S,
    PoolReporter,
)
from heatherhatch_daemon.pools.record_watchers import PlanWatcher, ReportWatcher
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect
from pool_model import POOL, PoolModel, make_job, make_step


class ReporterHarness:
    """A pool's reporter with a demand and a clock that a test sets."""

    def __init__(self, monkeypatch):
        self.store = MemoryStore(lambda: 0.0)
        self.model = PoolModel(workers=2)
        self.now_s = 100.0
        self.cpu_m = 10_000
        monkeypatch.setattr(pool_reporter, "now_s", lambda: self.now_s)
        scheduler = self.model.scheduler
        monkeypatch.setattr(
            scheduler,
            "demand",
            lambda _now_s, _wall_s: PoolDemand(self.cpu_m, self.cpu_m),
        )
        claim = Expect("claims/pool/till", 0)
        self.reporter = PoolReporter(self.store, scheduler, lambda: claim, 7)
        self.reporter.step()

    def writes_after(self, seconds: float, cpu_m: int) -> bool:
        """Advance the clock, set the demand and return whether a report is written."""
        revision = self.store.revision
        self.now_s += seconds
        self.cpu_m = cpu_m
        self.reporter.step()
        return self.store.revision > revision


@pytest.fixture
def harness(monkeypatch) -> ReporterHarness:
    return ReporterHarness(monkeypatch)


def test_demand_that_doubles_is_reported_in_the_next_step(harness):
    assert harness.writes_after(1.5 * MIN_INTERVAL_S, 20_000)


def test_small_changes_of_demand_are_reported_once_a_second(harness):
    assert not harness.writes_after(1.5 * MIN_INTERVAL_S, 11_000)
    assert not harness.writes_after(1.5 * MIN_INTERVAL_S, 9_000)
    assert harness.writes_after(MAX_AGE_S, 10_500)


def test_reports_keep_a_minimum_interval_to_limit_the_load_on_the_store(harness):
    assert not harness.writes_after(MIN_INTERVAL_S / 2, 90_000)


def test_a_report_has_the_backlog_and_the_cores_that_may_be_added(harness):
    model = harness.model
    model.add(make_job(make_step(20, cores=2, estimate_s=3.0), at_s=model.now_s))
    model.round(0.2)
    harness.reporter.plan_watcher = PlanWatcher(harness.store)
    harness.reporter.plan_watcher.plan = FleetPlan(spare_cpu_m=4_000)
    assert harness.writes_after(MAX_AGE_S, 20_000)
    backlog = harness.reporter.last_report.backlog
    (row,) = backlog.classes
    assert (backlog.cores, backlog.spare_cores, backlog.waiting) == (16.0, 4.0, 72.0)
    assert row.on_time == 72.0
    assert 40.0 <= row.running <= 48.0


def test_a_report_wakes_the_coordinator(harness):
    woken = []
    watcher = ReportWatcher(harness.store, lambda: woken.append(True))
    watcher.feed.read()
    assert woken == [True]
    assert watcher.reports[POOL].token == 7
    assert report_key(POOL) in harness.store.entries


# Guards against a machine that seems idle, and may be taken away, while its present
# worker runs tasks: its earlier one is kept for starts that may still be carried out.
def test_a_worker_that_is_gone_does_not_make_its_machine_seem_idle(harness):
    harness.model.scheduler.remove_worker("w0")
    assert harness.writes_after(MAX_AGE_S, 10_000)
    machines = [load.machine for load in harness.reporter.last_report.loads]
    assert machines == [harness.model.workers["w1"].info.machine]
