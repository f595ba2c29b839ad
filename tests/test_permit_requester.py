"""Permits for queues whose policy allows only some workers."""

import dataclasses

import gevent
import pytest

from heatherhatch_core.coordination.scheduler import StartOrder, StartResult
from heatherhatch_core.exceptions import ErrorKind
from heatherhatch_core.state.fleet_configuration import PermitRules
from heatherhatch_daemon.pools import permit_calls, permit_requester
from heatherhatch_daemon.pools.permit_calls import PermitCalls
from heatherhatch_daemon.pools.permit_requester import PermitRequester
from heatherhatch_daemon.transport.http import ExchangeError
from pool_model import CONFIG, QUEUE, PoolModel, make_job, make_step

CONFIG_WITH_PERMITS = dataclasses.replace(
    CONFIG,
    queues=(dataclasses.replace(QUEUE, permit_rules=PermitRules(0.01, 0.001, 3.0)),),
)


class FakePolicy:
    """A policy service that grants permits for some workers and records requests."""

    def __init__(self):
        self.allowed = {"w1"}
        self.requests = []
        self.limits_s = []
        self.silent = False

    def request_permits(self, step, worker_ids, timeout_s):
        self.requests.append((step, worker_ids))
        self.limits_s.append(timeout_s)
        if self.silent:
            raise ExchangeError(ErrorKind.BACKEND_TIMEOUT, "no response", True)
        permits = {
            name: f"ticket-{name}" for name in worker_ids if name in self.allowed
        }
        return permits, 3.0


@pytest.fixture
def model(monkeypatch) -> PoolModel:
    pool = PoolModel(workers=3, config=CONFIG_WITH_PERMITS)
    for module in (permit_calls, permit_requester):
        monkeypatch.setattr(module, "now_s", lambda: pool.now_s)
    return pool


@pytest.fixture
def policy() -> FakePolicy:
    return FakePolicy()


@pytest.fixture
def requester(model, policy) -> PermitCalls:
    """Return the calls of an instance that runs one pool."""
    calls = PermitCalls(policy)
    calls.requesters.append(make_requester(calls, model))
    return calls


def make_requester(calls, model):
    return PermitRequester(calls, "till", model.scheduler, lambda: None)


def configure(model, **rules):
    """Give the queue other rules of the policy service."""
    queue = dataclasses.replace(QUEUE, permit_rules=PermitRules(**rules))
    config = dataclasses.replace(CONFIG, queues=(queue,))
    model.scheduler.configure(config)


def test_a_task_starts_only_with_a_permit_and_its_order_carries_it(
    model, requester, policy
):
    model.add(make_job(make_step(2)))
    assert model.alive_runs() == []
    assert requester.request_next()
    model.round()
    assert {worker for worker, _task, _run in model.alive_runs()} == {"w1"}
    starts = [order for order in model.orders if isinstance(order, StartOrder)]
    assert {order.permit for order in starts} == {"ticket-w1"}
    assert policy.requests[0][0] == "j1.0.0"


def test_a_permit_that_was_refused_is_not_requested_again_at_once(
    model, requester, policy
):
    policy.allowed = set()
    model.add(make_job(make_step(2)))
    assert requester.request_next()
    model.round()
    assert not requester.request_next()
    assert len(policy.requests) == 1


def test_an_expired_permit_is_requested_again(model, requester, policy):
    model.add(make_job(make_step(1)))
    requester.request_next()
    model.round(4.0)
    assert model.alive_runs() == []
    assert requester.request_next()
    model.round()
    assert len(model.alive_runs()) == 1


def test_a_permit_that_the_worker_rejects_is_discarded(model, requester):
    model.add(make_job(make_step(1)))
    requester.request_next()
    model.scheduler.decide(model.now_s, model.now_s)
    for write in model.scheduler.take_writes(model.now_s):
        model.scheduler.stored(write.job_id, write.version, model.now_s)
    order = model.scheduler.take_orders()[0]
    model.scheduler.handle_start_result(order, StartResult.NO_PERMIT, model.now_s)
    model.round()
    assert model.alive_runs() == []
    assert requester.request_next()


def test_requests_go_on_after_an_error(model, requester, policy, monkeypatch):
    """The greenlet ended with the first error, and no further permit was requested."""
    grant = policy.request_permits

    def fail_once(*_args):
        policy.request_permits = grant
        raise KeyError("w1")

    policy.request_permits = fail_once
    model.add(make_job(make_step(1)))
    requester.start()
    with gevent.Timeout(30):
        while not policy.requests:
            gevent.sleep(0.01)
    requester.stop()


def test_permits_are_requested_for_quarantined_workers_too(model, requester, policy):
    """A step that only such a worker may run waited for the end of its quarantine."""
    quarantine = model.scheduler.state.workers["w1"].quarantine
    quarantine.pause_s = 30.0
    quarantine.until_s = model.now_s + quarantine.pause_s
    model.add(make_job(make_step()))
    assert requester.request_next()
    model.round()
    assert {worker for worker, _task, _run in model.alive_runs()} == {"w1"}


def test_the_time_limit_of_a_call_follows_the_rules_of_its_queue(
    model, requester, policy
):
    """A limit of 2 s was shorter than the answer to any call about many workers."""
    configure(model, decision_s=3.0, per_worker_s=0.5, validity_s=60.0)
    model.add(make_job(make_step()))
    requester.request_next()
    assert policy.limits_s[0] >= 3.0 + 3 * 0.5


def test_no_more_workers_are_asked_about_than_leave_permits_time_to_be_used(
    model, requester, policy
):
    """Permits had expired on arrival, as their lifetime counts from the request."""
    configure(model, decision_s=0.2, per_worker_s=0.5, validity_s=3.0)
    policy.allowed = {"w0"}
    model.add(make_job(make_step()))
    requester.request_next()
    assert len(policy.requests[0][1]) == 2
    model.round()
    assert len(model.alive_runs()) == 1


def test_pools_and_their_steps_have_their_turns(model, requester, policy, monkeypatch):
    """Each pool called by itself, and always for the step with the lowest name."""
    monkeypatch.setattr(policy, "silent", True)
    other = PoolModel(workers=1, config=CONFIG_WITH_PERMITS)
    requester.requesters.append(make_requester(requester, other))
    for job_id in ("a", "b"):
        model.add(make_job(make_step(), job_id=job_id))
    other.add(make_job(make_step(), job_id="c"))
    for _call in range(4):
        with pytest.raises(ExchangeError):
            requester.request_next()
    assert [step[0] for step, _workers in policy.requests] == ["a", "c", "b", "c"]


def test_calls_without_an_answer_slow_down_and_wait_longer(model, requester, policy):
    """A repeat costs the service as much as the call that was given up."""
    policy.silent = True
    model.add(make_job(make_step()))
    pauses_s = []
    for _call in range(6):
        with pytest.raises(ExchangeError):
            requester.request_next()
        pauses_s.append(requester.pause_s())
    assert pauses_s == sorted(pauses_s) and pauses_s[-1] > 10 * pauses_s[0]
    assert policy.limits_s == sorted(policy.limits_s)
    policy.silent = False
    assert requester.request_next()
    assert requester.pause_s() == pauses_s[0]
    assert requester.requesters[0].oldest_wait_s() == 0.0


def test_an_instance_without_pools_does_not_look_for_requests(requester, policy):
    """It went on to look 50 times a second after it had lost its last pool."""
    (pool,) = requester.requesters
    requester.start()
    requester.remove(pool)
    requester.greenlet.join(timeout=30)
    assert requester.greenlet.dead
    requester.add(pool)
    assert not requester.greenlet.dead
    requester.stop()
