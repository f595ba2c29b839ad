"""The scheduler's invariants hold for any order of calls, losses and takeovers.

The invariants: no task runs twice at the same time, except on two workers if its step
is speculative, or again after its end was acknowledged; no worker exceeds its capacity,
steps run in order, a job is completed only when all its tasks are done, and every job
ends; it fails only if one of its tasks failed or crashed workers. Workers may restart,
under their name or another, and shrink.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from heatherhatch_core.coordination.scheduler import (
    Ending,
    StartResult,
    order_answers,
    scheduler,
)
from heatherhatch_core.coordination.scheduler.worker import Worker
from heatherhatch_core.state.resources import Resources
from pool_model import make_job, make_step
from scheduler_environment import SchedulerEnvironment

INDEX = st.integers(0, 30)
STEP_LISTS = (
    (make_step(2),),
    (make_step(1), make_step(2, after=(0,))),
    (make_step(3, cores=3),),
    (make_step(1, cores=2), make_step(1, after=(0,)), make_step(1, after=(0, 1))),
    (make_step(3, speculative=True), make_step(1, after=(0,), speculative=True)),
)


class SchedulerMachine(RuleBasedStateMachine):
    """Calls the operations of the environment in any order."""

    def __init__(self):
        super().__init__()
        self.environment = SchedulerEnvironment()
        self.count = 0

    @precondition(lambda self: self.count < 4)
    @rule(steps=st.sampled_from(STEP_LISTS))
    def submit(self, steps):
        self.count += 1
        self.environment.submit(make_job(*steps, job_id=f"j{self.count}"))

    @rule()
    def decide(self):
        self.environment.decide()

    @precondition(lambda self: self.environment.holder.writes)
    @rule()
    def apply_write(self):
        self.environment.apply_write(self.environment.holder)

    @precondition(lambda self: self.environment.pending_orders)
    @rule(index=INDEX, answered=st.booleans())
    def deliver_order(self, index, answered):
        self.environment.deliver_order(index, answered)

    @precondition(lambda self: self.environment.pending_orders)
    @rule(index=INDEX)
    def time_out_start(self, index):
        self.environment.time_out_start(index)

    @rule(index=INDEX, answered=st.booleans())
    def renew(self, index, answered):
        workers = list(self.environment.workers.values())
        self.environment.renew(workers[index % len(workers)], answered)

    @rule(index=INDEX, ending=st.sampled_from((Ending.DONE, Ending.FAILED)))
    def end_run(self, index, ending):
        alive_runs = [
            (worker, key)
            for worker in self.environment.workers.values()
            for key in worker.runs
        ]
        if alive_runs:
            self.environment.end_run(*alive_runs[index % len(alive_runs)], ending)

    @rule(seconds=st.sampled_from((0.05, 0.5, 3.0, 6.0, 12.0)))
    def advance_time(self, seconds):
        self.environment.advance_time(seconds)

    @rule()
    def change_holder(self):
        self.environment.change_holder()

    @rule(index=INDEX)
    def restart_worker(self, index):
        workers = list(self.environment.workers.values())
        self.environment.restart_worker(workers[index % len(workers)])

    @rule(index=INDEX)
    def replace_worker(self, index):
        workers = list(self.environment.workers.values())
        self.environment.replace_worker(workers[index % len(workers)])

    @rule(index=INDEX, cores=st.integers(0, 4))
    def resize_worker(self, index, cores):
        workers = list(self.environment.workers.values())
        capacity = Resources(cores * 1000, 4000)
        self.environment.resize_worker(workers[index % len(workers)], capacity)

    @rule(names=st.sets(st.sampled_from(("dc-w0", "dc-w1", "dc-w9"))))
    def evacuate(self, names):
        self.environment.evacuate(names)

    @precondition(lambda self: self.count)
    @rule(index=INDEX)
    def cancel(self, index):
        job_id = f"j{index % self.count + 1}"
        if not self.environment.status[job_id].final:
            self.environment.cancel(job_id)

    def teardown(self):
        self.environment.run_until_ended()


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(max_examples=400, stateful_step_count=60)


class CopiesMachine(SchedulerMachine):
    """The same, from a state in which a task has two runs."""

    def __init__(self):
        super().__init__()
        for worker in list(self.environment.workers.values()):
            self.environment.renew(worker, True)
        self.submit(STEP_LISTS[-1])
        process_orders(self.environment)
        self.environment.advance_time(1.5)
        process_orders(self.environment)
        runs = [len(worker.runs) for worker in self.environment.workers.values()]
        assert sorted(runs) == [0, 1, 3]


TestCopies = CopiesMachine.TestCase
TestCopies.settings = settings(max_examples=200, stateful_step_count=40)


def treat_unknown_starts_as_refused(monkeypatch):
    """Treat a start without an answer as one that was refused."""
    original_handle = order_answers.handle_start_result

    def take(state, order, result, now_s):
        lost = result is StartResult.UNKNOWN
        original_handle(state, order, StartResult.REFUSED if lost else result, now_s)

    monkeypatch.setattr(scheduler, "handle_start_result", take)


def expire_leases_of_silent_workers_at_once(monkeypatch):
    """Treat the runs of a silent worker as ended at once."""
    monkeypatch.setattr(Worker, "lease_expiry_s", lambda worker: float("-inf"))


def acknowledge_before_storing(monkeypatch):
    """Acknowledge an end as soon as it is received."""

    def advance_ack(worker):
        worker.acked = worker.last_end_sequence

    monkeypatch.setattr(Worker, "advance_ack", advance_ack)


def ignore_stored_runs(monkeypatch):
    """Hide the runs that were placed from a new holder."""
    original_add = scheduler.Scheduler.add_job

    def add(self, job, _progress, now_s):
        original_add(self, job, None, now_s)

    monkeypatch.setattr(scheduler.Scheduler, "add_job", add)


def start_one(environment):
    """Start a job with one task and return the worker that runs it."""
    for worker in list(environment.workers.values()):
        environment.renew(worker, True)
    environment.submit(make_job(make_step(1)))
    process_orders(environment)
    return next(worker for worker in environment.workers.values() if worker.runs)


def process_orders(environment):
    """Decide, store the writes and deliver the orders."""
    environment.decide()
    while environment.holder.writes:
        environment.apply_write(environment.holder)
    while environment.pending_orders:
        environment.deliver_order(0, True)


def start_without_an_answer(environment):
    for worker in list(environment.workers.values()):
        environment.renew(worker, True)
    environment.submit(make_job(make_step(1)))
    environment.decide()
    environment.apply_write(environment.holder)
    environment.time_out_start(0)
    environment.decide()
    while environment.holder.writes:
        environment.apply_write(environment.holder)
    while environment.pending_orders:
        environment.deliver_order(0, True)


def worker_stops_answering(environment):
    worker = start_one(environment)
    environment.renew(worker, True)
    environment.renew(worker, False)
    environment.advance_time(0.5)
    process_orders(environment)


def takeover_before_an_end_is_stored(environment):
    worker = start_one(environment)
    environment.end_run(worker, next(iter(worker.runs)), Ending.DONE)
    environment.renew(worker, True)
    environment.renew(worker, True)
    environment.change_holder()
    for other in list(environment.workers.values()):
        environment.renew(other, True)
    process_orders(environment)


def takeover_without_contact_to_one_worker(environment):
    worker = start_one(environment)
    environment.change_holder()
    for other in list(environment.workers.values()):
        if other is not worker:
            environment.renew(other, True)
    process_orders(environment)


CASES = [
    (start_without_an_answer, treat_unknown_starts_as_refused),
    (worker_stops_answering, expire_leases_of_silent_workers_at_once),
    (takeover_before_an_end_is_stored, acknowledge_before_storing),
    (takeover_without_contact_to_one_worker, ignore_stored_runs),
]


@pytest.mark.parametrize("scenario", [scenario for scenario, _fault in CASES])
def test_invariants_hold_in_scenario(scenario):
    environment = SchedulerEnvironment()
    scenario(environment)
    environment.run_until_ended()


@pytest.mark.parametrize(("scenario", "fault"), CASES)
def test_checks_detect_an_injected_fault(scenario, fault, monkeypatch):
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        scenario(SchedulerEnvironment())
