"""Reactions of the scheduler of one pool to single events."""

import dataclasses

import pytest

from heatherhatch_core.coordination.scheduler import (
    Ending,
    Report,
    Rules,
    Scheduler,
    StartOrder,
    StartResult,
    StopOrder,
    TaskName,
)
from heatherhatch_core.state.fleet_configuration import Team
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Phase, Progress, RunRecord, TaskRecord
from pool_model import CONFIG, POOL, PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    return PoolModel()


def test_a_job_runs_its_steps_in_order(model):
    model.add(make_job(make_step(2), make_step(3, after=(0,))))
    assert {task.step for _worker, task, _run in model.alive_runs()} == {0}
    model.finish()
    assert {task.step for _worker, task, _run in model.alive_runs()} == {1}
    model.finish()
    assert model.phases() == [Phase.RUNNING, Phase.COMPLETED]


def test_a_start_is_ordered_only_after_it_is_stored(model):
    model.scheduler.add_job(make_job(make_step()), None, model.now_s)
    model.scheduler.decide(model.now_s, model.now_s)
    writes = model.scheduler.take_writes(model.now_s)
    assert model.scheduler.take_orders() == []
    model.scheduler.stored(writes[0].job_id, writes[0].version, model.now_s)
    assert [type(order) for order in model.scheduler.take_orders()] == [StartOrder]


# Guards against a start beyond a capacity that shrank while the run was being stored.
def test_a_run_is_placed_again_if_its_worker_shrank_before_it_was_stored(model):
    model.scheduler.add_job(make_job(make_step(2, cores=3)), None, model.now_s)
    model.scheduler.decide(model.now_s, model.now_s)
    writes = model.scheduler.take_writes(model.now_s)
    info = model.workers["w0"].info
    smaller = dataclasses.replace(info, capacity=Resources(4000, 64_000))
    model.scheduler.update_worker(smaller, model.now_s)
    for write in writes:
        model.scheduler.stored(write.job_id, write.version, model.now_s)
    orders = model.scheduler.take_orders()
    assert [order.worker_id for order in orders] == ["w0"]
    for order in orders:
        model.execute(order)
    model.round()
    assert sorted(run[0] for run in model.alive_runs()) == ["w0", "w1"]


def test_an_end_is_acknowledged_only_after_it_is_stored(model):
    model.add(make_job(make_step(), make_step(after=(0,))))
    worker_id, task, number = model.alive_runs()[0]
    model.workers[worker_id].end(task, number)
    model.receive_report(worker_id)
    worker_state = model.scheduler.state.workers[worker_id]
    assert worker_state.acked == 0
    model.flush()
    assert worker_state.acked == 1


def test_a_worker_never_exceeds_its_capacity(model):
    model.add(make_job(make_step(20, cores=3)))
    for worker_id in model.workers:
        assert sum(1 for alive in model.alive_runs() if alive[0] == worker_id) == 2


def test_a_task_that_fails_too_often_fails_its_job(model):
    model.add(make_job(make_step()))
    for _attempt in range(3):
        model.finish(Ending.FAILED)
    assert model.phases()[-1] is Phase.FAILED
    assert model.alive_runs() == []


def test_attempts_are_limited_by_the_terms_stored_with_the_job(model):
    """The terms apply even if a holder has no configuration or the queue is gone."""
    model.scheduler = Scheduler(POOL, Rules(), model.now_s)
    for worker in model.workers.values():
        model.scheduler.update_worker(worker.info, model.now_s)
    model.receive_reports()
    model.add(make_job(make_step()))
    model.finish(Ending.FAILED)
    assert [run for _worker, _task, run in model.alive_runs()] == [2]
    assert Phase.FAILED not in model.phases()


def test_a_cancelled_job_is_stopped_and_starts_no_more_runs(model):
    model.add(make_job(make_step(2), make_step(after=(0,))))
    model.scheduler.cancel("j1", model.now_s)
    model.round()
    assert model.alive_runs() == []
    model.receive_reports()
    model.round()
    assert model.phases()[-1] is Phase.CANCELLED
    assert model.alive_runs() == []
    assert model.scheduler.state.jobs == {}


def test_a_start_without_an_answer_is_stopped_before_it_runs_elsewhere(model):
    model.scheduler.add_job(make_job(make_step()), None, model.now_s)
    model.scheduler.decide(model.now_s, model.now_s)
    for write in model.scheduler.take_writes(model.now_s):
        model.scheduler.stored(write.job_id, write.version, model.now_s)
    order = model.scheduler.take_orders()[0]
    model.scheduler.handle_start_result(order, StartResult.UNKNOWN, model.now_s + 1)
    model.now_s += 1.1
    model.receive_report(order.worker_id)
    stops = model.scheduler.take_orders()
    assert [type(item) for item in stops] == [StopOrder]
    model.round()
    assert model.alive_runs() == []
    # The task runs again only once the worker refuses the order without an answer.
    model.execute(stops[0])
    model.now_s += 0.01
    model.receive_report(order.worker_id)
    model.round()
    assert [run for _worker, _task, run in model.alive_runs()] == [2]


def test_a_silent_worker_keeps_its_tasks_until_its_lease_expires(model):
    model.add(make_job(make_step()))
    worker_id = model.alive_runs()[0][0]
    state = model.scheduler.state.workers[worker_id]
    state.note_deadline(state.next_deadline_ms(model.now_s))
    model.scheduler.handle_no_response(worker_id, model.now_s)
    model.round(Rules().lease_s - 0.5)
    assert [run for _worker, _task, run in model.alive_runs()] == [1]
    model.round(1.5)
    assert sorted(run for _worker, _task, run in model.alive_runs()) == [1, 2]


def test_tasks_of_a_restarted_worker_run_again(model):
    model.add(make_job(make_step()))
    worker_id = model.alive_runs()[0][0]
    model.workers[worker_id].runs.clear()
    model.now_s += 0.1
    model.scheduler.handle_report(
        worker_id, Report(2, 5.0), model.now_s, model.now_s + 0.01
    )
    model.round()
    assert [run for _worker, _task, run in model.alive_runs()] == [2]


def test_a_run_that_reached_a_new_incarnation_is_not_started_again(model):
    """The order was sent while the directory still listed the former incarnation."""
    model.add(make_job(make_step()))
    worker_id = model.alive_runs()[0][0]
    worker = model.workers[worker_id]
    worker.info = dataclasses.replace(worker.info, born_ms=2)
    model.scheduler.update_worker(worker.info, model.now_s)
    model.round()
    assert [run for _worker, _task, run in model.alive_runs()] == [1]
    model.receive_report(worker_id)
    model.round()
    assert [run for _worker, _task, run in model.alive_runs()] == [1]
    model.finish()
    assert model.phases()[-1] is Phase.COMPLETED


def test_a_done_end_counts_after_the_run_was_considered_lost(model):
    model.add(make_job(make_step()))
    worker_id, task, number = model.alive_runs()[0]
    state = model.scheduler.state
    run = state.workers[worker_id].runs[task, number]
    state.end_run(run, Ending.LOST, "", model.now_s)
    model.workers[worker_id].end(task, number)
    model.receive_report(worker_id)
    model.round()
    assert model.phases()[-1] is Phase.COMPLETED
    assert model.alive_runs() == []


CONFIG_WITH_TEAM_LIMIT = dataclasses.replace(
    CONFIG, teams=(Team("a", limit=Resources(9000, 0, 0)),)
)


def test_a_team_with_a_limit_starts_nothing_before_its_allowance_is_known(model):
    model.scheduler.configure(CONFIG_WITH_TEAM_LIMIT)
    model.add(make_job(make_step(5), team="a"))
    assert model.alive_runs() == []
    model.scheduler.set_allowances({"a": Resources(2000, 0, 0)})
    model.round()
    assert len(model.alive_runs()) == 2


def test_a_team_starts_nothing_beyond_its_allowance(model):
    model.scheduler.configure(CONFIG_WITH_TEAM_LIMIT)
    model.scheduler.set_allowances({"a": Resources(2000, 0, 0)})
    model.add(make_job(make_step(5), team="a"))
    assert len(model.alive_runs()) == 2
    assert model.scheduler.state.allowance_shortfall["a"].cpu_m >= 1000


def test_tasks_of_a_gang_start_together_or_not_at_all():
    model = PoolModel(workers=1, cores=4)
    model.add(make_job(make_step(5, gang=True)))
    assert model.alive_runs() == []
    model.add_worker("w9", "m9", 4)
    model.round()
    assert {run for _worker, _task, run in model.alive_runs()} == {1}
    assert len(model.alive_runs()) == 5


def test_spread_limits_the_tasks_of_a_step_per_worker(model):
    model.add(make_job(make_step(6, spread=2)))
    for worker_id in model.workers:
        assert sum(1 for alive in model.alive_runs() if alive[0] == worker_id) == 2


def test_only_machines_of_the_pool_are_reported_as_empty(model):
    model.add(make_job(make_step(16)))
    model.scheduler.set_drains({"m0": 1, "of-another-pool": 2}, {})
    assert model.scheduler.cleared() == {}
    model.finish()
    assert model.scheduler.cleared() == {"m0": 1}


def test_lasting_tasks_are_moved_off_drained_machines_one_by_one():
    model = PoolModel(workers=4, cores=4)
    step = make_step(4, lasting=True, spread=2, may_miss=1)
    model.now_s += 2.0
    model.add(make_job(step))
    model.receive_reports()
    model.round()
    busy_machines = {
        model.scheduler.state.workers[item[0]].info.machine
        for item in model.alive_runs()
    }
    model.scheduler.set_drains(dict.fromkeys(sorted(busy_machines)[:2], 1), {})
    for _round in range(12):
        before = len(model.alive_runs())
        model.round()
        assert before - len(model.alive_runs()) <= 1
        model.receive_reports()
    assert set(model.scheduler.cleared()) == set(sorted(busy_machines)[:2])
    assert len(model.alive_runs()) == 4


def test_a_machine_with_unstored_ends_is_not_reported_as_empty(model):
    """A restart would lose the ends that are not stored; the task would run again."""
    model.add(make_job(make_step()))
    worker_id, task, number = model.alive_runs()[0]
    machine = model.workers[worker_id].info.machine
    model.scheduler.set_drains({machine: 1}, {})
    model.workers[worker_id].end(task, number)
    model.receive_report(worker_id)
    assert model.scheduler.cleared() == {}
    model.flush()
    assert model.scheduler.cleared() == {machine: 1}


def test_tasks_of_a_lost_worker_run_again_soon_after_a_takeover(model):
    """The former holder and the worker failed at the same time."""
    run = RunRecord(1, "gone", 1)
    task = TaskRecord(0, 0, 0, 1, 0, False, "", (run,))
    lasting = make_job(make_step(lasting=True))
    model.scheduler.add_job(lasting, Progress((task,)), model.now_s)
    model.round(4.0)
    assert model.alive_runs() == []
    model.round(1.0)
    assert [number for _worker, _task, number in model.alive_runs()] == [2]


def test_a_stalled_run_is_stopped_and_started_elsewhere(model):
    model.add(make_job(make_step(estimate_s=0.5)))
    first = model.alive_runs()[0][0]
    model.round(2.0)
    assert [run for _worker, _task, run in model.alive_runs()] == [1]
    model.now_s += 2.0
    model.receive_reports()
    model.round()
    model.receive_reports()
    model.round()
    assert [run for _worker, _task, run in model.alive_runs()] == [2]
    assert model.alive_runs()[0][0] != first


def test_a_worker_that_fails_tasks_of_several_jobs_gets_no_more_runs(model):
    for number in range(6):
        model.add(make_job(make_step(), job_id=f"j{number}"))
    failing_worker = model.alive_runs()[0][0]
    for worker_id, task, number in model.alive_runs():
        if worker_id == failing_worker:
            model.workers[failing_worker].end(task, number, Ending.FAILED)
    model.receive_reports()
    model.round()
    assert {worker_id for worker_id, _task, _run in model.alive_runs()} == {
        "w0",
        "w1",
    } - {failing_worker}


def test_a_new_holder_moves_lasting_tasks_only_after_earlier_stops_show(model):
    """The former holder may just have ordered a worker to stop a task of the step."""
    runs = [RunRecord(1, "w0", 1), RunRecord(1, "w1", 1)]
    tasks = [
        TaskRecord(0, 0, index, 1, 0, False, "", (run,))
        for index, run in enumerate(runs)
    ]
    job = make_job(make_step(2, lasting=True, may_miss=1))
    for index, worker in enumerate(("w0", "w1")):
        model.workers[worker].runs[TaskName("j1", 0, 0, index), 1] = 100
    model.scheduler = Scheduler(POOL, Rules(), model.now_s)
    for worker in model.workers.values():
        model.scheduler.update_worker(worker.info, model.now_s)
    model.scheduler.add_job(job, Progress(tuple(tasks)), model.now_s)
    model.scheduler.set_drains({"m0": 1, "m1": 2}, {})
    model.receive_reports()
    model.round(0.3)
    assert len(model.alive_runs()) == 2
    model.receive_reports()
    model.round(0.8)
    # The last reports are from a time when an earlier stop might be in progress.
    assert len(model.alive_runs()) == 2
    model.receive_reports()
    model.round()
    assert len(model.alive_runs()) == 1
