"""Smoothing of the demand of teams."""

import pytest

from heatherhatch_core.coordination.fair_share import TeamDemand
from heatherhatch_core.coordination.smoothing import SmoothedDemand


def smooth_demand(smoothed, units, now_s):
    reports = [TeamDemand("red", "a", units)] if units else []
    smoothed_reports = smoothed.smooth(reports, now_s)
    return smoothed_reports[0].wanted if smoothed_reports else 0


def test_smoothing_takes_a_new_demand_in_full():
    assert smooth_demand(SmoothedDemand(), 40, 1.0) == 40


def test_smoothing_averages_alternating_demand():
    smoothed = SmoothedDemand()
    seen = [smooth_demand(smoothed, 10 + 10 * (i % 2), 0.1 * i) for i in range(60)]
    assert all(abs(units - 15) < 1.5 for units in seen[30:])


def test_smoothing_converges_to_a_lasting_change():
    smoothed = SmoothedDemand()
    smooth_demand(smoothed, 100, 0.0)
    assert smooth_demand(smoothed, 20, 0.6) == pytest.approx(20 + 80 * 0.368, abs=0.1)
    for i in range(60):
        units = smooth_demand(smoothed, 20, 0.7 + 0.1 * i)
    assert units == 20
    for i in range(90):
        units = smooth_demand(smoothed, 0, 7.0 + 0.1 * i)
    assert units == 0
