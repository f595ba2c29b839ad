"""Generates the jobs of an experiment and records their outcome."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from heatherhatch_core.coordination.scheduler import TaskName
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Job, Step, Terms

from .experiment import Experiment, QueueLoad

MAX_LENGTH_FACTOR = 2.5  # largest run time, as a multiple of the mean
LENGTH_SPREAD = 0.45  # standard deviation of the logarithm of run times
WIDTH_SPREAD = 0.55  # the same for the number of tasks in a step
TASK_SPREAD = 0.15  # largest relative difference of a task from its step
TAIL_FACTOR = 7.0  # of the run time of the tasks in the tail
CORES_SPREAD = 0.4  # largest relative difference from the mean cores of the queue


@dataclass(slots=True)
class Outcome:
    """Totals of the jobs of one queue.

    Attributes:
        jobs: Number of submitted jobs.
        on_time: Number of jobs that completed within their objective.
        work: Submitted work in core-seconds.
        work_on_time: Work of the jobs that completed within their objective, in
            core-seconds.
        finished: The jobs that completed, each with its time in seconds.
        submitted: All jobs.
    """

    jobs: int = 0
    on_time: int = 0
    work: float = 0.0
    work_on_time: float = 0.0
    submitted: list["SimulatedJob"] = field(default_factory=list)
    finished: list[tuple["SimulatedJob", float]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SimulatedJob:
    """Job with the properties that the scheduler does not know.

    Attributes:
        job: Job as submitted.
        run_times_s: Actual run time of the tasks of each step, seconds.
        due_s: Deadline for completion on time, seconds.
        work: Work of the job in core-seconds.
    """

    job: Job
    run_times_s: tuple[float, ...]
    due_s: float
    work: float


class JobGenerator:
    """Generates the same jobs for the same seed.

    Args:
        experiment: Parameters of the load.
    """

    def __init__(self, experiment: Experiment):
        self.experiment = experiment
        self.random = random.Random(experiment.seed)
        self.numbers = itertools.count(1)

    def arrivals(self, load: QueueLoad) -> Iterator[float]:
        """Yield the arrival times of the jobs of a queue, at its current rate."""
        experiment = self.experiment
        now_s = 0.0
        own_index = experiment.loads.index(load)
        while True:
            now_s += self.random.expovariate(load.per_s * experiment.peak_factor)
            if now_s >= experiment.load_s:
                return
            # Thins a Poisson process of the peak rate.
            if self.random.random() < self._rate_share(own_index, now_s):
                yield now_s

    def _rate_share(self, index: int, now_s: float) -> float:
        """Return the rate of a queue as a share of that of its peak."""
        experiment = self.experiment
        low = experiment.off_peak_factor / experiment.peak_factor
        period_s = experiment.peak_s * len(experiment.loads)
        in_peak_s = (now_s - index * experiment.peak_s) % period_s
        ramp_s = experiment.ramp_s
        if in_peak_s >= experiment.peak_s + ramp_s:
            return low
        if not ramp_s:
            return 1.0
        # Rises within the ramp, and falls within one after the peak.
        rise = min(1.0, in_peak_s / ramp_s)
        fall = min(1.0, (experiment.peak_s + ramp_s - in_peak_s) / ramp_s)
        return low + (1 - low) * min(rise, fall)

    def task_factor(self, task: TaskName) -> float:
        """Return the run time of a task relative to its step, the same each time."""
        rng = random.Random(f"{self.experiment.seed} {task}")
        factor = rng.uniform(1 - TASK_SPREAD, 1 + TASK_SPREAD)
        in_tail = rng.random() < self.experiment.tail_share
        return factor * TAIL_FACTOR if in_tail else factor

    def next_job(self, load: QueueLoad, now_s: float) -> SimulatedJob:
        """Return a new random job of a queue."""
        rng = self.random
        steps, run_times_s = [], []
        for number in range(1 + (rng.random() < load.steps - 1)):
            run_time_s = min(MAX_LENGTH_FACTOR, rng.lognormvariate(-0.1, LENGTH_SPREAD))
            run_time_s *= load.task_s
            if load.estimate_spread:
                estimate_factor = rng.lognormvariate(0, load.estimate_spread)
            else:
                error = load.estimate_error
                estimate_factor = rng.uniform(1 - error, 1 + error)
            width = max(1, round(rng.lognormvariate(-0.17, WIDTH_SPREAD) * load.tasks))
            cores = load.cores * rng.uniform(1 - CORES_SPREAD, 1 + CORES_SPREAD)
            after = (number - 1,) if number else ()
            need = Resources(int(cores * 1000), 1)
            steps.append(Step(width, need, run_time_s * estimate_factor, after))
            run_times_s.append(run_time_s)
        experiment = self.experiment
        job = Job(
            f"{next(self.numbers):016x}",
            load.pool,
            load.pool,
            "",
            "",
            tuple(steps),
            accepted_s=now_s,
            terms=Terms(3, 0, experiment.stretch, experiment.target_s),
        )
        work = sum(
            step.count * step.need.cpu_m / 1000 * run_time_s
            for step, run_time_s in zip(steps, run_times_s, strict=True)
        )
        objective_s = experiment.stretch * sum(run_times_s) + experiment.target_s
        return SimulatedJob(job, tuple(run_times_s), now_s + objective_s, work)
