"""Workers that failed runs or refused starts get work again once they are sound."""

import pytest

from heatherhatch_core.coordination.scheduler import Ending, StartResult
from pool_model import ModelWorker, PoolModel, make_job, make_step

QUARANTINE_S = 4.0


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1)


def quarantine_all(model: PoolModel) -> None:
    """Let every worker fail three runs of two jobs."""
    count = 2 * len(model.workers)
    model.add(make_job(make_step(count, cores=4), job_id="failing-1"))
    model.finish(Ending.FAILED)
    model.scheduler.cancel("failing-1", model.now_s)
    model.round()
    model.receive_reports()
    model.add(make_job(make_step(count, cores=4, spread=1), job_id="failing-2"))
    model.finish(Ending.FAILED)
    model.scheduler.cancel("failing-2", model.now_s)
    model.round()
    for worker in model.scheduler.state.workers.values():
        assert worker.quarantine.on_probation
        assert not worker.runs


def test_a_lasting_task_at_work_ends_the_probation_of_its_worker(model):
    """Only a run that was done ended it, so the worker got nothing more for good."""
    quarantine_all(model)
    model.round(QUARANTINE_S)
    model.add(make_job(make_step(lasting=True), job_id="first"))
    model.receive_reports()
    model.round(1.5)
    model.receive_reports()
    model.add(make_job(make_step(lasting=True), job_id="second"))
    jobs = [task.job_id for _worker, task, _run in model.alive_runs()]
    assert jobs == ["first", "second"]


def test_a_lasting_task_from_before_does_not_prolong_the_probation(model):
    """No trial run was placed beside it, so the worker got nothing more for good."""
    model.add(make_job(make_step(lasting=True, cores=0.5), job_id="before"))
    model.receive_reports()
    model.round(1.5)
    model.receive_reports()
    model.add(make_job(make_step(2), job_id="failing-1"))
    model.add(make_job(make_step(), job_id="failing-2"))
    for _worker, task, number in model.alive_runs()[1:]:
        model.workers["w0"].end(task, number, Ending.FAILED)
    model.receive_reports()
    for number in (1, 2):
        model.scheduler.cancel(f"failing-{number}", model.now_s)
    model.round(QUARANTINE_S)
    model.add(make_job(make_step(), job_id="after"))
    jobs = [task.job_id for _worker, task, _run in model.alive_runs()]
    assert jobs == ["before", "after"]


def test_a_paused_filler_does_not_prolong_the_probation(model):
    """It cannot succeed while paused, so the worker got no other trial run."""
    serving = make_step(lasting=True, cores=0.5, tail_target_ms=40.0)
    model.add(make_job(serving, job_id="serving"))
    model.receive_reports()
    model.round(1.5)
    model.receive_reports()
    model.add(make_job(make_step(2), job_id="failing-1"))
    model.add(make_job(make_step(), job_id="failing-2"))
    worker = model.workers["w0"]
    for _worker, task, number in model.alive_runs()[1:]:
        worker.end(task, number, Ending.FAILED)
    model.receive_reports()
    for number in (1, 2):
        model.scheduler.cancel(f"failing-{number}", model.now_s)
    model.round(QUARANTINE_S)
    model.add(make_job(make_step(lasting=True, fills=True), job_id="filler"))
    (serving_task, _), (filler, number) = worker.runs
    worker.task_tails_ms[serving_task] = 60.0
    model.receive_reports()
    model.round()
    worker.runs[filler, number] = 0
    model.receive_reports()
    model.add(make_job(make_step(), job_id="after"))
    jobs = [task.job_id for _worker, task, _run in model.alive_runs()]
    assert jobs == ["serving", "filler", "after"]


def test_runs_that_fail_together_start_one_quarantine_of_the_shortest_duration(model):
    """Each further failure doubled the pause, up to its maximum within a moment."""
    for number in range(2):
        model.add(make_job(make_step(4), job_id=f"failing-{number}"))
    for _worker, task, number in model.alive_runs():
        model.workers["w0"].end(task, number, Ending.FAILED)
    model.receive_reports()
    quarantine = model.scheduler.state.workers["w0"].quarantine
    assert quarantine.until_s - model.now_s <= QUARANTINE_S


def test_a_worker_that_refused_many_starts_is_tried_again_soon(model, monkeypatch):
    """The pause grew to 8 s; on an idle pool the job waited for the only worker."""
    monkeypatch.setattr(ModelWorker, "start", lambda *_args: StartResult.UNWELL)
    model.add(make_job(make_step()))
    for _round in range(200):
        model.round(0.1)
    monkeypatch.undo()
    for _round in range(25):
        model.round(0.1)
    assert len(model.alive_runs()) == 1


LAST_RESORT_S = 2.5  # a little over the time between two runs on such a worker


@pytest.fixture
def distrusted(model) -> PoolModel:
    """A pool whose only worker is quarantined for longer than a task may wait."""
    quarantine_all(model)
    quarantine = model.scheduler.state.workers["w0"].quarantine
    quarantine.pause_s = 30.0
    quarantine.until_s = model.now_s + quarantine.pause_s
    return model


@pytest.mark.parametrize("kind", [{}, {"lasting": True}, {"gang": True}])
def test_a_quarantined_worker_gets_a_task_that_no_other_can_run(distrusted, kind):
    """Where a fault had hit all workers, jobs waited for up to 30 s after its end."""
    distrusted.add(make_job(make_step(**kind)))
    distrusted.round(LAST_RESORT_S)
    assert len(distrusted.alive_runs()) == 1


def test_a_quarantined_worker_gets_one_task_at_a_time(distrusted):
    """A worker that is still faulty would use up an attempt of each waiting task."""
    distrusted.add(make_job(make_step(8)))
    for _round in range(10):
        distrusted.round(LAST_RESORT_S / 10)
    assert len(distrusted.alive_runs()) == 1


def test_a_quarantined_worker_gets_nothing_while_the_others_are_busy(distrusted):
    """In a full pool tasks wait for a sound worker instead of using up attempts."""
    distrusted.add_worker("w1", "m1", cores=9)
    distrusted.add(make_job(make_step(9, estimate_s=30.0), job_id="busy"))
    distrusted.add(make_job(make_step(), job_id="waits"))
    distrusted.round(LAST_RESORT_S)
    assert {task.job_id for _worker, task, _run in distrusted.alive_runs()} == {"busy"}


def test_a_task_is_tried_elsewhere_after_a_start_without_an_answer():
    """Best fit chose the same worker again, for as long as it answered no start."""
    model = PoolModel(workers=2)
    model.add_worker("mute", "m-mute", cores=4)
    model.workers["mute"].start = lambda _order: StartResult.UNKNOWN
    for kind in ({}, {"lasting": True}):
        job_id = f"job-{len(model.scheduler.state.jobs)}"
        model.add(make_job(make_step(**kind), job_id=job_id))
    for _round in range(10):
        model.receive_reports()
        model.round()
    assert len(model.alive_runs()) == 2


def test_a_worker_that_refused_starts_is_tried_with_one_run():
    """All waiting runs were sent to it after each pause, and refused one by one."""
    model = PoolModel(workers=1)
    worker = model.workers["w0"]
    worker.start = lambda _order: StartResult.UNWELL
    for number in range(5):
        model.add(make_job(make_step(), job_id=f"j{number}"))
    model.round(3.0)
    model.orders.clear()
    model.round(3.0)
    assert len(model.orders) == 1
    del worker.start
    model.round(3.0)
    model.round()
    assert len(model.alive_runs()) == 5


def test_a_worker_that_sheds_some_starts_gets_all_that_fit():
    model = PoolModel(workers=1)
    worker = model.workers["w0"]
    start = worker.start
    worker.start = lambda order: (
        start(order) if order.task.index % 2 else StartResult.UNWELL
    )
    model.add(make_job(make_step(8, cores=0.5)))
    model.orders.clear()
    model.round(3.0)
    assert len(model.orders) == 4


def test_runs_that_a_worker_refused_go_to_another_one_with_room():
    model = PoolModel(workers=1)
    model.workers["w0"].start = lambda _order: StartResult.UNWELL
    for number in range(5):
        model.add(make_job(make_step(), job_id=f"j{number}"))
    model.add_worker("w1", "m1")
    model.round()
    assert {worker for worker, _task, _run in model.alive_runs()} == {"w1"}
    assert len(model.alive_runs()) == 5
