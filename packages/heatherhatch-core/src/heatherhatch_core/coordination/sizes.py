"""Learned sizes and run times of jobs; what submitters declare is a hint."""

import math
from collections import deque
from dataclasses import dataclass, field

from ..state.jobs import Job, JobSpec, Usage

KEPT_OBSERVATIONS = 64
ENOUGH_OBSERVATIONS = 5
SIZE_QUANTILE = 0.9
TINY = 1e-3


def quantile(values: list[float], part: float) -> float:
    """Return the value below which a part of the sorted values lies."""
    return values[min(len(values) - 1, math.ceil(part * len(values)) - 1)]


@dataclass(slots=True)
class _Dimension:
    """One dimension's recent true values and their ratios to the declared ones."""

    values: deque = field(default_factory=lambda: deque(maxlen=KEPT_OBSERVATIONS))
    ratios: deque = field(default_factory=lambda: deque(maxlen=KEPT_OBSERVATIONS))

    def observe(self, declared: float, used: float) -> None:
        self.values.append(max(used, TINY))
        self.ratios.append(max(used, TINY) / max(declared, TINY))

    def estimate(self, declared: float, part: float) -> float:
        if len(self.values) < ENOUGH_OBSERVATIONS:
            return declared
        # Declarations count only where they tell more than the class itself.
        if _spread(self.ratios) < _spread(self.values):
            return quantile(sorted(self.ratios), part) * declared
        return quantile(sorted(self.values), part)


def _spread(values: deque) -> float:
    logs = [math.log(value) for value in values]
    mean = sum(logs) / len(logs)
    return sum((item - mean) ** 2 for item in logs)


@dataclass(slots=True)
class _Group:
    """What is known of one team's jobs of one class."""

    cpus: _Dimension = field(default_factory=_Dimension)
    memory_mb: _Dimension = field(default_factory=_Dimension)
    run_s: _Dimension = field(default_factory=_Dimension)


class Estimator:
    """Estimates what a job will use from what its like have used.

    Jobs are alike if they are of one team and one class. Each dimension is
    estimated by a quantile, either of the true values or of their ratios to the
    declared ones, whichever spread less.
    """

    def __init__(self):
        self.groups: dict[tuple[str, str], _Group] = {}
        self.cache: dict[tuple, Usage] = {}

    def observe(self, job: Job) -> None:
        """Learn from a job that is done."""
        key = (job.team, job.spec.work_class)
        group = self.groups.setdefault(key, _Group())
        spec = job.spec
        if job.used.cpus:
            group.cpus.observe(spec.cpus, job.used.cpus)
        if job.used.memory_mb:
            group.memory_mb.observe(spec.memory_mb, job.used.memory_mb)
        if job.used.run_s:
            group.run_s.observe(spec.run_s, job.used.run_s)
        self.cache.clear()

    def estimate(
        self, team: str, spec: JobSpec, run_part: float = SIZE_QUANTILE
    ) -> Usage:
        """Return what each member of a job's gang will use.

        Args:
            team: Team of the job.
            spec: What was declared.
            run_part: Part of the jobs that must end within the estimated time.
        """
        key = (team, spec, run_part)
        if key not in self.cache:
            self.cache[key] = self._estimate(team, spec, run_part)
        return self.cache[key]

    def _estimate(self, team: str, spec: JobSpec, run_part: float) -> Usage:
        group = self.groups.get((team, spec.work_class))
        if group is None:
            return Usage(spec.cpus, spec.memory_mb, spec.accelerators, spec.run_s)
        return Usage(
            group.cpus.estimate(spec.cpus, SIZE_QUANTILE),
            group.memory_mb.estimate(spec.memory_mb, SIZE_QUANTILE),
            spec.accelerators,
            group.run_s.estimate(spec.run_s, run_part),
        )
