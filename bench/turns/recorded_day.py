"""The arrivals of a day with its fleet and prices, as a file."""

from pathlib import Path

import msgspec

from .world import World
from .worth import Prices, job_credit


class RecordedStep(msgspec.Struct, frozen=True):
    """A step of a job.

    Attributes:
        cores: Cores that its tasks use together.
        length_s: Run time of its tasks, seconds.
    """

    cores: float
    length_s: float


class RecordedJob(msgspec.Struct, frozen=True):
    """A job as it arrived.

    Attributes:
        pool: Pool that runs it.
        at_s: Time of its arrival, seconds.
        due_s: Until when it is on time, seconds.
        credit: What it earns on time.
        steps: Its steps, one after the other.
    """

    pool: str
    at_s: float
    due_s: float
    credit: float
    steps: tuple[RecordedStep, ...]


class RecordedPool(msgspec.Struct, frozen=True):
    """A pool.

    Attributes:
        name: Name of the pool.
        machines: Number of machines at the begin.
        lasting_cores: Cores that its lasting tasks use all the time.
        min_machines: Number of machines that it has at any time.
    """

    name: str
    machines: int
    lasting_cores: float = 0.0
    min_machines: int = 1


class Outage(msgspec.Struct, frozen=True):
    """A time in which the store is away and nothing is accepted.

    Attributes:
        at_s: Begin, seconds.
        for_s: Duration, seconds.
    """

    at_s: float
    for_s: float


class RecordedDay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A day.

    Attributes:
        jobs: Jobs in the order of their arrival.
        pools: Pools.
        machines: Number of machines of the fleet.
        machine_cores: Cores of a machine.
        move_s: Time to move a machine, seconds.
        length_s: Length of the day, seconds.
        prices: What service and machines are worth.
        outages: Outages of the store.
    """

    jobs: tuple[RecordedJob, ...]
    pools: tuple[RecordedPool, ...]
    machines: int
    machine_cores: float
    move_s: float
    length_s: float
    prices: Prices = Prices()
    outages: tuple[Outage, ...] = ()

    def accepted_s(self, at_s: float) -> float:
        """Return when a job that comes at a time can be accepted, seconds."""
        for outage in self.outages:
            if outage.at_s <= at_s < outage.at_s + outage.for_s:
                return outage.at_s + outage.for_s
        return at_s


def record_day(world: World, prices: Prices) -> RecordedDay:
    """Return the day that a world has played."""
    experiment = world.experiment
    jobs = []
    for outcome in world.outcomes.values():
        mean = sum(item.work for item in outcome.submitted) / max(
            1, len(outcome.submitted)
        )
        for item in outcome.submitted:
            steps = tuple(
                RecordedStep(step.count * step.need.cpu_m / 1000, length_s)
                for step, length_s in zip(item.job.steps, item.run_times_s, strict=True)
            )
            credit = job_credit(item, mean, prices)
            job = item.job
            jobs.append(
                RecordedJob(job.pool, job.accepted_s, item.due_s, credit, steps)
            )
    pools = tuple(
        RecordedPool(load.pool, experiment.machines, load.lasting * load.lasting_cores)
        for load in experiment.loads
    )
    return RecordedDay(
        tuple(sorted(jobs, key=lambda job: job.at_s)),
        pools,
        len(experiment.loads) * experiment.machines + experiment.standby,
        experiment.machine_cores,
        experiment.move_s,
        experiment.load_s + experiment.completion_s,
        prices,
        tuple(
            Outage(fault.at_s, fault.for_s)
            for fault in experiment.faults
            if fault.kind == "store"
        ),
    )


def read_day(path: Path) -> RecordedDay:
    """Return the day in a file.

    Raises:
        msgspec.DecodeError: If it is not valid; the text names the place.
    """
    return msgspec.json.decode(path.read_bytes(), type=RecordedDay)


def write_day(day: RecordedDay, path: Path) -> None:
    """Write a day to a file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(day), indent=1))
