"""What a worker's former incarnation said or was told does not count for the next."""

import dataclasses

import pytest

from heatherhatch_core.coordination.scheduler import Ending, Report
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
