"""The rate of a queue whose peak begins or ends is known within a second.

Guards against a rate that averages over the begin of a peak, so that machines come too
late, and against one that follows each cluster of random arrivals, so that machines
come for nothing.
"""

import random

import pytest

from heatherhatch_core.coordination.scheduler.arrival_rate import (
    MAX_ARRIVALS,
    Arrival,
    ArrivalRate,
    find_change,
)


def random_times(per_s, begin_s, end_s, seed):
    """Return random arrival times at a mean rate."""
    rng = random.Random(seed)
    times, at_s = [], begin_s
    while (at_s := at_s + rng.expovariate(per_s)) < end_s:
        times.append(at_s)
    return times


def rate_after(times_s, now_s):
    """Return the arrivals per second at a time, as the estimate sees them."""
    rate = ArrivalRate()
    for at_s in times_s:
        rate.note(Arrival(at_s, 1.0))
        rate.work_per_s(at_s)
    return rate.work_per_s(now_s)


@pytest.mark.parametrize("seed", range(5))
def test_the_begin_of_a_peak_is_seen_within_a_second(seed):
    times = random_times(1.0, 0.0, 20.0, seed) + random_times(20.0, 20.0, 21.0, seed)
    assert rate_after(times, 21.0) > 10.0


@pytest.mark.parametrize("seed", range(5))
def test_the_end_of_a_peak_is_seen_within_two_seconds(seed):
    times = random_times(20.0, 0.0, 10.0, seed)
    assert rate_after(times, 12.0) < 5.0


def test_the_rate_of_a_steady_queue_varies_little():
    rates = [rate_after(random_times(8.0, 0.0, 12.0, seed), 12.0) for seed in range(40)]
    assert 7.0 < sum(rates) / len(rates) < 9.0
    assert sum(4.0 < rate < 14.0 for rate in rates) >= 36


def test_a_few_jobs_at_once_are_no_peak():
    assert rate_after([5.0, 5.01, 5.02], 5.05) < 5.0
    assert rate_after([5.0], 5.0) < 1.0
    assert rate_after([], 5.0) == 0.0


def test_callers_that_return_together_are_no_lasting_peak():
    """After an outage, the machines of the next peak went to a queue without one."""
    returning = [20.0 + 0.002 * number for number in range(25)]
    assert rate_after([2.0, 7.0, 13.0, *returning], 20.1) <= 50.0
    assert rate_after([2.0, 7.0, 13.0, *returning], 21.0) < 2.0


def test_the_memory_is_bounded():
    rate = ArrivalRate()
    for number in range(10 * MAX_ARRIVALS):
        rate.note(Arrival(number * 0.001, 1.0))
    assert len(rate.recent) == MAX_ARRIVALS
    assert rate.work_per_s(1.0) == pytest.approx(1000.0, rel=0.9)


def test_equal_gaps_have_no_change():
    assert find_change([0.5 * number for number in range(9)], 4.25) == 0
    assert find_change([0.0, 0.0, 0.0], 0.0) == 0
