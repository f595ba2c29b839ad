"""Learned sizes and run times of jobs; declared values are only hints."""

import math
from collections import deque
from dataclasses import dataclass, field

from ..state.jobs import Job, JobSpec, Usage

MAX_OBSERVATIONS = 64
MIN_OBSERVATIONS = 5
SIZE_QUANTILE = 0.9
MIN_MEASURED_VALUE = 1e-3


def quantile(values: list[float], fraction: float) -> float:
    """Return the value at or below which a fraction of the sorted values lies."""
    return values[min(len(values) - 1, math.ceil(fraction * len(values)) - 1)]


@dataclass(slots=True)
class _Dimension:
    """Recent measured values of one dimension and their ratios to declared ones."""

    values: deque = field(default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS))
    ratios: deque = field(default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS))

    def observe(self, declared: float, used: float) -> None:
        self.values.append(max(used, MIN_MEASURED_VALUE))
        self.ratios.append(
            max(used, MIN_MEASURED_VALUE) / max(declared, MIN_MEASURED_VALUE)
        )

    def estimate(self, declared: float, fraction: float) -> float:
        if len(self.values) < MIN_OBSERVATIONS:
            return declared
        # Declared values are used only where the ratios to them vary less than the
        # measured values do.
        if _log_variation(self.ratios) < _log_variation(self.values):
            return quantile(sorted(self.ratios), fraction) * declared
        return quantile(sorted(self.values), fraction)


def _log_variation(values: deque) -> float:
    logarithms = [math.log(value) for value in values]
    mean = sum(logarithms) / len(logarithms)
    return sum((item - mean) ** 2 for item in logarithms)


@dataclass(slots=True)
class _Group:
    """Observations of the jobs of one team and one class."""

    cpus: _Dimension = field(default_factory=_Dimension)
    memory_mb: _Dimension = field(default_factory=_Dimension)
    run_s: _Dimension = field(default_factory=_Dimension)


class Estimator:
    """Estimates the usage of a job from earlier jobs of its team and class.

    Each dimension is estimated by a quantile, either of the measured values or of
    their ratios to the declared ones, whichever vary less.
    """

    def __init__(self):
        self.groups: dict[tuple[str, str], _Group] = {}
        self.cache: dict[tuple, Usage] = {}

    def observe(self, job: Job) -> None:
        """Record the usage of a completed job."""
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
        self, team: str, spec: JobSpec, run_quantile: float = SIZE_QUANTILE
    ) -> Usage:
        """Return the estimated usage of each member of a job's gang.

        Args:
            team: Team of the job.
            spec: What was declared.
            run_quantile: Share of such jobs that end within the estimated time.
        """
        key = (team, spec, run_quantile)
        if key not in self.cache:
            self.cache[key] = self._estimate(team, spec, run_quantile)
        return self.cache[key]

    def _estimate(self, team: str, spec: JobSpec, run_quantile: float) -> Usage:
        group = self.groups.get((team, spec.work_class))
        if group is None:
            return Usage(spec.cpus, spec.memory_mb, spec.accelerators, spec.run_s)
        return Usage(
            group.cpus.estimate(spec.cpus, SIZE_QUANTILE),
            group.memory_mb.estimate(spec.memory_mb, SIZE_QUANTILE),
            spec.accelerators,
            group.run_s.estimate(spec.run_s, run_quantile),
        )
