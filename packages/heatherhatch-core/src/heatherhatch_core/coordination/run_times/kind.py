"""What is known of the run times of one step number of a queue."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..samples import median
from .histogram import Histogram
from .observations import log_run
from .regression import ESTIMATE_ITSELF, Line, Regression

# Standard deviations, in logarithms, that are assumed before any run was seen.
SPREAD = 0.5
SIBLING_SPREAD = 0.25
QUEUE_STRENGTH = 1.0  # weight of the bare estimate, in steps of jobs
TEAM_STRENGTH = 4.0  # weight of the queue's line for a team, in steps of jobs
# Share of runs assumed to last longer than any known one, and for how long these go
# on: by a factor that is uniform in logarithms between 1 and 2.
UNKNOWN_SHARE = 0.001
UNKNOWN_REST = 1 / math.log(2) - 1
MAX_TEAMS = 64  # of one kind; the least recently updated is dropped first


@dataclass(slots=True)
class Kind:
    """Distribution of the run times of one step number of a queue.

    Attributes:
        runs: Number of runs seen.
        regression: Run times on estimates, all teams.
        teams: The same for each team.
        spread: Residuals of the runs, in logarithms.
        sibling_spread: The same around the middle of the tasks of their step.
        going: Residuals including those of runs that are still going; None if there are
            none that are longer than expected.
        lines: Lines by team, valid until the next observation; with the median
            residual added.
    """

    runs: int = 0
    regression: Regression = field(default_factory=Regression)
    teams: OrderedDict[str, Regression] = field(default_factory=OrderedDict)
    spread: Histogram = field(default_factory=lambda: Histogram(SPREAD))
    sibling_spread: Histogram = field(default_factory=lambda: Histogram(SIBLING_SPREAD))
    going: Histogram | None = None
    lines: dict[str, Line] = field(default_factory=dict)

    def add(self, x: float, y: float, team: str, weight: float) -> None:
        """Add a run.

        Args:
            x: Logarithm of the estimate.
            y: Logarithm of the run time.
            team: Team of the job; may be empty.
            weight: Weight of the run.
        """
        residual = y - self.bare_line(team).at(x)
        self.spread.add(residual, weight)
        self._add_to_lines(x, residual, team, weight)

    def add_at_least(self, x: float, y: float, team: str, weight: float) -> None:
        """Add a run that lasted at least as long as given.

        The regression gets the mean of what is possible (Buckley and James).
        """
        residual = y - self.bare_line(team).at(x)
        possible = self.spread.mean_above(residual)
        self.spread.add_at_least(residual, weight)
        self._add_to_lines(x, possible, team, weight)

    def add_siblings(self, run_s: Sequence[float], min_s: Sequence[float]) -> None:
        """Add the runs of one step of a job.

        Args:
            run_s: Run time of the run that succeeded, of each task, seconds.
            min_s: Ages of runs that stalled or that a copy outran, seconds. These are
                lower bounds; without them, the slow runs would not be known.
        """
        logarithms = [log_run(item) for item in run_s]
        middle = median(logarithms)
        for item in logarithms:
            self.sibling_spread.add(item - middle, 1.0)
        for item in min_s:
            self.sibling_spread.add_at_least(log_run(item) - middle, 1.0)

    def set_going(self, runs: list[tuple[float, float, str, float]]) -> None:
        """Set the runs that are still going, instead of those set before.

        Args:
            runs: Logarithms of the estimate and of the time that it has run, team and
                weight of each.
        """
        going = self.spread.copy() if runs else None
        for x, y, team, weight in runs:
            going.add_at_least(y - self.bare_line(team).at(x), weight)
        self.going = going
        self.lines.clear()

    def line(self, team: str) -> Line:
        """Return the line of the median run time of a team."""
        known = self.lines.get(team)
        if known is None:
            offset, slope = self.bare_line(team)
            spread = self.going or self.spread
            median = spread.quantile(0.5) if self.runs else 0.0
            known = self.lines[team] = Line(offset + median, slope)
        return known

    def quantile(self, fraction: float, x: float, team: str) -> float:
        """Return a quantile of the logarithm of the run time.

        Runs that are still going do not count: one that stands still would raise the
        limit by which it is known.
        """
        return self.bare_line(team).at(x) + self.spread.quantile(fraction)

    def share_longer(self, x: float, y: float, team: str) -> float:
        """Return the share of runs expected to be longer than a run time."""
        return self.spread.share_above(y - self.bare_line(team).at(x))

    def _add_to_lines(
        self, x: float, residual: float, team: str, weight: float
    ) -> None:
        self.runs += 1
        residual = self.regression.clipped(residual)
        y = self.bare_line(team).at(x) + residual
        self.regression.add(x, y, weight)
        if team:
            regression = self.teams.pop(team, None) or Regression()
            regression.add(x, y, weight)
            self.teams[team] = regression
            if len(self.teams) > MAX_TEAMS:
                self.teams.popitem(last=False)
        self.lines.clear()

    def bare_line(self, team: str) -> Line:
        """Return the line that the residuals of a team refer to."""
        line = self.regression.line(ESTIMATE_ITSELF, QUEUE_STRENGTH)
        regression = self.teams.get(team)
        return regression.line(line, TEAM_STRENGTH) if regression else line


def mean_rest_s(run_s: float, middle: float, known: list[tuple[float, float]]) -> float:
    """Return the mean time that a run goes on for, seconds.

    Args:
        run_s: How long it has run.
        middle: Logarithm of the run time that the residuals refer to.
        known: Middle and share of each bin of the residuals that are possible.
    """
    unknown_s = run_s * (1 + UNKNOWN_REST)
    share = UNKNOWN_SHARE
    total_s = UNKNOWN_SHARE * unknown_s
    for value, part in known:
        share += part
        total_s += part * math.exp(middle + value)
    return max(0.0, total_s / share - run_s)
