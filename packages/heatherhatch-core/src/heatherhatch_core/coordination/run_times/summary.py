"""What operators see of the learned run times."""

import math
from dataclasses import dataclass

from .run_times import RunTimes


@dataclass(frozen=True, slots=True)
class KindSummary:
    """Run times of one step number of a queue, for its average estimate.

    Attributes:
        queue: Name of the queue.
        step: Number of the step.
        runs: Number of runs seen.
        estimate_s: Average (geometric mean) estimate, seconds.
        median_s: Median run time, seconds.
        ninety_s: Time within which nine of ten runs end, seconds.
        trust: Weight of the estimate, 0 to 1.
        teams: Number of teams with runs of their own.
    """

    queue: str
    step: int
    runs: int
    estimate_s: float
    median_s: float
    ninety_s: float
    trust: float
    teams: int


def summarize(run_times: RunTimes) -> tuple[KindSummary, ...]:
    """Return a summary of each queue and step number, in their order."""
    rows = []
    for (queue, step), kind in sorted(run_times.kinds.items()):
        x = kind.regression.mean_x
        line = kind.line("")
        rows.append(
            KindSummary(
                queue,
                step,
                kind.runs,
                round(math.exp(x), 3),
                round(math.exp(line.at(x)), 3),
                round(math.exp(kind.quantile(0.9, x, "")), 3),
                round(line.slope, 2),
                len(kind.teams),
            )
        )
    return tuple(rows)
