"""A job has begun once a worker has taken one of its tasks, and not before."""

import dataclasses

import pytest

from heatherhatch_core.coordination.scheduler import Ending, StartResult
from heatherhatch_core.state.work import Phase
from pool_model import QUEUE, PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1)


def answer_starts(model: PoolModel, result: StartResult) -> None:
    """Let all workers give one answer to starts, and start nothing."""
    for worker in model.workers.values():
        worker.start = lambda _order: result


def waiting(model: PoolModel) -> int:
    return model.scheduler.waiting().get(QUEUE.name, 0)


# Guards against a queue length of 0 while a worker that looks well refuses all starts.
@pytest.mark.parametrize(
    "result", [StartResult.UNWELL, StartResult.NO_ROOM, StartResult.REFUSED]
)
def test_a_job_whose_starts_are_refused_waits_and_is_shown_as_queued(model, result):
    answer_starts(model, result)
    for number in range(3):
        model.add(make_job(make_step(), job_id=f"j{number}"))
    for _round in range(3):
        model.round(3.0)
        assert waiting(model) == 3
    for number in range(3):
        writes = [write for write in model.writes if write.job_id == f"j{number}"]
        phases = [write.status.phase for write in writes if write.status]
        assert [Phase.QUEUED, *phases][-1] is Phase.QUEUED


# Guards against a write of the status for each attempt while starts are refused.
def test_the_status_of_a_refused_job_is_written_once(model):
    answer_starts(model, StartResult.UNWELL)
    model.add(make_job(make_step()))
    for _round in range(9):
        model.round(3.0)
    assert model.phases() == [Phase.RUNNING, Phase.QUEUED]
    del model.workers["w0"].start
    model.round(3.0)
    model.round()
    assert model.phases()[-1] is Phase.RUNNING
    assert waiting(model) == 0


# Guards against a job that counts as begun though its start may not have arrived.
def test_a_job_whose_start_got_no_answer_waits_until_a_report_lists_its_run(model):
    worker = model.workers["w0"]
    start = worker.start
    worker.start = lambda order: start(order) and StartResult.UNKNOWN
    model.add(make_job(make_step()))
    assert waiting(model) == 1
    model.receive_reports()
    assert waiting(model) == 0


def test_a_job_that_ended_before_it_was_listed_has_begun(model):
    worker = model.workers["w0"]
    start = worker.start
    worker.start = lambda order: start(order) and StartResult.UNKNOWN
    model.add(make_job(make_step(2)))
    (_worker, task, number), *_others = model.alive_runs()
    worker.end(task, number, Ending.FAILED)
    del worker.start
    model.receive_reports()
    model.round()
    assert waiting(model) == 0


# Guards against a new holder that takes each job with a stored run for begun.
def test_a_new_holder_counts_the_jobs_that_no_worker_has_taken(model):
    model.add(make_job(make_step(), job_id="taken"))
    answer_starts(model, StartResult.UNWELL)
    model.add(make_job(make_step(), job_id="refused"))
    model.replace_holder()
    assert waiting(model) == 1
    assert model.scheduler.state.jobs["taken"].phase is Phase.RUNNING
    assert model.scheduler.state.jobs["refused"].phase is Phase.QUEUED


def test_a_job_that_had_begun_does_not_wait_again_under_a_new_holder(model):
    model.add(make_job(make_step()))
    model.scheduler.state.workers["w0"].present = False
    model.finish(Ending.LAPSED)
    assert model.alive_runs() == []
    model.replace_holder()
    assert waiting(model) == 0


# Guards against a new holder that does not show what a job of its predecessor does.
def test_a_new_holder_shows_a_job_that_was_taken_back(model):
    answer_starts(model, StartResult.UNKNOWN)
    model.add(make_job(make_step()))
    answer_starts(model, StartResult.UNWELL)
    assert model.phases() == [Phase.RUNNING]
    model.replace_holder()
    for _round in range(4):
        model.round(3.0)
        model.receive_reports()
    assert model.phases()[-1:] == [Phase.QUEUED]
    assert waiting(model) == 1


def test_jobs_with_a_schedule_are_not_counted(model):
    job = make_job(make_step())
    schedule = dataclasses.replace(job.schedule, count=2, first_s=1e9, interval_s=1.0)
    model.add(dataclasses.replace(job, schedule=schedule))
    assert waiting(model) == 0
