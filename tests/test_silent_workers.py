"""A worker is silent for a while; its work goes on, and runs nowhere else beside it."""

import pytest

from crashing_pool import CrashingPool
from heatherhatch_core.coordination.scheduler import Ending, Rules
from pool_model import make_job, make_step

LEASE_S = Rules().lease_s
TASK = ("j1", 0, 0, 0)


@pytest.fixture
def pool() -> CrashingPool:
    pool = CrashingPool(workers=3)
    pool.add(make_job(make_step(1, estimate_s=60.0), at_s=pool.now_s))
    pool.receive_reports()
    return pool


def play_silence(pool: CrashingPool, silent_s: float) -> None:
    """Let the worker of the task be silent; check that the task never runs twice.

    The worker ends the task when its lease expires.
    """
    worker_id = pool.alive_runs()[0][0]
    silent = pool.workers.pop(worker_id)
    begun_s = pool.now_s
    pool.scheduler.handle_no_response(worker_id, begun_s)
    while pool.now_s < begun_s + silent_s:
        pool.step()
        if silent.runs and pool.now_s >= begun_s + LEASE_S:
            for task, number in list(silent.runs):
                silent.end(task, number, Ending.LAPSED)
        assert len(silent.runs) + len(pool.alive_runs()) <= 1
    pool.workers[worker_id] = silent
    pool.receive_report(worker_id)


# Guards against work that is started elsewhere or given up while its worker is silent.
@pytest.mark.parametrize("silent_s", [0.5, 2.0, 3.9])
def test_a_run_goes_on_through_a_silence_shorter_than_its_lease(pool, silent_s):
    before = pool.alive_runs()
    play_silence(pool, silent_s)
    pool.run_for(1.0, run_s=100.0)
    assert pool.alive_runs() == before


# Guards against two runs of a task around the end of a silent worker's lease.
@pytest.mark.parametrize("silent_s", [5.0, 10.0])
def test_a_task_runs_elsewhere_only_after_the_lease_of_a_silent_worker(pool, silent_s):
    play_silence(pool, silent_s)
    pool.run_for(1.0, run_s=100.0)
    assert [tuple(task) for _worker, task, _run in pool.alive_runs()] == [TASK]
    task = pool.scheduler.state.jobs["j1"].tasks[0, 0, 0]
    assert (task.crashes, task.lapses) == (0, 0)
