"""A gang fails as one: its members start, end and count together."""

import pytest

from heatherhatch_core.coordination.scheduler import Ending
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
