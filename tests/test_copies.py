"""Second copies of stragglers: what they gain under load, and when none is started."""

import pytest

from heatherhatch_core.coordination.run_times import RunTimes
from heatherhatch_core.coordination.scheduler import copies
from heatherhatch_core.state.resources import Resources
from pool_model import make_job, make_step
from straggling_pool import SLOW, StragglingPool, pool_with_copy

STEP = make_step(4, speculative=True)


def test_copies_serve_more_jobs_on_time_under_heavy_tails():
    """Load: 3 of 100 tasks take 7 times as long, in a pool that is half full.

    Guards against copies that come too late: for the copies, the run times are learned
    during the load, which the copies themselves censor.
    """
    without = StragglingPool(run_times=RunTimes()).play_load(False, 0.8)
    with_copies = StragglingPool(run_times=RunTimes()).play_load(True, 0.8)
    assert without < 0.65
    assert with_copies > 0.8


def test_copies_serve_more_jobs_on_time_while_a_worker_is_slow():
    """Load: one of six workers takes four times as long for each task.

    Guards against a slow worker that goes on to get most tasks of every job.
    """
    shares = []
    for speculative in (False, True):
        pool = StragglingPool(run_times=RunTimes())
        pool.slow = {"w0": 4.0}
        shares.append(pool.play_load(speculative, 0.8))
    assert shares[0] < 0.4
    assert shares[1] > 0.6
    assert pool.noted("worker distrusted", worker="w0")


def test_a_full_pool_starts_no_copies():
    """Load: the same at twice what the pool can do; copies would take from the rest."""
    pool = StragglingPool()
    pool.play_load(True, 0.2)
    started = pool.noted("copy started")
    assert [note for note in started if note["at_s"] < pool.arrived_s] == []


def test_a_copy_runs_on_another_machine_and_rack():
    pool = StragglingPool(workers=0)
    for number, rack in enumerate(["r1", "r1", "r1", "r2"]):
        labels = frozenset({"kind", rack})
        pool.add_worker(f"w{number}", f"m{number}", 8 + number // 3, labels=labels)
    pool.scheduler.state.workers["w3"].back_off(pool.now_s)
    pool.add_slow(STEP)
    pool.play(2.0)
    assert pool.noted("copy started")[0]["worker"] == "w3"


def one_attempt_left(pool, task):
    task.failures = task.job.job.terms.attempts - 1


def suspected_of_a_crash(pool, task):
    task.crashes = 1


def resumed_from_a_checkpoint(pool, task):
    task.checkpoint = "c"
    task.runs[1].whole = False


def copied_twice(pool, task):
    task.copies = 2


def team_at_its_limit(pool, task):
    pool.scheduler.state.limits = {"": Resources(2000)}
    pool.scheduler.set_allowances({"": Resources(1000)})


def no_other_machine(pool, task):
    for worker in pool.scheduler.state.workers.values():
        if worker.worker_id != task.runs[1].worker_id:
            pool.scheduler.remove_worker(worker.worker_id)


def large_task_waits(pool, task):
    pool.length_s = lambda *_run: float("inf")
    small = make_step(4, estimate_s=60.0, spread=1)
    pool.add(make_job(small, job_id="j2", at_s=pool.now_s))
    large = make_step(1, cores=8, estimate_s=20.0)
    pool.add(make_job(large, job_id="j3", at_s=pool.now_s))


def nothing(pool, task):
    pass


CASES = [
    *((change, (STEP,)) for change in (one_attempt_left, suspected_of_a_crash)),
    *((change, (STEP,)) for change in (resumed_from_a_checkpoint, copied_twice)),
    *((change, (STEP,)) for change in (team_at_its_limit, no_other_machine)),
    (large_task_waits, (STEP,)),
    (nothing, (make_step(4),)),
    (nothing, (make_step(4, speculative=True, gang=True),)),
    (nothing, (make_step(4, speculative=True, lasting=True),)),
    # The end of the job depends on another step.
    (nothing, (STEP, make_step(1, estimate_s=60.0))),
]


# Guards against copies that break a rule or bring no job forward.
@pytest.mark.parametrize(("change", "steps"), CASES)
def test_a_task_gets_no_copy(change, steps):
    pool = StragglingPool(workers=4)
    pool.add_slow(*steps)
    pool.play(0.5)
    change(pool, pool.scheduler.state.jobs["j1"].tasks[0, 0, 0])
    pool.play(2.4)
    assert pool.noted("copy started") == []


def test_a_task_on_a_silent_worker_gets_a_copy_at_once():
    """Guards against waiting for the lease, which the next run has to do."""
    pool = StragglingPool(workers=4)
    pool.add_slow(make_step(1, speculative=True))
    pool.play(0.2)
    worker_id = pool.worker_of(1)
    silent = pool.workers.pop(worker_id)
    pool.scheduler.handle_no_response(worker_id, pool.now_s)
    pool.play(0.3)
    assert pool.worker_of(2)
    assert silent.runs


def test_work_that_waits_for_something_else_holds_up_no_copy():
    """Guards against a lasting task that finds no worker and ends all copies."""
    pool = StragglingPool(workers=4)
    pool.add(make_job(make_step(5, spread=1, lasting=True), job_id="j2"))
    pool.length_s = lambda task, _run: float("inf") if task.job_id == "j2" else 0.9
    pool.add_slow(STEP)
    pool.lengths_s[pool.worker_of(1), SLOW, 1] = float("inf")
    pool.play(2.0)
    assert pool.noted("copy started")


def test_copies_keep_to_their_share_of_the_pool(monkeypatch):
    """Guards against slow machines whose tasks all get a copy at once."""
    monkeypatch.setattr(StragglingPool, "length_s", lambda *_run: 7.0)
    pool = StragglingPool()
    pool.add(make_job(make_step(20, speculative=True), at_s=pool.now_s))
    pool.play(2.0)
    most = int(6 * 8 * copies.MAX_COPY_SHARE)
    assert len(pool.alive_runs()) == 20 + most


def test_a_copy_is_given_up_for_waiting_work_that_is_on_time():
    pool = pool_with_copy()
    large = make_step(3, cores=8)
    pool.add(make_job(large, job_id="j2", at_s=pool.now_s))
    pool.play(0.2)
    assert pool.noted("copy given up", reason="waiting work on time")
    assert pool.noted("copy ended", outcome="given up")
    running = [task.job_id for _worker, task, _run in pool.alive_runs()]
    assert sorted(running) == ["j1", "j2", "j2", "j2"]


def test_a_copy_is_given_up_for_other_work_of_its_team():
    pool = pool_with_copy()
    pool.scheduler.state.limits = {"": Resources(2000)}
    pool.scheduler.set_allowances({"": Resources(2000)})
    pool.add(make_job(make_step(1, estimate_s=20.0), job_id="j2", at_s=pool.now_s))
    pool.play(0.2)
    assert pool.noted("copy given up", reason="team limit")
    running = [task.job_id for _worker, task, _run in pool.alive_runs()]
    assert sorted(running) == ["j1", "j2"]
