"""The jobs of an experiment, and what came of them."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Job, Step, Terms

from .experiment import Experiment, QueueLoad

LONGEST = 2.5  # no task runs longer than so many means
LENGTH_SPREAD = 0.45  # of the logarithm of run times
WIDTH_SPREAD = 0.55  # of the logarithm of the number of tasks in a step
UNEVEN = 0.4  # a task takes up to so much more or less than its queue's mean


@dataclass(slots=True)
class Outcome:
    """What came of the jobs of one queue.

    Attributes:
        jobs: Jobs that came.
        on_time: Of these, done within their objective.
        work: Core-seconds that came.
        work_on_time: Of these, of jobs done within their objective.
    """

    jobs: int = 0
    on_time: int = 0
    work: float = 0.0
    work_on_time: float = 0.0


@dataclass(frozen=True, slots=True)
class PlayedJob:
    """A job and what only the experiment knows of it.

    Attributes:
        job: What is handed in.
        lengths_s: True run time of a task of each step, seconds.
        due_s: When it is on time.
        work: Its core-seconds.
    """

    job: Job
    lengths_s: tuple[float, ...]
    due_s: float
    work: float


class JobMaker:
    """Makes jobs, the same ones for the same seed.

    Args:
        experiment: What is played.
    """

    def __init__(self, experiment: Experiment):
        self.experiment = experiment
        self.random = random.Random(experiment.seed)
        self.numbers = itertools.count(1)

    def arrivals(self, load: QueueLoad) -> Iterator[float]:
        """Yield when jobs of a queue come, at the rate of its turn."""
        experiment = self.experiment
        now_s = 0.0
        mine = experiment.loads.index(load)
        while True:
            now_s += self.random.expovariate(load.per_s * experiment.peak)
            if now_s >= experiment.lasts_s:
                return
            # Thinned from the rate of its turn.
            turn = int(now_s / experiment.turn_s) % len(experiment.loads)
            share = 1.0 if turn == mine else experiment.low / experiment.peak
            if self.random.random() < share:
                yield now_s

    def make(self, load: QueueLoad, now_s: float) -> PlayedJob:
        """Return the next job of a queue."""
        rand = self.random
        steps, lengths = [], []
        for number in range(1 + (rand.random() < load.steps - 1)):
            length_s = min(LONGEST, rand.lognormvariate(-0.1, LENGTH_SPREAD))
            length_s *= load.task_s
            off = rand.uniform(1 - load.estimate_off, 1 + load.estimate_off)
            width = max(1, round(rand.lognormvariate(-0.17, WIDTH_SPREAD) * load.tasks))
            cores = load.cores * rand.uniform(1 - UNEVEN, 1 + UNEVEN)
            after = (number - 1,) if number else ()
            need = Resources(int(cores * 1000), 1)
            steps.append(Step(width, need, length_s * off, after))
            lengths.append(length_s)
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
            step.count * step.need.cpu_m / 1000 * length_s
            for step, length_s in zip(steps, lengths, strict=True)
        )
        objective_s = experiment.stretch * sum(lengths) + experiment.target_s
        return PlayedJob(job, tuple(lengths), now_s + objective_s, work)
