"""No policy is worth more than the bound of a day, and a simple day reaches it.

Guards against a bound that forbids what machines can do, so that a policy looks better
than it is.
"""

import itertools
from dataclasses import replace

import msgspec
import pytest
from bench.turns.bound import find_bound
from bench.turns.experiment import NARROW, Fault
from bench.turns.recorded_day import (
    RecordedDay,
    RecordedJob,
    RecordedPool,
    RecordedStep,
    read_day,
    record_day,
    write_day,
)
from bench.turns.world import World
from bench.turns.worth import Prices, measure_worth

from heatherhatch_core.coordination.pool_sizes import PoolSizer

PRICES = Prices(machine_s=0.1, move=0.3)
CORES = 4.0


def day_of(*jobs):
    """Return a day with one pool of one machine, and two spare machines."""
    pools = (RecordedPool("red", 1),)
    return RecordedDay(jobs, pools, 3, CORES, 1.0, 6.0, PRICES)


def wide_job(at_s, due_s, credit, cores=8.0):
    return RecordedJob("red", at_s, due_s, credit, (RecordedStep(cores, 1.0),))


def enumerated_worth(day):
    """Return the best worth over all times to add and to release each spare machine."""
    spans = [(0.0, 0.0)]
    spans += [
        (begin, end) for begin in range(5) for end in range(begin + 1, 7) if end > begin
    ]
    best = float("-inf")
    owed = sum(job.credit for job in day.jobs)
    for plan in itertools.combinations_with_replacement(spans, 2):
        used = [span for span in plan if span != (0.0, 0.0)]
        machine_s = 6.0 + sum(end - begin for begin, end in used)
        moves = len(used) + sum(1 for _begin, end in used if end < 6)
        earned = 0.0
        for job in day.jobs:
            capacity = CORES * (job.due_s - job.at_s)
            for begin, end in used:
                usable = min(end, job.due_s) - max(begin + day.move_s, job.at_s)
                capacity += CORES * max(0.0, usable)
            work = sum(step.cores * step.length_s for step in job.steps)
            earned += job.credit * min(1.0, capacity / work)
        cost = day.prices.machine_s * machine_s + day.prices.move * moves
        best = max(best, (earned - cost) / owed)
    return best


@pytest.mark.parametrize(
    "jobs",
    [
        (wide_job(3.0, 4.0, 5.0),),
        (wide_job(3.0, 4.0, 0.2),),
        (wide_job(2.0, 3.0, 5.0, 12.0), wide_job(4.0, 5.0, 5.0)),
    ],
)
def test_the_bound_of_a_small_day_is_that_of_all_plans(jobs):
    day = day_of(*jobs)
    assert find_bound(day, slot_s=1.0).worth == pytest.approx(enumerated_worth(day))


def test_a_job_that_comes_too_late_earns_nothing():
    assert find_bound(day_of(wide_job(3.0, 3.5, 5.0))).earned == 0.0


@pytest.mark.parametrize("faults", [(), (Fault("store", 3.0, 2.0),)])
def test_no_policy_is_worth_more_than_the_bound(faults, tmp_path):
    experiment = replace(NARROW, load_s=8.0, completion_s=8.0, faults=faults)
    world = World(experiment, PoolSizer())
    world.run()
    day = record_day(world, Prices())
    bound = find_bound(day)
    reached = measure_worth(world, Prices())
    assert reached.worth <= bound.worth
    assert reached.machine_s >= bound.machine_s
    write_day(day, tmp_path / "day.json")
    assert read_day(tmp_path / "day.json") == day


def test_an_unreadable_day_names_the_place(tmp_path):
    path = tmp_path / "day.json"
    path.write_text('{"jobs": [{"pool": 1}]}')
    with pytest.raises(msgspec.ValidationError, match=r"\$.jobs\[0\].pool"):
        read_day(path)
