"""A cut, the loss of the holder and a restart of a worker under its name, in any order.

Guards against a task that runs twice at once, or starts after an end as done that is
acknowledged then or later, while tasks are submitted and start all the time.
"""

import dataclasses
import itertools
from random import Random

import pytest

from incarnation_model import Conditions, World
from pool_model import make_job, make_step

RUNS_S = (12.0, 3.0, 6.0, 1.5)
SUBMISSIONS = 40
SUBMIT_EVERY_S = 0.3
FIRST_EVENT_S = 5.0
STEPS_S = (0.05, 0.7, 2.1, 4.4)
LAST_EVENT_S = 25.0
HANG_S = 100.0
EVENTS = ("cut", "kill", "restart")
ORDERS = ["-".join(order) for order in itertools.permutations(EVENTS)]


def draw_conditions(seed: str, **rest) -> Conditions:
    random = Random(seed)
    return Conditions(
        entry_after_s=random.choice((0.0, 0.5, 2.5, 20.0)),
        claim_s=random.choice((0.05, 1.2)),
        write_s=random.choice((0.01, 0.3)),
        cut_s=random.choice((3.0, 5.5, 9.0)),
        entry_kept_s=random.choice((1.5, float("inf"))),
        keeps_connections=random.random() < 0.3,
        closes_connections=random.random() < 0.3,
        is_isolated=random.random() < 0.3,
        fates_s=random.choice(((None,), (None, None, 1.2, None, 6.0), (None, 0.0))),
        **rest,
    )


def play(events, conditions: Conditions) -> World:
    """Let events happen at their times; return the world once all jobs have ended."""
    world = World(conditions)
    for number in range(SUBMISSIONS):
        run_s = RUNS_S[number % len(RUNS_S)]
        job = make_job(make_step(estimate_s=run_s), job_id=f"j{number}")
        job = dataclasses.replace(job, payload=str(run_s))
        world.after(1.0 + number * SUBMIT_EVERY_S, world.submit, job)
    happen = {
        "cut": (world.cut_off, "w1"),
        "cut other": (world.cut_off, "w2"),
        "kill": (world.lose_holder,),
        "restart": (world.restart, "w1"),
        "restart other": (world.restart, "w2"),
    }
    for event, at_s in events:
        world.after(at_s, *happen[event])
    world.run(LAST_EVENT_S)
    while world.jobs and world.now_s < HANG_S:
        world.run(1.0)
    return world


def schedules(order: str):
    """Yield the three events of an order, with all steps between them."""
    for steps_s in itertools.product(STEPS_S, repeat=2):
        times_s = itertools.accumulate((FIRST_EVENT_S, *steps_s))
        yield tuple(zip(order.split("-"), times_s, strict=True))


@pytest.mark.parametrize("order", ORDERS)
def test_no_task_runs_twice_whatever_the_order(order):
    for events in schedules(order):
        world = play(events, draw_conditions(str(events)))
        assert (world.violations, world.jobs) == ([], {}), events


# The same with more events on both workers, by hand.
@pytest.mark.proof
@pytest.mark.parametrize("seed", range(1000))
def test_no_task_runs_twice_in_longer_schedules(seed):
    random = Random(seed)
    kinds = (*EVENTS, "cut other", "restart other")
    times_s = sorted(random.uniform(3.0, 17.0) for _event in range(8))
    events = [(random.choice(kinds), at_s) for at_s in times_s]
    world = play(events, draw_conditions(f"longer {seed}"))
    assert (world.violations, world.jobs) == ([], {}), events


# Guards against two runs at once if a start that got no answer outlives the incarnation
# that it was sent to, and its stop was acknowledged there.
def test_no_task_runs_twice_if_a_later_incarnation_carries_out_a_late_start():
    conditions = Conditions(
        cut_s=5.5, fates_s=(None, None, 1.2, None, 6.0), is_late_anywhere=True
    )
    events = (("cut", 5.0), ("kill", 5.05), ("restart", 5.1))
    assert play(events, conditions).violations == []


# Guards against the same by a renewal, which extends the lease of all that runs there.
def test_no_task_runs_twice_if_a_later_incarnation_carries_out_a_late_renewal():
    conditions = Conditions(renewal_late_s=3.0)
    events = (("restart", 5.0), ("restart other", 5.0), ("cut", 9.0))
    assert play(events, conditions).violations == []


# Guards against a model that cannot show a fault: without the greeting, and with a
# start before the clock of a new incarnation is known.
@pytest.mark.parametrize(
    ("fault", "events", "conditions"),
    [
        ("no greeting", "restart 5.0 cut 7.1 kill 7.8", {"entry_after_s": 2.5}),
        ("no greeting", "restart 5.0 kill 9.4 cut 10.1", {"entry_after_s": 2.5}),
        ("no greeting", "kill 5.0 restart 7.1 cut 7.8", {"entry_after_s": 20.0}),
        ("entry clock", "kill 5.0 restart 7.1 cut 7.8", {"write_s": 0.3}),
    ],
)
def test_the_model_shows_a_rule_that_is_not_followed(fault, events, conditions):
    words = events.split()
    times_s = [float(word) for word in words[1::2]]
    events = tuple(zip(words[::2], times_s, strict=True))
    conditions = {"entry_after_s": 0.0, **conditions}
    assert play(events, Conditions(**conditions)).violations == []
    assert play(events, Conditions(**conditions, faults=(fault,))).violations != []
