"""What one round looks at while a queue is in its turn; no network, no bench.

The pattern: a pool of a hundred workers gets some hundred short tasks a second,
and each end of a run wakes the scheduler. On half a core, rounds that look at
everything make the answers late. Looks are counted here, not seconds.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.scheduler import WorkerInfo, placement, scheduler
from heatherhatch_core.coordination.scheduler.free_capacity_index import (
    FreeCapacityIndex,
)
from heatherhatch_core.coordination.scheduler.rules import Rules
from heatherhatch_core.coordination.scheduler.worker import Worker
from heatherhatch_core.state.resources import Resources
from pool_model import PoolModel, job_of, step_of

WORKERS = 100


def worker_of(name: str, cpu_m: int) -> Worker:
    info = WorkerInfo(name, f"m-{name}", "p", "dc", 1, Resources(cpu_m, 1000))
    return Worker(info, Rules(), 0.0)


@pytest.fixture
def looks(monkeypatch):
    """Count how often a worker is weighed for a task."""
    seen = []
    weigh = placement._can_run

    def counted(this, task, worker, taken, rack):
        seen.append(worker.worker_id)
        return weigh(this, task, worker, taken, rack)

    monkeypatch.setattr(placement, "_can_run", counted)
    return seen


def test_a_task_is_placed_without_a_look_at_every_worker(looks):
    model = PoolModel(workers=WORKERS, cores=8)
    for number in range(20):
        model.add(job_of(step_of(10), job_id=f"j{number:02}"))
    assert len(model.alive()) == 200
    assert len(looks) <= 2 * 200


def test_a_job_whose_tasks_all_run_is_passed_over(looks, monkeypatch):
    model = PoolModel(workers=WORKERS, cores=8)
    for number in range(20):
        model.add(job_of(step_of(10), job_id=f"j{number:02}"))
    placed = []
    monkeypatch.setattr(
        placement, "_place_step", lambda this, job, *rest: placed.append(job) or 0
    )
    model.round()
    assert placed == []


def test_a_job_is_placed_again_once_one_of_its_runs_has_ended(looks):
    model = PoolModel(workers=1, cores=1)
    model.add(job_of(step_of(2)))
    assert len(model.alive()) == 1
    model.finish()
    assert len(model.alive()) == 1


def test_what_runs_is_looked_after_at_a_steady_pace(monkeypatch):
    model = PoolModel(workers=2)
    watched = []
    monkeypatch.setattr(
        scheduler, "watch_runs", lambda state, now_s: watched.append(now_s)
    )
    begin_s = model.now_s + 1.0
    for step in range(1000):
        now_s = begin_s + step / 1000.0
        model.scheduler.decide(now_s, now_s)
    assert len(watched) <= 1.0 / scheduler.WATCH_INTERVAL_S + 1


capacities = st.lists(st.integers(0, 50), min_size=1, max_size=12)
changes = st.lists(st.tuples(st.integers(0, 11), st.integers(0, 50)), max_size=12)


@given(capacities, changes, st.integers(0, 60))
def test_the_index_yields_what_a_look_at_all_workers_would(sizes, moved, need):
    workers = [worker_of(f"w{number:02}", size) for number, size in enumerate(sizes)]
    index = FreeCapacityIndex(workers)
    for number, used in moved:
        worker = workers[number % len(workers)]
        worker.used = Resources(used)
        index.update(worker)
    fitting = [item for item in workers if item.free.cpu_m >= need]
    fitting.sort(key=lambda item: (item.free.cpu_m, item.worker_id))
    assert list(index.iter_best_fit(need)) == fitting


def test_one_wide_job_is_no_rush():
    """Its work divided by a short time looked like a third of the fleet."""
    model = PoolModel(workers=1, cores=8)
    model.add(job_of(step_of(30, cores=4, estimate_s=4.0)))
    waiting_cpu_m = 30 * 4000
    assert model.scheduler.needed_cpu_m(model.now_s) <= 2 * waiting_cpu_m


def test_many_jobs_at_once_are_a_rush():
    model = PoolModel(workers=1, cores=8)
    for number in range(20):
        model.add(job_of(step_of(1, cores=1, estimate_s=4.0), job_id=f"j{number:02}"))
    # 80 core-seconds within a second, more than the 20 cores that would run now.
    assert model.scheduler.needed_cpu_m(model.now_s) > 2 * 20 * 1000


def test_late_jobs_are_no_reason_to_bring_many_machines():
    model = PoolModel(workers=1, cores=1)
    for number in range(8):
        long_ago_s = model.now_s - 60
        job = job_of(step_of(10), job_id=f"j{number}", at_s=long_ago_s)
        model.scheduler.add_job(job, None, model.now_s - 60)
    model.round()
    open_cpu_m = 8 * 10 * 1000
    assert model.scheduler.needed_cpu_m(model.now_s) <= open_cpu_m * 0.3
