"""Run times of tasks, learned per queue and step number."""

import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Sequence

from ..samples import median
from .kind import Kind, mean_rest_s
from .observations import (
    AT_LEAST,
    MIN_SIBLINGS,
    RunSeen,
    log_estimate,
    log_run,
    place_of,
    task_weight,
)
from .record import (
    MAX_RECORD_BYTES,
    RunTimesRecord,
    kind_record,
    restored_kind,
    within_size,
)

# Weight of the queue against the finished tasks of a step, in tasks: tasks of a step
# differ by 0.2 in logarithms, and the expectation from their step by 0.2 to 0.45.
QUEUE_WEIGHT = 0.5
MAX_KINDS = 2_000  # the least recently updated kinds are dropped first


class RunTimes:
    """Predicts run times from the estimates and the earlier runs of a queue.

    Without earlier runs, the expectation is the estimate.

    Attributes:
        kinds: What is known of each queue and step number.
        changes: Number of observations; increases with each.
        places: Number of run times by the expected share of runs that are not
            longer, since they were last taken.
        going_s: When the runs that are still going were last set, monotonic seconds.
    """

    def __init__(self):
        self.kinds: OrderedDict[tuple[str, int], Kind] = OrderedDict()
        self.changes = 0
        self.places: Counter[str] = Counter()
        self.going_s = float("-inf")

    def learn(
        self,
        queue: str,
        step: int,
        estimate_s: float,
        run_s: float,
        team: str = "",
        tasks: int = 1,
    ) -> float:
        """Add the run time of a run; return the expected share of longer runs.

        Args:
            queue: Queue of the job.
            step: Number of the step.
            estimate_s: The caller's estimate, seconds; 0 if there is none.
            run_s: Run time, seconds.
            team: Team of the job; may be empty.
            tasks: Number of tasks of the step.
        """
        kind, x, y = self._observed(queue, step, estimate_s, run_s)
        longer = kind.share_longer(x, y, team)
        self.places[place_of(longer)] += 1
        kind.add(x, y, team, task_weight(tasks))
        return longer

    def learn_at_least(
        self,
        queue: str,
        step: int,
        estimate_s: float,
        run_s: float,
        team: str = "",
        tasks: int = 1,
    ) -> None:
        """Add a run that did not end by itself, or whose start is not known.

        Args:
            queue: Queue of the job.
            step: Number of the step.
            estimate_s: The caller's estimate, seconds; 0 if there is none.
            run_s: How long it ran at least, seconds.
            team: Team of the job; may be empty.
            tasks: Number of tasks of the step.
        """
        if (queue, step) not in self.kinds:
            return
        kind, x, y = self._observed(queue, step, estimate_s, run_s)
        self.places[AT_LEAST] += 1
        kind.add_at_least(x, y, team, task_weight(tasks))

    def learn_siblings(
        self, queue: str, step: int, run_s: Sequence[float], min_s: Sequence[float] = ()
    ) -> None:
        """Add the run times of the tasks of a step of a job, and lower bounds, seconds.

        The latter are the ages of runs that stalled or that a copy outran.
        """
        kind = self.kinds.get((queue, step))
        if kind is not None and len(run_s) >= MIN_SIBLINGS:
            kind.add_siblings(run_s, min_s)

    def set_going(self, runs: Iterable[RunSeen], now_s: float) -> None:
        """Set the runs that are still going, instead of those set before.

        Those that are longer than expected count as lower bounds in the expectation
        until they end.

        Args:
            runs: The runs, each with the time that it has run.
            now_s: Present time, monotonic seconds.
        """
        self.going_s = now_s
        found: defaultdict[tuple[str, int], list] = defaultdict(list)
        for run in runs:
            key = (run.queue, run.step)
            kind = self.kinds.get(key)
            if kind and run.run_s > self.expect(*key, run.estimate_s, run.team):
                x = _x(kind, run.estimate_s)
                row = (x, log_run(run.run_s), run.team, task_weight(run.tasks))
                found[key].append(row)
        for key, kind in self.kinds.items():
            if key in found or kind.going is not None:
                kind.set_going(found[key])

    def expect(self, queue: str, step: int, estimate_s: float, team: str = "") -> float:
        """Return the expected (median) run time of a task, seconds."""
        kind = self.kinds.get((queue, step))
        if kind is None:
            return estimate_s
        return math.exp(kind.line(team).at(_x(kind, estimate_s)))

    def blend(self, expected_s: float, mean_s: float, count: int) -> float:
        """Return the expected run time in a step of which some tasks have finished.

        Args:
            expected_s: Expected run time without these tasks, seconds.
            mean_s: Geometric mean of their run times, seconds.
            count: Number of these tasks.
        """
        if expected_s <= 0:
            return mean_s
        return expected_s * (mean_s / expected_s) ** (count / (count + QUEUE_WEIGHT))

    def quantile(
        self,
        fraction: float,
        queue: str,
        step: int,
        estimate_s: float,
        team: str = "",
    ) -> float:
        """Return the time within which a fraction of such tasks end, seconds.

        Args:
            fraction: Fraction of the tasks, 0 to 1.
            queue: Queue of the job.
            step: Number of the step.
            estimate_s: The caller's estimate, seconds; 0 if there is none.
            team: Team of the job; may be empty.
        """
        kind = self.kinds.get((queue, step), _UNKNOWN)
        if estimate_s <= 0 and not kind.runs:
            return 0.0
        return math.exp(kind.quantile(fraction, _x(kind, estimate_s), team))

    def remaining(
        self,
        run_s: float,
        queue: str,
        step: int,
        estimate_s: float,
        team: str = "",
        siblings_s: Sequence[float] = (),
    ) -> float:
        """Return for how long a run is expected to go on, seconds.

        Args:
            run_s: How long it has run, seconds.
            queue: Queue of the job.
            step: Number of the step.
            estimate_s: The caller's estimate, seconds; 0 if there is none.
            team: Team of the job; may be empty.
            siblings_s: Run times of the finished tasks of the same step of the same
                job, seconds; with enough of them, they count instead of the queue.
        """
        kind = self.kinds.get((queue, step), _UNKNOWN)
        if len(siblings_s) >= MIN_SIBLINGS:
            middle = median([log_run(item) for item in siblings_s])
            spread = kind.sibling_spread
        elif estimate_s <= 0 and not kind.runs:
            return 0.0
        else:
            middle = kind.bare_line(team).at(_x(kind, estimate_s))
            spread = kind.spread
        return mean_rest_s(run_s, middle, spread.above(log_run(run_s) - middle))

    def take_places(self) -> dict[str, int]:
        """Return and clear the number of run times by their place."""
        places, self.places = self.places, Counter()
        return places

    def snapshot(self, max_bytes: int = MAX_RECORD_BYTES) -> RunTimesRecord:
        """Return what is known, for the store; the last updated kinds first.

        Kinds that do not fit in the size are left out.
        """
        kinds = (
            kind_record(queue, step, kind)
            for (queue, step), kind in reversed(self.kinds.items())
        )
        return within_size(kinds, max_bytes)

    def restore(self, record: RunTimesRecord) -> None:
        """Replace what is known by a stored record."""
        self.kinds.clear()
        for item in reversed(record.kinds):
            self.kinds[item.queue, item.step] = restored_kind(item)

    def _observed(
        self, queue: str, step: int, estimate_s: float, run_s: float
    ) -> tuple[Kind, float, float]:
        kind = self.kinds.pop((queue, step), None) or Kind()
        self.kinds[queue, step] = kind
        if len(self.kinds) > MAX_KINDS:
            self.kinds.popitem(last=False)
        self.changes += 1
        y = log_run(run_s)
        if estimate_s <= 0 and not kind.runs:
            return kind, y, y
        return kind, _x(kind, estimate_s), y


_UNKNOWN = Kind()


def _x(kind: Kind, estimate_s: float) -> float:
    # Without an estimate, the average one takes its place.
    return log_estimate(estimate_s) if estimate_s > 0 else kind.regression.mean_x
