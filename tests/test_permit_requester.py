"""Queues whose policy allows only some workers."""

import dataclasses

import pytest

from heatherhatch_core.coordination.scheduler import StartOrder, StartResult
from heatherhatch_core.state.fleet_configuration import PermitRules
from heatherhatch_daemon.pools import permit_requester
from heatherhatch_daemon.pools.permit_requester import PermitRequester
from pool_model import CONFIG, QUEUE, PoolModel, job_of, step_of

ADVISED = dataclasses.replace(
    CONFIG,
    queues=(dataclasses.replace(QUEUE, permit_rules=PermitRules(0.01, 0.001, 3.0)),),
)


class Policy:
    """A policy service that allows some workers."""

    def __init__(self):
        self.allowed = {"w1"}
        self.questions = []

    def request_permits(self, step, worker_ids):
        self.questions.append((step, worker_ids))
        good = {name: f"ticket-{name}" for name in worker_ids if name in self.allowed}
        return good, 3.0


@pytest.fixture
def model(monkeypatch) -> PoolModel:
    found = PoolModel(workers=3, config=ADVISED)
    monkeypatch.setattr(permit_requester, "now_s", lambda: found.now_s)
    return found


@pytest.fixture
def policy() -> Policy:
    return Policy()


@pytest.fixture
def requester(model, policy) -> PermitRequester:
    return PermitRequester(policy, model.scheduler, lambda: None)


def test_a_task_starts_only_with_a_permit_and_shows_it(model, requester, policy):
    model.add(job_of(step_of(2)))
    assert model.alive() == []
    assert requester.request_next()
    model.round()
    assert {worker for worker, _task, _run in model.alive()} == {"w1"}
    starts = [order for order in model.orders if isinstance(order, StartOrder)]
    assert {order.permit for order in starts} == {"ticket-w1"}
    assert policy.questions[0][0] == "j1.0.0"


def test_a_worker_that_was_refused_is_not_asked_for_again(model, requester, policy):
    policy.allowed = set()
    model.add(job_of(step_of(2)))
    assert requester.request_next()
    model.round()
    assert not requester.request_next()
    assert len(policy.questions) == 1


def test_a_permit_that_is_over_is_asked_for_anew(model, requester, policy):
    model.add(job_of(step_of(1)))
    requester.request_next()
    model.round(4.0)
    assert model.alive() == []
    assert requester.request_next()
    model.round()
    assert len(model.alive()) == 1


def test_a_permit_that_the_worker_does_not_take_is_dropped(model, requester):
    model.add(job_of(step_of(1)))
    requester.request_next()
    model.scheduler.decide(model.now_s, model.now_s)
    for write in model.scheduler.take_writes(model.now_s):
        model.scheduler.stored(write.job_id, write.version, model.now_s)
    order = model.scheduler.take_orders()[0]
    model.scheduler.handle_start_result(order, StartResult.NO_PERMIT, model.now_s)
    model.round()
    assert model.alive() == []
    assert requester.request_next()
