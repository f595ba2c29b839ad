"""Cost of one scheduler round, and the demand estimate, under a burst of jobs.

A pool of 100 workers gets some hundred short tasks a second, and each end of a run
wakes the scheduler. On half a core, rounds that check every worker and job make
answers late. The tests count checks instead of measuring time.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.scheduler import (
    WorkerInfo,
    placement,
    scheduler,
    worker_choice,
)
from heatherhatch_core.coordination.scheduler.free_capacity_index import (
    FreeCapacityIndex,
)
from heatherhatch_core.coordination.scheduler.learning import mean_length_s
from heatherhatch_core.coordination.scheduler.rules import Rules
from heatherhatch_core.coordination.scheduler.worker import Worker
from heatherhatch_core.state.resources import Resources
from pool_model import PoolModel, make_job, make_step

WORKERS = 100


def make_worker(name: str, cpu_m: int) -> Worker:
    info = WorkerInfo(name, f"m-{name}", "p", "dc", 1, Resources(cpu_m, 1000))
    return Worker(info, Rules(), 0.0)


@pytest.fixture
def eligibility_checks(monkeypatch):
    """Record each check whether a worker can run a task."""
    checked = []
    can_run = worker_choice._can_run

    def counted(state, task, worker, taken, rack):
        checked.append(worker.worker_id)
        return can_run(state, task, worker, taken, rack)

    monkeypatch.setattr(worker_choice, "_can_run", counted)
    return checked


def test_a_task_is_placed_without_a_check_of_every_worker(eligibility_checks):
    model = PoolModel(workers=WORKERS, cores=8)
    for number in range(20):
        model.add(make_job(make_step(10), job_id=f"j{number:02}"))
    assert len(model.alive_runs()) == 200
    assert len(eligibility_checks) <= 2 * 200


def test_a_job_whose_tasks_all_run_is_skipped(eligibility_checks, monkeypatch):
    model = PoolModel(workers=WORKERS, cores=8)
    for number in range(20):
        model.add(make_job(make_step(10), job_id=f"j{number:02}"))
    placed = []
    monkeypatch.setattr(
        placement, "_place_step", lambda state, job, *rest: placed.append(job) or 0
    )
    model.round()
    assert placed == []


def test_a_job_is_placed_again_once_one_of_its_runs_has_ended(eligibility_checks):
    model = PoolModel(workers=1, cores=1)
    model.add(make_job(make_step(2)))
    assert len(model.alive_runs()) == 1
    model.finish()
    assert len(model.alive_runs()) == 1


def test_runs_are_watched_at_a_fixed_interval(monkeypatch):
    model = PoolModel(workers=2)
    watch_times_s = []
    monkeypatch.setattr(
        scheduler, "watch_runs", lambda state, now_s: watch_times_s.append(now_s)
    )
    begin_s = model.now_s + 1.0
    for step in range(1000):
        now_s = begin_s + step / 1000.0
        model.scheduler.decide(now_s, now_s)
    assert len(watch_times_s) <= 1.0 / scheduler.WATCH_INTERVAL_S + 1


CAPACITIES = st.lists(st.integers(0, 50), min_size=1, max_size=12)
CHANGES = st.lists(st.tuples(st.integers(0, 11), st.integers(0, 50)), max_size=12)


@given(CAPACITIES, CHANGES, st.integers(0, 60))
def test_the_index_yields_the_same_workers_as_a_full_scan(sizes, loads, need):
    workers = [make_worker(f"w{number:02}", size) for number, size in enumerate(sizes)]
    index = FreeCapacityIndex(workers)
    for number, used in loads:
        worker = workers[number % len(workers)]
        worker.used = Resources(used)
        index.update(worker)
    fitting = [item for item in workers if item.free.cpu_m >= need]
    fitting.sort(key=lambda item: (item.free.cpu_m, item.worker_id))
    assert list(index.iter_best_fit(need)) == fitting


def test_one_wide_job_is_not_treated_as_a_burst():
    """A job's work was divided by a short arrival window.

    The estimated demand of one job was a third of the fleet.
    """
    model = PoolModel(workers=1, cores=8)
    model.add(make_job(make_step(30, cores=4, estimate_s=4.0)))
    waiting_cpu_m = 30 * 4000
    assert model.scheduler.demand(model.now_s, model.now_s).cpu_m <= 2 * waiting_cpu_m


def test_many_jobs_at_once_are_treated_as_a_burst():
    model = PoolModel(workers=1, cores=8)
    for number in range(20):
        model.add(
            make_job(make_step(1, cores=1, estimate_s=4.0), job_id=f"j{number:02}")
        )
    # 80 core-seconds arrive within a second; the waiting tasks would use 20 cores.
    assert model.scheduler.demand(model.now_s, model.now_s).cpu_m > 2 * 20 * 1000


def test_late_jobs_do_not_request_many_machines():
    model = PoolModel(workers=1, cores=1)
    for number in range(8):
        long_ago_s = model.now_s - 60
        job = make_job(make_step(10), job_id=f"j{number}", at_s=long_ago_s)
        model.scheduler.add_job(job, None, model.now_s - 60)
    model.round()
    open_cpu_m = 8 * 10 * 1000
    assert model.scheduler.demand(model.now_s, model.now_s).cpu_m <= open_cpu_m * 0.3


@pytest.mark.parametrize(("task_s", "share"), [(0.5, 1.0), (8.0, 0.0)])
def test_work_is_urgent_if_its_slack_is_less_than_the_time_to_add_a_machine(
    task_s, share
):
    """The slack of these jobs is 0.6 times the length of their task, and 0.6 s."""
    model = PoolModel(workers=1, cores=8)
    for number in range(5):
        step = make_step(1, estimate_s=task_s)
        model.add(make_job(step, job_id=f"j{number}"))
    assert model.scheduler.urgent_share(model.now_s) == share


def test_work_counts_as_urgent_until_enough_jobs_have_arrived():
    model = PoolModel(workers=1, cores=8)
    model.add(make_job(make_step(1, estimate_s=8.0)))
    assert model.scheduler.urgent_share(model.now_s) == 1.0


def test_the_work_of_arrivals_follows_the_mean_of_heavy_tails():
    """Counted by the median, arriving work was a third too small for its machines."""
    model = PoolModel(workers=1, cores=8)
    for number in range(400):
        run_s = 7.0 if number % 10 == 0 else 1.0
        model.scheduler.state.run_times.learn("q", 0, 1.0, run_s)
    for number in range(20):
        step = make_step(1, cores=1, estimate_s=1.0)
        model.scheduler.add_job(
            make_job(step, job_id=f"j{number:02}", at_s=model.now_s), None, model.now_s
        )
    mean_s = 0.9 * 1.0 + 0.1 * 7.0
    arrived = sum(item.work for item in model.scheduler.arrivals.rate.recent)
    assert arrived >= 0.9 * 20 * 1000 * mean_s


def test_tasks_that_outlast_what_was_expected_keep_their_machines():
    """Taken for ended soon, they left their machines to the work that waited."""
    model = PoolModel(workers=1, cores=8)
    for number in range(400):
        run_s = 7.0 if number % 10 == 0 else 1.0
        model.scheduler.state.run_times.learn("q", 0, 1.0, run_s)
    state = model.scheduler.state
    model.add(make_job(make_step(8, cores=1), at_s=model.now_s))
    (job,) = state.jobs.values()
    assert mean_length_s(state, job, 0) > 1.4
    assert mean_length_s(state, job, 0, age_s=2.0) > 2.5
