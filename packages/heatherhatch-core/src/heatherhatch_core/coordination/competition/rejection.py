"""Forecasts whether a new job can be completed before it has lost its use."""

from dataclasses import dataclass

import msgspec

from ...state.work import Job, Step

USELESS_FACTOR = 3.0  # a job later than this multiple of its objective has no value
# Lower quantile of the waiting work: the sum of many run times whose estimates are off
# by a factor of e^0.9 in either direction is rarely below this part of the expectation.
LOWER_QUANTILE_FACTOR = 0.7
UNKNOWN_CORES = 1e12  # so many that every job can be served
# The work of an older report may have been done. While jobs are rejected by a report,
# the pool needs other work for as long.
MAX_REPORT_AGE_S = 2.0


class ClassBacklog(msgspec.Struct, frozen=True, array_like=True):
    """Work of the jobs of one priority, core-seconds.

    Attributes:
        priority: The priority; 0 is the highest.
        running: What the runs have still to do.
        on_time: What waits and can still be on time.
        late: What waits and is late, but not yet useless.
    """

    priority: int
    running: float
    on_time: float
    late: float


class PoolBacklog(msgspec.Struct, frozen=True):
    """What a pool has to do, and with what.

    Attributes:
        classes: Work by priority, the highest priority first.
        cores: Cores that serve this work.
        spare_cores: Cores that may be added by moving machines; ``UNKNOWN_CORES`` if
            that is not known.
        speed: Mean speed of the runs, as a share of the full speed.
        lengths: Expected over estimated run time of the open work of each queue.
    """

    classes: tuple[ClassBacklog, ...] = ()
    cores: float = 0.0
    spare_cores: float = UNKNOWN_CORES
    speed: float = 1.0
    lengths: dict[str, float] = {}

    @property
    def waiting(self) -> float:
        """Work that waits, core-seconds."""
        return sum(item.on_time + item.late for item in self.classes)

    @property
    def most_cores(self) -> float:
        """Cores at full speed that may serve the pool at most."""
        return (self.cores + self.spare_cores) * max(1.0, self.speed)


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a new job can expect of its pool, seconds from now.

    Attributes:
        busy_s: Until when work that can be on time keeps the pool busy at least.
        begin_s: Until when all work that was accepted before keeps it busy at least.
        path_s: Length of the job's critical path.
        objective_s: Time within which the job is on time.
    """

    busy_s: float
    begin_s: float
    path_s: float
    objective_s: float

    @property
    def is_hopeless(self) -> bool:
        """True if the job is of no use by the time that the pool comes to it.

        A job that can be on time goes before late ones. If the pool lacks such jobs
        before the last chance of this one, it may be on time and is not hopeless.
        """
        return (
            self.busy_s > self.objective_s - self.path_s + MAX_REPORT_AGE_S
            and self.begin_s + self.path_s > USELESS_FACTOR * self.objective_s
        )

    @property
    def capacity_in_s(self) -> float:
        """Time until a job that asks again is on time, seconds."""
        return max(0.0, self.begin_s + self.path_s - self.objective_s)


def forecast(job: Job, backlog: PoolBacklog, age_s: float) -> Forecast | None:
    """Return what a new job can expect; None without evidence.

    Args:
        job: The job.
        backlog: What its pool has to do.
        age_s: Age of the backlog, seconds.
    """
    terms = job.terms
    if any(step.lasting or step.estimate_s <= 0 for step in job.steps) or (
        job.schedule.count or terms.stretch <= 0 or not 0 <= age_s <= MAX_REPORT_AGE_S
    ):
        return None
    cores = backlog.most_cores
    if cores <= 0 or not backlog.waiting:
        return None
    # Too short an estimate would give too strict an objective.
    path_s = path_length_s(job.steps) * max(1.0, backlog.lengths.get(job.queue, 1.0))
    before = [item for item in backlog.classes if item.priority <= terms.priority]
    on_time = sum(item.running + item.on_time for item in before)
    late = sum(item.late for item in before)
    return Forecast(
        LOWER_QUANTILE_FACTOR * on_time / cores - age_s,
        LOWER_QUANTILE_FACTOR * (on_time + late) / cores - age_s,
        path_s,
        terms.stretch * path_s + terms.target_s,
    )


def path_length_s(steps: tuple[Step, ...]) -> float:
    """Return the length of the longest chain of steps by their estimates, seconds."""
    ends: list[float] = []
    for number, step in enumerate(steps):
        start_s = max(
            (ends[other] for other in step.after if other < number), default=0
        )
        ends.append(start_s + step.estimate_s)
    return max(ends, default=0.0)
