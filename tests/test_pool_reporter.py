"""How soon the fleet hears what a pool needs; no network, clock by hand.

The pattern: a queue's turn begins, and its need doubles within tenths of a second.
Each tenth until the coordinator knows is a tenth more in which its jobs wait.
"""

import pytest

from heatherhatch_daemon.pools import pool_reporter
from heatherhatch_daemon.pools.fleet_records import ReportWatcher
from heatherhatch_daemon.pools.keys import report_key
from heatherhatch_daemon.pools.pool_reporter import (
    MAX_AGE_S,
    MIN_INTERVAL_S,
    PoolReporter,
)
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect
from pool_model import POOL, PoolModel


class Teller:
    """A pool's reports with a need and a clock that a test sets."""

    def __init__(self, monkeypatch):
        self.store = MemoryStore(lambda: 0.0)
        self.model = PoolModel(workers=2)
        self.now_s = 100.0
        self.cpu_m = 10_000
        monkeypatch.setattr(pool_reporter, "now_s", lambda: self.now_s)
        scheduler = self.model.scheduler
        monkeypatch.setattr(scheduler, "needed_cpu_m", lambda _now_s: self.cpu_m)
        claim = Expect("claims/pool/till", 0)
        self.reporter = PoolReporter(self.store, scheduler, lambda: claim, 7)
        self.reporter.step()

    def writes_after(self, seconds: float, cpu_m: int) -> bool:
        """Tell whether a need is reported some time after the last report."""
        revision = self.store.revision
        self.now_s += seconds
        self.cpu_m = cpu_m
        self.reporter.step()
        return self.store.revision > revision


@pytest.fixture
def teller(monkeypatch) -> Teller:
    return Teller(monkeypatch)


def test_a_need_that_doubles_is_told_with_the_next_look(teller):
    assert teller.writes_after(1.5 * MIN_INTERVAL_S, 20_000)


def test_a_need_that_wavers_is_told_once_a_second(teller):
    assert not teller.writes_after(1.5 * MIN_INTERVAL_S, 11_000)
    assert not teller.writes_after(1.5 * MIN_INTERVAL_S, 9_000)
    assert teller.writes_after(MAX_AGE_S, 10_500)


def test_needs_are_told_no_more_often_than_the_store_should_bear(teller):
    assert not teller.writes_after(MIN_INTERVAL_S / 2, 90_000)


def test_a_report_wakes_the_coordinator(teller):
    woken = []
    watcher = ReportWatcher(teller.store, lambda: woken.append(True))
    watcher.feed.read()
    assert woken == [True]
    assert watcher.reports[POOL].token == 7
    assert report_key(POOL) in teller.store.entries
