"""A task that crashes each worker that starts it; many others run beside it.

Load pattern: jobs of six tasks of one second keep a pool of six workers busy, and a
tenth of them have one task that crashes its worker as it starts.
"""

import pytest

from crashing_pool import CrashingPool
from heatherhatch_core.coordination.scheduler import TaskName
from heatherhatch_core.state.work import Phase
from pool_model import make_job, make_step

DEADLY = TaskName("deadly", 0, 0, 0)
MAX_STARTS_AFTER_THIRD_CRASH = 2


@pytest.fixture
def pool() -> CrashingPool:
    pool = CrashingPool()
    pool.deadly.add(DEADLY)
    return pool


def add_innocents(pool: CrashingPool, count: int = 4) -> list[str]:
    """Submit jobs whose tasks crash nothing."""
    names = [f"innocent-{number}" for number in range(count)]
    for name in names:
        pool.add(make_job(make_step(6), job_id=name, at_s=pool.now_s))
    return names


# Guards against starting a task again and again that crashes server after server.
def test_a_task_that_crashes_its_workers_is_given_up(pool):
    pool.add(make_job(make_step(2), job_id="deadly"))
    pool.run_for(40.0)
    assert pool.phase("deadly") is Phase.FAILED
    assert pool.starts_after_third[DEADLY] <= MAX_STARTS_AFTER_THIRD_CRASH
