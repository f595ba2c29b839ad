"""What a simulated day is worth: the jobs on time, less machines and moves."""

from collections import defaultdict
from dataclasses import dataclass

from .jobs import SimulatedJob
from .world import World

BASE_SHARE = 0.3  # of a job's credit; the rest grows with its work
MAX_JOB_CREDIT = 4.0  # of the mean credit of its queue
LATE_FACTOR = 3.0  # of the objective; a job that takes longer earns nothing
WINDOW_S = 2.0
WORST_WINDOWS = 2
MIN_WINDOW_SHARE = 0.01  # of the credit of the day; smaller windows do not count


@dataclass(frozen=True, slots=True)
class Prices:
    """What service and machines are worth, in one unit.

    Attributes:
        core_s: Credit of a core-second of work of a job on time.
        late_share: Part of the credit that a late job earns.
        machine_s: Price of a machine in a pool, per second.
        move: Price of moving a machine to another pool.
        day: Weight of the whole day.
        windows: Weight of the two worst windows.
        queue: Weight of the worst queue.
    """

    core_s: float = 0.0615
    late_share: float = 0.07
    machine_s: float = 0.065
    move: float = 0.074
    day: float = 0.625
    windows: float = 0.125
    queue: float = 0.25


@dataclass(frozen=True, slots=True)
class Worth:
    """Result of one day; shares of the credit that is owed.

    Attributes:
        worth: The weighted shares, less the prices.
        earned: Share earned over the whole day.
        windows: The same of the two worst windows.
        queue: The same of the worst queue.
        machine_s: Time of machines in pools, seconds.
        moves: Number of moves.
        machines_price: Price of the time of machines in pools.
        moves_price: Price of the moves.
    """

    worth: float
    earned: float
    windows: float
    queue: float
    machine_s: float
    moves: int
    machines_price: float
    moves_price: float


@dataclass(slots=True)
class _Credit:
    owed: float = 0.0
    earned: float = 0.0

    @property
    def share(self) -> float:
        return self.earned / self.owed if self.owed else 1.0


def measure_worth(world: World, prices: Prices) -> Worth:
    """Return the worth of a day that was simulated."""
    day = _Credit()
    queues: dict[str, _Credit] = defaultdict(_Credit)
    windows: dict[int, _Credit] = defaultdict(_Credit)
    for pool, outcome in world.outcomes.items():
        mean = sum(item.work for item in outcome.submitted) / max(
            1, len(outcome.submitted)
        )
        done_s = {id(job): at_s for job, at_s in outcome.finished}
        for job in outcome.submitted:
            owed = job_credit(job, mean, prices)
            earned = owed * _earned_share(job, done_s.get(id(job)), prices)
            window = int(job.job.accepted_s / WINDOW_S)
            for credit in (day, queues[pool], windows[window]):
                credit.owed += owed
                credit.earned += earned
    worst = sorted(
        item.share
        for item in windows.values()
        if item.owed >= MIN_WINDOW_SHARE * day.owed
    )[:WORST_WINDOWS]
    windows_share = sum(worst) / max(1, len(worst))
    queue_share = min(item.share for item in queues.values())
    machines_price = prices.machine_s * world.machine_s / day.owed
    moves_price = prices.move * world.moves / day.owed
    weighted = (
        prices.day * day.share
        + prices.windows * windows_share
        + prices.queue * queue_share
    )
    weighted /= prices.day + prices.windows + prices.queue
    return Worth(
        weighted - machines_price - moves_price,
        day.share,
        windows_share,
        queue_share,
        world.machine_s,
        world.moves,
        machines_price,
        moves_price,
    )


def job_credit(job: SimulatedJob, mean_work: float, prices: Prices) -> float:
    """Return what a job earns on time."""
    relative = BASE_SHARE + (1 - BASE_SHARE) * job.work / mean_work
    return prices.core_s * mean_work * min(MAX_JOB_CREDIT, relative)


def _earned_share(job: SimulatedJob, done_s: float | None, prices: Prices) -> float:
    if done_s is None:
        return 0.0
    if done_s <= job.due_s:
        return 1.0
    begin_s = job.job.accepted_s
    in_use = done_s - begin_s <= LATE_FACTOR * (job.due_s - begin_s)
    return prices.late_share if in_use else 0.0
