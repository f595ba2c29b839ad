"""A task that crashes each worker that starts it; many others run beside it.

Load pattern: jobs of six tasks of one second keep a pool of six workers busy, and
some of them have one task that crashes its worker as it starts. Machines are back
after some seconds with a worker of another name.
"""

import pytest

from crashing_pool import CrashingPool
from heatherhatch_core.coordination.scheduler import StartResult, TaskName
from heatherhatch_core.state.work import Phase
from pool_model import ModelWorker, make_job, make_step

DEADLY = TaskName("deadly", 0, 0, 0)
MAX_STARTS_AFTER_THIRD_CRASH = 2  # the users' rule BUDGET breaks at three
MAX_WAIT_S = 3.0  # the users' rule LOST, in a pool with room


@pytest.fixture
def pool() -> CrashingPool:
    pool = CrashingPool()
    pool.deadly.add(DEADLY)
    return pool


def add_busy_jobs(pool: CrashingPool, count: int = 4) -> list[str]:
    """Submit jobs whose tasks crash nothing."""
    names = [f"sound-{pool.now_s:.1f}-{number}" for number in range(count)]
    for name in names:
        pool.add(make_job(make_step(6), job_id=name, at_s=pool.now_s))
    return names


def add_deadly_job(pool: CrashingPool, step, job_id: str = "deadly") -> None:
    """Submit a job whose first task crashes its workers."""
    pool.add(make_job(step, job_id=job_id, at_s=pool.now_s))


def check_deadly_given_up(pool: CrashingPool, task: TaskName = DEADLY) -> None:
    """Check that a job was given up, within the bound on its starts."""
    assert pool.phase(task.job_id) is Phase.FAILED
    assert pool.starts_after_third[task] <= MAX_STARTS_AFTER_THIRD_CRASH


# Guards against starting a task again and again that crashes server after server.
def test_a_task_that_crashes_its_workers_is_given_up(pool):
    add_deadly_job(pool, make_step(2))
    pool.run_for(40.0)
    check_deadly_given_up(pool)
    assert len(pool.crashes[DEADLY]) <= 3


# ciosg-hatch, seed 1 of the incident's day: the only quiet worker was that of a machine
# which had crashed before, and the crash there proved nothing.
def test_a_task_with_two_crashes_starts_on_another_machine(pool):
    names = add_busy_jobs(pool, 8)
    add_deadly_job(pool, make_step(1))
    for _half_second in range(80):
        names += add_busy_jobs(pool, 3)
        pool.run_for(0.5)
    check_deadly_given_up(pool)
    assert len(pool.crashes[DEADLY]) <= 4


# Guards against giving up the jobs whose tasks only shared a worker with such a task.
def test_tasks_beside_a_crashing_one_are_done_and_not_given_up(pool):
    sound = add_busy_jobs(pool)
    add_deadly_job(pool, make_step(1))
    sound += add_busy_jobs(pool)
    pool.run_for(30.0)
    check_deadly_given_up(pool)
    assert {pool.phase(name) for name in sound} == {Phase.COMPLETED}


# Guards against holding up tasks for long that only shared a worker with such a task.
def test_tasks_beside_a_crashing_one_start_again_soon(pool):
    sound = add_busy_jobs(pool)
    add_deadly_job(pool, make_step(1))
    pool.run_for(pool.back_after_s + 1.0)
    while not pool.crashes[DEADLY]:
        pool.run_for(0.1)
    pool.run_for(MAX_WAIT_S)
    waiting = [
        task.name
        for live in pool.scheduler.state.jobs.values()
        for task in live.tasks.values()
        if live.job.job_id in sound and not task.done and not task.runs
    ]
    assert waiting == []


# Guards against a pool that crashing tasks take down as a whole.
def test_few_workers_are_down_at_once_after_the_first_crashes():
    pool = CrashingPool(workers=8)
    names = [TaskName(f"deadly-{number}", 0, 0, 0) for number in range(6)]
    pool.deadly.update(names)
    for name in names:
        add_deadly_job(pool, make_step(1), name.job_id)
    add_busy_jobs(pool)
    pool.run_for(pool.back_after_s * 2 + 1.0)
    most = 0
    for _step in range(600):
        pool.step()
        most = max(most, len(pool.down))
    for name in names:
        check_deadly_given_up(pool, name)
    assert most <= len(pool.workers) // 2


# Guards against a count that is lost with the holder, as after a loss of all processes.
def test_the_count_outlives_the_holder_of_the_pool(pool):
    add_deadly_job(pool, make_step(2))
    while pool.phase("deadly") is not Phase.FAILED:
        before = len(pool.crashes[DEADLY])
        pool.run_for(0.5)
        if len(pool.crashes[DEADLY]) > before:
            pool.replace_holder()
        assert pool.now_s < 200.0
    check_deadly_given_up(pool)


# Guards against restarts by a holder that took over while the machine was away.
def test_a_crash_during_a_takeover_counts(pool):
    add_deadly_job(pool, make_step(2))
    pool.step()
    pool.step()
    assert pool.down
    pool.replace_holder()
    pool.run_for(pool.back_after_s + 0.2)
    task = pool.scheduler.state.jobs["deadly"].tasks[0, 0, 0]
    assert task.crashes == 1


# Guards against starts without a bound while machines stay away after their crash.
def test_starts_are_bounded_while_the_machines_stay_away(pool):
    pool.back_after_s = 50.0
    add_deadly_job(pool, make_step(1))
    pool.run_for(49.0)
    assert pool.starts[DEADLY] <= 3 + MAX_STARTS_AFTER_THIRD_CRASH
    pool.run_for(20.0)
    check_deadly_given_up(pool)


# Guards against a task that crashes its worker only some time after its start.
def test_a_task_that_crashes_late_is_given_up(pool):
    pool.crash_after_s = 0.9
    add_deadly_job(pool, make_step(1))
    for _second in range(60):
        add_busy_jobs(pool, 2)
        pool.run_for(1.0)
    check_deadly_given_up(pool)


# Guards against giving up work whose machines were only silent, not down.
def test_a_task_whose_workers_were_only_silent_is_never_given_up():
    pool = CrashingPool(workers=3)
    pool.add(make_job(make_step(1), job_id="sound"))
    for _loss in range(4):
        alive = [run[0] for run in pool.alive_runs()][-1]
        pool.scheduler.handle_no_response(alive, pool.now_s)
        pool.reports_delayed_until_s = pool.now_s + 5.0
        for _step in range(120):
            pool.step()
    pool.run_for(5.0)
    assert pool.phase("sound") is Phase.COMPLETED


# Guards against counting workers that leave with notice.
def test_the_end_of_a_leaving_worker_counts_as_no_crash(pool):
    pool.add(make_job(make_step(2), job_id="sound"))
    worker_id = pool.alive_runs()[0][0]
    pool.replace_worker_info(worker_id, draining=True)
    pool.crash(worker_id)
    pool.run_for(pool.back_after_s + 0.2)
    tasks = pool.scheduler.state.jobs["sound"].tasks.values()
    assert [task.crashes for task in tasks] == [0, 0]


# Guards against a crash that does not count because a drain was requested meanwhile.
def test_a_crash_of_a_machine_to_be_drained_counts(pool):
    add_deadly_job(pool, make_step(1))
    machine = pool.workers[pool.alive_runs()[0][0]].info.machine
    pool.step()
    pool.step()
    pool.scheduler.set_drains({machine: 1}, {})
    pool.run_for(pool.back_after_s + 0.2)
    assert pool.scheduler.state.jobs["deadly"].tasks[0, 0, 0].crashes == 1


# Guards against a lasting task that is given up for crashes of others over its life.
def test_a_lasting_task_survives_many_crashes_of_others():
    pool = CrashingPool(workers=4)
    pool.add(make_job(make_step(2, lasting=True), job_id="lasting"))
    for _crash in range(6):
        pool.run_for(12.0, run_s=1000.0)
        pool.crash(pool.alive_runs()[0][0])
    pool.run_for(12.0, run_s=1000.0)
    assert pool.phase("lasting") is Phase.RUNNING
    assert len(pool.alive_runs()) == 2


# Guards against a lasting task that crashes each worker that starts it.
def test_a_lasting_task_that_crashes_its_workers_is_given_up(pool):
    add_deadly_job(pool, make_step(2, lasting=True))
    pool.run_for(60.0, run_s=1000.0)
    check_deadly_given_up(pool)


# Guards against starting the members of a gang again and again, one of which crashes.
def test_a_gang_with_a_crashing_member_is_given_up(pool):
    add_deadly_job(pool, make_step(4, cores=3, gang=True))
    pool.run_for(60.0)
    check_deadly_given_up(pool)


# Guards against a failure that callers see without its cause.
def test_callers_see_why_a_job_was_given_up(pool):
    add_deadly_job(pool, make_step(1))
    pool.run_for(40.0)
    reasons = [write.status.reason for write in pool.writes if write.status]
    assert reasons[-1].startswith("task 0.0.0 crashed ")


# Guards against giving up a task for the crashes of a machine that keeps crashing.
def test_a_task_on_a_machine_that_keeps_crashing_is_not_given_up():
    pool = CrashingPool(workers=1)
    pool.add(make_job(make_step(1), job_id="sound", at_s=pool.now_s))
    for _crash in range(4):
        pool.run_for(MAX_WAIT_S + pool.back_after_s, run_s=100.0)
        pool.crash(pool.alive_runs()[0][0])
    pool.run_for(10.0)
    assert pool.phase("sound") is Phase.COMPLETED


# Liveness seed 4044: two workers restarted while a start had no answer.
def test_a_start_without_an_answer_is_no_proof_against_its_task(pool, monkeypatch):
    monkeypatch.setattr(ModelWorker, "start", lambda *_args: StartResult.UNKNOWN)
    pool.add(make_job(make_step(1), job_id="sound", at_s=pool.now_s))
    for _crash in range(2):
        (run,) = pool.scheduler.state.jobs["sound"].tasks[0, 0, 0].runs.values()
        pool.crash(run.worker_id)
        pool.run_for(pool.back_after_s + 0.2)
    monkeypatch.undo()
    pool.run_for(10.0)
    assert pool.phase("sound") is Phase.COMPLETED
