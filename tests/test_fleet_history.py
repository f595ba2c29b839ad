"""Some days of a fleet in virtual time, with failures of all kinds.

The tests guard against voluntary steps below a pool's availability budget and against
workers that are in two pools or in none. Two tests disable a check and expect that the
history detects it.
"""

import pytest

from heatherhatch_core.state import changes
from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Wave, Worker
from heatherhatch_standins.fleet_history import DAY_S, FleetHistory, Rates

DAYS = 3.0
RATES = Rates(
    failures=6.0,
    restarts=40.0,
    operator_drains=30.0,
    planner_kills=24.0,
    racks_lost=2,
    data_centres_lost=1,
)


@pytest.fixture
def fleet():
    workers = tuple(
        Worker(f"{pool}-{i:02}", f"dc-{i % 4}", f"r-{i % 8}", "10.0.0.1:80", pool)
        for pool, size in (("a", 16), ("b", 16), ("c", 16), ("spare", 12))
        for i in range(size)
    )
    pools = (Pool("a", 13), Pool("b", 13), Pool("c", 14), Pool("spare", 0, spare=True))
    waves = tuple(
        Wave(
            f"w{rack}",
            (0.3 + rack * 0.3) * DAY_S,
            (0.5 + rack * 0.3) * DAY_S,
            tuple(w.worker_id for w in workers if w.rack == f"r-{rack}"),
        )
        for rack in range(8)
    )
    edit = Edit(pools=pools, workers=workers, waves=waves)
    check_edit(Configuration(), edit)
    return apply_change(Configuration(), Change(1, "", "", "", 0.0, edit))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_history_has_no_voluntary_step_below_a_budget(fleet, seed):
    tally = FleetHistory(fleet, seed, RATES).run(DAYS)
    assert tally.violations == 0
    assert tally.mismatched == 0
    assert tally.moves > 0
    assert tally.accepted > 200
    assert tally.refused.total() > 20


def test_history_detects_a_missing_budget_check(fleet, monkeypatch):
    monkeypatch.setattr(changes, "check_budgets", lambda *_: None)
    tally = FleetHistory(fleet, 1, RATES).run(DAYS)
    assert tally.violations > 0


def test_history_detects_an_index_that_is_not_updated(fleet, monkeypatch):
    monkeypatch.setattr(changes, "update_index", lambda before, *_: before.index)
    tally = FleetHistory(fleet, 1, RATES).run(DAYS)
    assert tally.mismatched > 0
