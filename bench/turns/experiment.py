"""Parameters of the experiments: fleet, load and delays."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Random load of one queue.

    Attributes:
        pool: Pool that runs the jobs.
        per_s: Mean number of jobs per second.
        steps: Mean number of sequential steps of a job.
        tasks: Mean number of tasks in a step.
        cores: Mean number of cores that a task needs.
        task_s: Mean run time of a task, seconds.
        estimate_error: Largest error of the estimate, as a fraction of the run time.
        estimate_spread: Standard deviation of the logarithm of the estimate's error,
            which replaces ``estimate_error``; 0 for none.
        lasting: Number of tasks that run for the whole experiment.
        lasting_cores: Cores that each of these tasks needs.
    """

    pool: str
    per_s: float
    steps: float
    tasks: float
    cores: float
    task_s: float
    estimate_error: float = 0.5
    estimate_spread: float = 0.0
    lasting: int = 0
    lasting_cores: float = 3.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A disruption of the fleet.

    Attributes:
        kind: ``store`` while nothing can be accepted, recorded or begun; ``crash`` of
            workers, which lose their runs and come back at the end.
        at_s: Begin, seconds.
        for_s: Duration, seconds.
        share: Share of the machines in pools that crash.
    """

    kind: Literal["store", "crash"]
    at_s: float
    for_s: float
    share: float = 0.0

    def covers(self, now_s: float) -> bool:
        """Return whether the disruption lasts at a time."""
        return self.at_s <= now_s < self.at_s + self.for_s


@dataclass(frozen=True, slots=True)
class Experiment:
    """One fleet under one load.

    Attributes:
        name: Name in the output.
        loads: Load of each queue; the queues have their peaks in this order.
        machines: Initial number of machines in each working pool.
        standby: Initial number of machines that are off.
        machine_cores: Number of cores of a machine.
        peak_s: Length of the peak of one queue, seconds.
        ramp_s: Time in which the rate rises to that of the peak, and in which it falls
            after it, seconds.
        peak_factor: Rate during the peak of a queue, as a multiple of its mean rate.
        off_peak_factor: Rate outside the peak, as a multiple of the mean rate.
        load_s: Time during which jobs arrive, seconds.
        completion_s: Time after that in which the remaining jobs complete, seconds.
        move_s: Time to move a machine to another pool, seconds.
        start_delay_s: Time added to each run for handling its start, seconds.
        stretch: Completion objective as a multiple of the longest chain of steps.
        target_s: Constant part of the completion objective, seconds.
        tail_share: Share of the tasks that take seven times as long.
        faults: Disruptions.
        seed: Seed of the load.
    """

    name: str
    loads: tuple[QueueLoad, ...]
    machines: int
    standby: int
    machine_cores: int = 32
    peak_s: float = 8.0
    ramp_s: float = 0.0
    peak_factor: float = 4.0
    off_peak_factor: float = 0.05
    load_s: float = 34.0
    completion_s: float = 14.0
    move_s: float = 1.5
    start_delay_s: float = 0.03
    stretch: float = 1.6
    target_s: float = 0.6
    tail_share: float = 0.0
    faults: tuple[Fault, ...] = ()
    seed: int = 1


SMALL = Experiment(
    "small",
    (
        QueueLoad("tref", 2.9, 1.6, 6, 1.8, 1.0, lasting=20, lasting_cores=0.7),
        QueueLoad("bryn", 0.54, 2.0, 8, 3.8, 1.7, 0.2, lasting=20, lasting_cores=0.7),
        QueueLoad("glan", 3.6, 1.6, 6, 1.8, 1.0, lasting=20, lasting_cores=0.7),
        QueueLoad("pant", 0.66, 2.0, 8, 3.8, 1.7, 0.2, lasting=20, lasting_cores=0.7),
    ),
    machines=6,
    standby=6,
)
GROWN = Experiment(
    "grown",
    (
        QueueLoad("tref", 9.1, 1.6, 8, 3.1, 1.0, lasting=24, lasting_cores=2.7),
        QueueLoad("bryn", 2.2, 2.0, 8, 6.7, 1.7, 0.2, lasting=24, lasting_cores=4.0),
        QueueLoad("glan", 11.4, 1.6, 8, 3.1, 1.0, lasting=24, lasting_cores=5.0),
        QueueLoad("pant", 2.7, 2.0, 8, 6.7, 1.7, 0.2, lasting=24, lasting_cores=4.4),
    ),
    machines=37,
    standby=29,
)
NARROW = Experiment(
    "narrow",
    (
        QueueLoad("seal", 2.88, 1.6, 6, 0.88, 1.0, lasting=20, lasting_cores=0.7),
        QueueLoad("dipl", 0.7, 2.0, 8, 1.9, 1.3, 0.2, lasting=20, lasting_cores=0.7),
        QueueLoad("plaq", 3.61, 1.6, 6, 0.88, 1.0, lasting=20, lasting_cores=0.7),
        QueueLoad("badg", 0.85, 2.0, 8, 1.9, 1.3, 0.2, lasting=20, lasting_cores=0.7),
    ),
    machines=8,
    standby=8,
    machine_cores=16,
)
LARGE = Experiment(
    "large",
    (
        QueueLoad("tref", 12.2, 1.6, 8, 4.5, 0.8, lasting=24, lasting_cores=2.0),
        QueueLoad("bryn", 1.91, 2.0, 8, 9.8, 2.1, 0.2, lasting=24, lasting_cores=2.0),
        QueueLoad("glan", 15.2, 1.6, 8, 4.5, 0.8, lasting=24, lasting_cores=2.0),
        QueueLoad("pant", 2.33, 2.0, 8, 9.8, 2.1, 0.2, lasting=24, lasting_cores=2.0),
    ),
    machines=58,
    standby=45,
)
EXPERIMENTS = {item.name: item for item in (SMALL, NARROW, GROWN, LARGE)}
