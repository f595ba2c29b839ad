"""Smoothed demand."""

import pytest

from heatherhatch_core.coordination.fair_share import TeamDemand
from heatherhatch_core.coordination.smoothing import SmoothedDemand


def follow(smoothed, units, now_s):
    reports = [TeamDemand("red", "a", units)] if units else []
    followed = smoothed.follow(reports, now_s)
    return followed[0].wanted if followed else 0


def test_smoothing_takes_a_new_demand_in_full():
    assert follow(SmoothedDemand(), 40, 1.0) == 40


def test_smoothing_evens_out_what_jumps():
    smoothed = SmoothedDemand()
    seen = [follow(smoothed, 10 + 10 * (i % 2), 0.1 * i) for i in range(60)]
    assert all(abs(units - 15) < 1.5 for units in seen[30:])


def test_smoothing_follows_a_lasting_change_and_settles():
    smoothed = SmoothedDemand()
    follow(smoothed, 100, 0.0)
    assert follow(smoothed, 20, 0.6) == pytest.approx(20 + 80 * 0.368, abs=0.1)
    for i in range(60):
        units = follow(smoothed, 20, 0.7 + 0.1 * i)
    assert units == 20
    for i in range(90):
        units = follow(smoothed, 0, 7.0 + 0.1 * i)
    assert units == 0
