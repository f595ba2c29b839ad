"""What a worker's former incarnation said or was told does not count for the next."""

import dataclasses

import pytest

from heatherhatch_core.coordination.scheduler import (
    Ending,
    Report,
    StartResult,
    TaskName,
)
from heatherhatch_core.coordination.scheduler.worker import MAX_ORDER_DELAY_S
from heatherhatch_core.state.work import Phase
from pool_model import PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1)


def register_next(model: PoolModel) -> Report:
    """Register the next incarnation of the worker; return a report of the former."""
    worker = model.workers["w0"]
    report = worker.report(0)
    worker.info = dataclasses.replace(worker.info, born_ms=2)
    worker.runs, worker.ends, worker.sequence = {}, [], 0
    worker.refused = set()
    model.scheduler.update_worker(worker.info, model.now_s)
    return report


# Guards against leases by the clock of an incarnation that is over: its report, which
# was on its way, set the worker back to it.
def test_a_report_of_a_former_incarnation_does_not_make_the_worker_usable(model):
    model.now_s += 1.0
    sent_s = model.now_s - 0.5
    report = register_next(model)
    model.scheduler.handle_report("w0", report, sent_s, model.now_s)
    model.add(make_job(make_step()))
    assert model.alive_runs() == []
    model.receive_report("w0")
    model.round()
    assert len(model.alive_runs()) == 1


def test_a_result_in_a_report_of_a_former_incarnation_counts(model):
    model.add(make_job(make_step()))
    _worker, task, number = model.alive_runs()[0]
    sent_s = model.now_s
    model.round()
    model.workers["w0"].end(task, number, Ending.DONE)
    report = register_next(model)
    model.scheduler.handle_report("w0", report, sent_s, model.now_s)
    model.receive_report("w0")
    model.round()
    assert model.alive_runs() == []
    assert model.phases()[-1] is Phase.COMPLETED


# The wall clock of a machine may have been set back before its worker started again.
def test_an_incarnation_that_answers_later_counts_although_its_clock_is_behind(model):
    model.add_worker("w1", "m1", born_ms=9)
    model.now_s += 1.0
    report = dataclasses.replace(model.workers["w1"].report(0), born_ms=5)
    model.scheduler.handle_report("w1", report, model.now_s - 0.1, model.now_s)
    assert model.scheduler.state.workers["w1"].info.born_ms == 5


def place(model: PoolModel):
    """Place a task; return the order to start it."""
    model.scheduler.add_job(make_job(make_step()), None, model.now_s)
    model.scheduler.decide(model.now_s, model.now_s)
    for write in model.scheduler.take_writes(model.now_s):
        model.scheduler.stored(write.job_id, write.version, model.now_s)
    (order,) = model.scheduler.take_orders()
    return order


def start_in_doubt(model: PoolModel):
    """Order a start that gets no answer and is then stopped; return the order."""
    order = place(model)
    model.scheduler.handle_start_result(order, StartResult.UNKNOWN, model.now_s)
    model.receive_report("w0")
    model.flush()
    assert model.workers["w0"].start(order) is StartResult.REFUSED
    model.now_s += 0.01
    return order


# Guards against two runs at once: a start that the former incarnation would have
# refused takes effect late, on the next one, when the task runs elsewhere.
@pytest.mark.parametrize("is_given_up", [False, True], ids=["stopped", "given up"])
def test_a_late_start_is_refused_by_the_next_incarnation(model, is_given_up):
    order = start_in_doubt(model)
    if is_given_up:
        model.receive_report("w0")
        assert not model.scheduler.state.workers["w0"].runs
    register_next(model)
    model.receive_report("w0")
    model.round()
    assert model.workers["w0"].start(order) is StartResult.REFUSED


# Guards against the same where the run had ended, by a stop that overtook its start,
# before the start was given up.
def test_a_start_that_is_given_up_after_its_run_is_refused_by_the_next_incarnation(
    model,
):
    order = place(model)
    (run,) = model.scheduler.state.workers["w0"].runs.values()
    model.scheduler.state.stop_run(run, model.now_s)
    model.flush()
    model.now_s += 0.01
    model.receive_report("w0")
    assert not model.scheduler.state.workers["w0"].runs
    model.scheduler.handle_start_result(order, StartResult.UNKNOWN, model.now_s)
    register_next(model)
    model.receive_report("w0")
    model.flush()
    assert model.workers["w0"].start(order) is StartResult.REFUSED


# Guards against the same where the directory had dropped the worker in between.
def test_a_late_start_is_refused_by_the_next_incarnation_of_a_worker_that_was_gone(
    model,
):
    order = start_in_doubt(model)
    model.scheduler.remove_worker("w0")
    model.round(5.0)
    register_next(model)
    model.receive_report("w0")
    model.flush()
    assert model.workers["w0"].start(order) is StartResult.REFUSED


def test_starts_are_not_in_doubt_for_ever(model):
    start_in_doubt(model)
    model.receive_report("w0")
    model.now_s += 2 * MAX_ORDER_DELAY_S
    register_next(model)
    assert model.scheduler.take_orders() == []


# Guards against a memory that grows with each start without an answer.
def test_starts_in_doubt_of_long_ago_are_forgotten(model):
    worker = model.scheduler.state.workers["w0"]
    for number in range(20):
        worker.note_unanswered(TaskName("j1", 0, 0, 0), number, model.now_s)
        model.now_s += MAX_ORDER_DELAY_S / 2
    assert [number for _task, number in worker.unanswered_starts] == [17, 18, 19]


# Guards against two runs at once whose log does not tell which lease was counted.
def test_a_lost_run_is_logged_with_the_lease_that_was_counted(model):
    model.add(make_job(make_step()))
    worker = model.scheduler.state.workers["w0"]
    worker.note_deadline(5000)
    model.scheduler.handle_no_response("w0", model.now_s)
    model.round(10.0)
    notes = model.scheduler.take_notes()
    (lost,) = [details for what, details in notes if what == "run lost"]
    assert (lost["born_ms"], lost["worker_born_ms"], lost["fenced"]) == (1, 1, True)
    assert (lost["clock_ms"], lost["deadline_ms"]) == (1000, 5000)
    assert lost["since_s"] == pytest.approx(10.0, abs=0.1)
