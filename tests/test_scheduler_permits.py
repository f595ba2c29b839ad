"""Steps that wait for permits of the policy service do not hold up other jobs."""

import dataclasses

import pytest

from heatherhatch_core.coordination.scheduler.permits import StepName
from heatherhatch_core.state.fleet_configuration import PermitRules, Queue
from pool_model import CONFIG, POOL, QUEUE, PoolModel, make_job, make_step

RESTRICTED = Queue("restricted", "h", "/restricted/", POOL, permit_rules=PermitRules())


@pytest.fixture
def model() -> PoolModel:
    config = dataclasses.replace(CONFIG, queues=(QUEUE, RESTRICTED))
    return PoolModel(workers=2, config=config)


def add_restricted(model: PoolModel, job_id: str) -> None:
    """Submit a job whose workers need permits, due before all others."""
    job = make_job(make_step(), job_id=job_id, at_s=model.now_s - 0.2)
    model.add(dataclasses.replace(job, queue=RESTRICTED.name))


def test_a_job_without_permits_does_not_hold_up_a_job_that_needs_none(model):
    """Its requirements counted as ones that no worker could meet for any job."""
    add_restricted(model, "a")
    model.add(make_job(make_step(), job_id="b", at_s=model.now_s))
    assert [task.job_id for _worker, task, _run in model.alive_runs()] == ["b"]


def test_all_steps_that_wait_for_permits_request_them(model):
    """Only the first of several steps with the same requirements requested any."""
    add_restricted(model, "a")
    add_restricted(model, "b")
    permits = model.scheduler.state.permits
    assert permits.wanted.keys() == {StepName("a", 0, 0), StepName("b", 0, 0)}


def test_a_restarted_worker_is_asked_about_again(model):
    """It may be of another kind, but a refusal of its former life stayed for good."""
    add_restricted(model, "a")
    permits = model.scheduler.state.permits
    step = StepName("a", 0, 0)
    permits.record_answer(step, ["w0", "w1"], {"w1": "ticket"}, model.now_s + 9.0)
    model.add_worker("w0", "m0", born_ms=2)
    model.add_worker("w1", "m1", born_ms=2)
    assert permits.not_refused(step, ["w0", "w1"]) == ["w0", "w1"]
    assert not permits.allows(step, "w1", model.now_s)


def test_a_step_whose_tasks_are_all_placed_asks_for_no_more_permits(model):
    """Each worker without a permit that was looked at on the way asked for another."""
    permits = model.scheduler.state.permits
    step = StepName("a", 0, 0)
    permits.record_answer(step, ["w1"], {"w1": "ticket"}, model.now_s + 9.0)
    add_restricted(model, "a")
    assert [worker for worker, _task, _run in model.alive_runs()] == ["w1"]
    assert not permits.wanted


# Guards against starts without permits, which workers reject, after a new name of the
# queue, and against permits for the queue that got its former name.
def test_permits_follow_the_address_of_a_renamed_queue(model):
    renamed = dataclasses.replace(RESTRICTED, name="renamed")
    other = dataclasses.replace(QUEUE, name=RESTRICTED.name)
    job = make_job(make_step(), job_id="a", at_s=model.now_s)
    job = dataclasses.replace(job, queue=RESTRICTED.name, address=RESTRICTED.address)
    config = dataclasses.replace(CONFIG, queues=(other, renamed))
    model.scheduler.configure(config)
    model.add(job)
    model.add(dataclasses.replace(job, job_id="b", address=QUEUE.address))
    assert [task.job_id for _worker, task, _run in model.alive_runs()] == ["b"]
    assert model.scheduler.state.permits.wanted.keys() == {StepName("a", 0, 0)}


# Guards against starts without permits, which workers reject, and the job never runs.
def test_an_open_job_needs_permits_after_its_queue_was_removed(model):
    job = make_job(make_step(), job_id="a", at_s=model.now_s)
    terms = dataclasses.replace(job.terms, permit_rules=RESTRICTED.permit_rules)
    model.scheduler.configure(dataclasses.replace(CONFIG, queues=(QUEUE,)))
    model.add(dataclasses.replace(job, address=RESTRICTED.address, terms=terms))
    assert model.alive_runs() == []
    assert model.scheduler.state.permits.wanted.keys() == {StepName("a", 0, 0)}


def test_the_newest_rules_of_a_queue_count(model):
    job = make_job(make_step(), job_id="a", at_s=model.now_s)
    terms = dataclasses.replace(job.terms, permit_rules=RESTRICTED.permit_rules)
    model.add(dataclasses.replace(job, address=QUEUE.address, terms=terms))
    assert len(model.alive_runs()) == 1
