"""Runs as the learned run times see them."""

import math
from typing import NamedTuple

# Correlation of the run times of the tasks of one step. They say less about the queue
# than tasks of different jobs: together at most as much as 1/0.7 of these.
SIBLING_CORRELATION = 0.7
MIN_SIBLINGS = 3  # tasks of a step that show its middle
MIN_RUN_S = 1e-3  # shorter run times cannot be told from the time of a report
# Estimates count within these bounds. Callers may send any positive number, and one of
# 1e-300 s would shift the regression line of all teams beyond what exp() can represent.
MIN_ESTIMATE_S = MIN_RUN_S
MAX_ESTIMATE_S = 1e6
# Names of the expected shares of runs that are longer than one that has ended.
PLACES = ((0.5, "to_50"), (0.1, "to_90"), (0.01, "to_99"), (0.0, "above_99"))
AT_LEAST = "at_least"


class RunSeen(NamedTuple):
    """A run that has ended or is still going.

    Attributes:
        queue: Queue of the job.
        step: Number of the step.
        estimate_s: The caller's estimate, seconds; 0 if there is none.
        run_s: How long it has run, seconds.
        team: Team of the job; may be empty.
        tasks: Number of tasks of the step.
    """

    queue: str
    step: int
    estimate_s: float
    run_s: float
    team: str = ""
    tasks: int = 1


def log_run(run_s: float) -> float:
    """Return the logarithm of a run time in seconds."""
    return math.log(max(MIN_RUN_S, run_s))


def log_estimate(estimate_s: float) -> float:
    """Return the logarithm of a positive estimate in seconds, within bounds."""
    return math.log(min(MAX_ESTIMATE_S, max(MIN_ESTIMATE_S, estimate_s)))


def task_weight(tasks: int) -> float:
    """Return the weight of one of the tasks of a step."""
    return 1 / (1 + SIBLING_CORRELATION * (max(1, tasks) - 1))


def place_of(longer: float) -> str:
    """Return the name of the place of a run, by the expected share of longer ones."""
    return next(name for share, name in PLACES if longer >= share)
