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
