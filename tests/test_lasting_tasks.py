"""No order takes a lasting task away while too many others of its step are away.

Guards against two orders close together, each of which was right by what its sender
knew: of a former and a new holder, or of a holder and the coordinator.
"""

from dataclasses import replace

import pytest

from heatherhatch_core.coordination.scheduler import Ending, Rules, Scheduler, TaskName
from heatherhatch_core.state.work import Progress, RunRecord, TaskRecord
from pool_model import CONFIG, POOL, PoolModel, make_job, make_step

LOAD_S = 5.0  # a slow store delays a new holder's read of its records by seconds
STOP_S = Rules().stop_s
OUTAGE_S = 5.0  # longer than a run may stand still
STANDBY = "off"
TOKEN = 3


@pytest.fixture
def handed_over() -> PoolModel:
    """Return a pool whose new holder has read a job with two lasting tasks."""
    model = PoolModel(workers=2)
    tasks = []
    for index in range(2):
        run = RunRecord(1, f"w{index}", 1)
        tasks.append(TaskRecord(0, 0, index, 1, 0, False, "", (run,)))
        model.workers[f"w{index}"].runs[TaskName("j1", 0, 0, index), 1] = 100
    model.scheduler = Scheduler(POOL, Rules(), model.now_s)
    model.scheduler.configure(CONFIG)
    model.now_s += LOAD_S
    job = make_job(make_step(2, lasting=True, may_miss=1))
    model.scheduler.add_job(job, Progress(tuple(tasks)), model.now_s)
    for worker in model.workers.values():
        model.scheduler.update_worker(worker.info, model.now_s)
    return model


def test_a_holder_whose_load_was_slow_awaits_the_stops_of_the_former_one(handed_over):
    model = handed_over
    model.scheduler.set_drains({"m0": 1}, {})
    # The former holder's stop of the other task is in progress: it is still listed.
    model.receive_reports()
    model.round()
    assert len(model.alive_runs()) == 2
    model.workers["w1"].end(TaskName("j1", 0, 0, 1), 1, Ending.STOPPED)
    model.now_s += STOP_S
    model.receive_reports()
    model.round()
    assert ("w0", TaskName("j1", 0, 0, 0), 1) in model.alive_runs()


def test_a_holder_moves_tasks_once_no_former_stop_can_be_in_progress(handed_over):
    model = handed_over
    model.scheduler.set_drains({"m0": 1}, {})
    model.receive_reports()
    model.now_s += STOP_S + 0.2
    model.receive_reports()
    model.round()
    assert [worker for worker, _task, _run in model.alive_runs()] == ["w1"]


# Guards against lasting tasks that were stopped right after an outage of the store: the
# last report from before it was of their first second, when they were not yet at work.
@pytest.mark.parametrize("lasting", [True, False])
def test_no_run_is_stopped_by_what_a_report_showed_before_an_outage(lasting):
    model = PoolModel(workers=2)
    model.add(make_job(make_step(2, lasting=lasting, may_miss=1, estimate_s=0.2)))
    runs = model.alive_runs()
    for worker, task, number in runs:
        model.workers[worker].runs[task, number] = 40
    model.receive_reports()
    model.now_s += OUTAGE_S
    for worker, task, number in runs:
        model.workers[worker].runs[task, number] = 100
    model.round()
    assert model.alive_runs() == runs
    if lasting:
        model.receive_reports()
        model.round()
        assert model.alive_runs() == runs


def test_a_run_that_is_still_slow_after_an_outage_is_stopped():
    model = PoolModel(workers=2)
    model.add(make_job(make_step(1, lasting=True)))
    ((worker, task, number),) = model.alive_runs()
    model.workers[worker].runs[task, number] = 40
    model.receive_reports()
    model.now_s += OUTAGE_S
    model.receive_reports()
    model.round()
    assert (worker, task, number) not in model.alive_runs()


def test_a_task_on_a_silent_worker_counts_as_away():
    model = PoolModel(workers=2)
    model.add(make_job(make_step(2, cores=5, lasting=True, may_miss=1)))
    model.receive_reports()
    model.scheduler.handle_no_response("w1", model.now_s)
    model.scheduler.set_drains({"m0": 1}, {})
    model.round()
    assert len(model.alive_runs()) == 2
    model.receive_reports()
    model.round()
    assert [worker for worker, _task, _run in model.alive_runs()] == ["w1"]


def test_a_machine_that_has_left_is_not_reported_as_empty():
    model = PoolModel(workers=2)
    model.scheduler.set_drains({}, {"m0": 4})
    assert model.scheduler.cleared() == {"m0": 4}
    former = model.workers["w0"].info
    model.scheduler.note_machine_left(
        replace(former, worker_id="w9", pool="wall", born_ms=former.born_ms + 1)
    )
    assert model.scheduler.cleared() == {}
