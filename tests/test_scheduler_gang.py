"""A gang fails as one: its members start, end and count together."""

import pytest

from heatherhatch_core.coordination.scheduler import Ending, StartOrder
from heatherhatch_core.state.work import Phase
from pool_model import PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    model = PoolModel(workers=2)
    model.add(make_job(make_step(3, gang=True)))
    return model


def test_members_that_fail_in_the_same_run_count_as_one_failure(model):
    """Each counted, so that the job was shown as failed after one run of three."""
    model.finish(Ending.FAILED)
    model.receive_reports()
    model.round()
    assert {run for _worker, _task, run in model.alive_runs()} == {2}
    assert Phase.FAILED not in model.phases()


def test_a_gang_that_fails_in_each_attempt_fails_its_job(model):
    for _attempt in range(3):
        model.finish(Ending.FAILED)
        model.receive_reports()
        model.round()
    assert model.phases()[-1] is Phase.FAILED
    assert model.alive_runs() == []


def test_members_that_are_lost_with_their_worker_resume_from_one_checkpoint(model):
    """Each resumed from its own last one, though all must carry the same value."""
    for worker_id, task, _number in model.alive_runs():
        model.workers[worker_id].checkpoints[task] = f"saved-{task.index}"
    for _report in range(2):
        model.receive_reports()
    for worker in model.workers.values():
        worker.runs.clear()
    model.orders.clear()
    model.receive_reports()
    model.round()
    starts = [order for order in model.orders if isinstance(order, StartOrder)]
    assert len(starts) == 3
    assert len({order.checkpoint for order in starts}) == 1
    assert starts[0].checkpoint.startswith("saved-")
