"""Machines are ordered for the waiting work that would be late without them.

Guards against a burst of jobs, each of which can wait for a second, that orders
machines for all of them at once: they arrive when the work has ended.
"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.coordination.scheduler.deadline_demand import (
    OpenWork,
    cpu_to_be_on_time,
)
from heatherhatch_core.feature_gates import FeatureGates
from heatherhatch_core.state.resources import Resources
from pool_model import PoolModel, make_job, make_step

LEAD_S = 2.0
WAITING = st.builds(
    OpenWork,
    st.integers(0, 100_000),
    st.floats(0.0, 30.0),
    st.floats(-10.0, 60.0),
)
RUNNING = st.builds(
    OpenWork, st.integers(0, 100_000), st.floats(0.0, 30.0), runs=st.just(True)
)
WORKS = st.lists(st.one_of(WAITING, RUNNING), max_size=8)


def test_work_that_the_present_machines_end_in_time_needs_no_other():
    waiting = [OpenWork(16_000, 1.0, begin_in_s=3.0)] * 2
    assert cpu_to_be_on_time(waiting, 16_000, LEAD_S) == 0


def test_work_that_cannot_wait_counts_as_a_whole():
    waiting = [OpenWork(64_000, 1.0, begin_in_s=2.0)]
    assert cpu_to_be_on_time(waiting, 0, LEAD_S) == 64_000


def test_work_that_can_wait_is_spread_over_its_time():
    waiting = [OpenWork(64_000, 1.0, begin_in_s=5.0)]
    assert cpu_to_be_on_time(waiting, 0, LEAD_S) == 16_000


def test_runs_that_outlast_the_lead_keep_their_machines():
    running = [OpenWork(16_000, 10.0, runs=True)]
    assert cpu_to_be_on_time(running, 16_000, LEAD_S) == 16_000


@given(WORKS, st.floats(0.0, 1e6), st.floats(0.0, 10.0))
def test_it_is_never_more_than_all_work_at_once(works, have_cpu_m, lead_s):
    needed = cpu_to_be_on_time(works, have_cpu_m, lead_s)
    total = sum(work.cpu_m for work in works)
    assert 0 <= needed <= total * 1.000001


@given(WORKS, st.floats(0.0, 1e5), st.floats(0.0, 1e5))
def test_more_present_machines_never_need_more(works, have_cpu_m, more_cpu_m):
    with_more = cpu_to_be_on_time(works, have_cpu_m + more_cpu_m, LEAD_S)
    assert with_more <= cpu_to_be_on_time(works, have_cpu_m, LEAD_S) + 1e-6


@pytest.mark.parametrize(
    ("cores", "memory_mb", "fit"), [(2.6, 100, 3), (4.0, 100, 2), (1.0, 16_000, 4)]
)
def test_tasks_that_do_not_fill_a_machine_count_with_the_rest_of_it(
    cores, memory_mb, fit
):
    """Tasks of 2.6 cores need a third of a machine of eight cores each."""
    model = PoolModel(workers=1, cores=8)
    step = replace(
        make_step(12, estimate_s=60.0), need=Resources(int(cores * 1000), memory_mb)
    )
    model.scheduler.state.rules = Rules(
        gates=FeatureGates(deadline_demand=False, arrival_rate=False)
    )
    model.add(make_job(step, at_s=model.now_s))
    demand = model.scheduler.demand(model.now_s, model.now_s)
    assert demand.cpu_m == pytest.approx(12 * 8_000 / fit, rel=0.01)
