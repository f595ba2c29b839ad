"""Runs leave a worker that drains by itself before it goes."""

import dataclasses

import pytest

from pool_model import PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    model = PoolModel(workers=1)
    model.add(make_job(make_step(checkpoints=True, estimate_s=20.0)))
    return model


def announce_drain(model: PoolModel, leaves_in_s: float) -> None:
    """Let the directory list the worker as draining."""
    info = model.workers["w0"].info
    info = dataclasses.replace(info, draining=True, leaves_in_s=leaves_in_s)
    model.scheduler.update_worker(info, model.now_s)


def test_a_run_is_stopped_for_its_checkpoint_before_its_worker_leaves(model):
    """The start of the drain was set anew in each round, so no run was stopped."""
    announce_drain(model, 2.0)
    model.round(1.4)
    assert len(model.alive_runs()) == 1
    model.round(0.2)
    assert model.alive_runs() == []


def test_each_entry_of_a_draining_worker_gives_the_time_left_from_then_on(model):
    """Counting the time from the start of the drain would stop runs too early."""
    for leaves_in_s in (4.0, 3.0, 2.0, 1.0):
        announce_drain(model, leaves_in_s)
        model.round(0.2)
        assert len(model.alive_runs()) == 1
        model.now_s += 0.8


# Guards against AVAIL: a task was moved off a sound worker in the same round in which
# others of its step had to leave a worker that drains.
def test_a_task_is_not_moved_while_others_must_leave_a_draining_worker():
    model = PoolModel(workers=2)
    model.add(make_job(make_step(count=2, lasting=True, may_miss=1)))
    model.round(10.0)
    model.receive_reports()  # only runs that are reported at work may be moved
    workers = {worker for worker, _task, _run in model.alive_runs()}
    assert workers == {"w0", "w1"}
    info = dataclasses.replace(model.workers["w1"].info, draining=True, leaves_in_s=4.0)
    model.scheduler.update_worker(info, model.now_s)
    model.scheduler.set_drains({model.workers["w0"].info.machine: 1}, {})
    model.now_s += 0.1
    model.scheduler.decide(model.now_s, model.now_s)
    stopped = [order.worker_id for order in model.scheduler.take_orders()]
    assert stopped == ["w1"]
