"""Any order of calls, losses, restarts and takeovers keeps the scheduler's promises."""

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
    reports,
    scheduler,
)
from heatherhatch_core.coordination.scheduler.worker import Worker
from pool_model import job_of, step_of
from scheduler_world import World

CHOICE = st.integers(0, 30)
SHAPES = (
    (step_of(2),),
    (step_of(1), step_of(2, after=(0,))),
    (step_of(3, cores=3),),
    (step_of(1, cores=2), step_of(1, after=(0,)), step_of(1, after=(0, 1))),
)


class SchedulerMachine(RuleBasedStateMachine):
    """Plays the world in any order."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.count = 0

    @precondition(lambda self: self.count < 4)
    @rule(shape=st.sampled_from(SHAPES))
    def submit(self, shape):
        self.count += 1
        self.world.submit(job_of(*shape, job_id=f"j{self.count}"))

    @rule()
    def decide(self):
        self.world.decide()

    @precondition(lambda self: self.world.holder.writes)
    @rule()
    def store(self):
        self.world.store(self.world.holder)

    @precondition(lambda self: self.world.flights)
    @rule(index=CHOICE, answered=st.booleans())
    def fly(self, index, answered):
        self.world.fly(index, answered)

    @precondition(lambda self: self.world.flights)
    @rule(index=CHOICE)
    def give_up_waiting(self, index):
        self.world.give_up_waiting(index)

    @rule(index=CHOICE, answered=st.booleans())
    def renew(self, index, answered):
        workers = list(self.world.workers.values())
        self.world.renew(workers[index % len(workers)], answered)

    @rule(index=CHOICE, ending=st.sampled_from((Ending.DONE, Ending.FAILED)))
    def end(self, index, ending):
        alive = [
            (worker, key)
            for worker in self.world.workers.values()
            for key in worker.runs
        ]
        if alive:
            self.world.end(*alive[index % len(alive)], ending)

    @rule(seconds=st.sampled_from((0.05, 0.5, 3.0, 6.0, 12.0)))
    def pass_time(self, seconds):
        self.world.pass_time(seconds)

    @rule()
    def change_holder(self):
        self.world.change_holder()

    @rule(index=CHOICE)
    def restart_worker(self, index):
        workers = list(self.world.workers.values())
        self.world.restart_worker(workers[index % len(workers)])

    @precondition(lambda self: self.count)
    @rule(index=CHOICE)
    def cancel(self, index):
        job_id = f"j{index % self.count + 1}"
        if not self.world.status[job_id].final:
            self.world.cancel(job_id)

    def teardown(self):
        self.world.settle()


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(max_examples=400, stateful_step_count=60)


def lose_unknown_starts(monkeypatch):
    """A start without an answer is taken for one that never began."""
    true_take = reports.handle_start_result

    def take(state, order, result, now_s):
        lost = result is StartResult.UNKNOWN
        true_take(state, order, StartResult.REFUSED if lost else result, now_s)

    monkeypatch.setattr(scheduler, "handle_start_result", take)


def no_wait_for_leases(monkeypatch):
    """A silent worker's runs are taken for over at once."""
    monkeypatch.setattr(Worker, "lease_expiry_s", lambda worker: float("-inf"))


def acknowledge_before_storing(monkeypatch):
    """An end is acknowledged as soon as it is heard."""

    def advance_ack(worker):
        worker.acked = worker.last_end_sequence

    monkeypatch.setattr(Worker, "advance_ack", advance_ack)


def forget_starts(monkeypatch):
    """A new holder doesn't see the runs that were placed."""
    true_add = scheduler.Scheduler.add_job

    def add(self, job, _progress, now_s):
        true_add(self, job, None, now_s)

    monkeypatch.setattr(scheduler.Scheduler, "add_job", add)


def start_one(world):
    """Start the only task of a job and return where it runs."""
    for worker in list(world.workers.values()):
        world.renew(worker, True)
    world.submit(job_of(step_of(1)))
    carry_on(world)
    return next(worker for worker in world.workers.values() if worker.runs)


def carry_on(world):
    """Decide, store and deliver what follows."""
    world.decide()
    while world.holder.writes:
        world.store(world.holder)
    while world.flights:
        world.fly(0, True)


def a_start_is_not_answered(world):
    for worker in list(world.workers.values()):
        world.renew(worker, True)
    world.submit(job_of(step_of(1)))
    world.decide()
    world.store(world.holder)
    world.give_up_waiting(0)
    world.decide()
    while world.holder.writes:
        world.store(world.holder)
    while world.flights:
        world.fly(0, True)


def a_worker_falls_silent(world):
    worker = start_one(world)
    world.renew(worker, True)
    world.renew(worker, False)
    world.pass_time(0.5)
    carry_on(world)


def the_holder_goes_before_an_end_is_stored(world):
    worker = start_one(world)
    world.end(worker, next(iter(worker.runs)), Ending.DONE)
    world.renew(worker, True)
    world.renew(worker, True)
    world.change_holder()
    for other in list(world.workers.values()):
        world.renew(other, True)
    carry_on(world)


def a_new_holder_does_not_reach_one_worker(world):
    worker = start_one(world)
    world.change_holder()
    for other in list(world.workers.values()):
        if other is not worker:
            world.renew(other, True)
    carry_on(world)


CASES = [
    (a_start_is_not_answered, lose_unknown_starts),
    (a_worker_falls_silent, no_wait_for_leases),
    (the_holder_goes_before_an_end_is_stored, acknowledge_before_storing),
    (a_new_holder_does_not_reach_one_worker, forget_starts),
]


@pytest.mark.parametrize("script", [script for script, _variant in CASES])
def test_the_scheduler_holds_its_promises_in(script):
    world = World()
    script(world)
    world.settle()


@pytest.mark.parametrize(("script", "variant"), CASES)
def test_a_broken_variant_is_caught(script, variant, monkeypatch):
    variant(monkeypatch)
    with pytest.raises(AssertionError):
        script(World())
