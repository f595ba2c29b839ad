"""Learned sizes and run times of jobs; declared values are only hints."""

from dataclasses import dataclass, field

from ..state.jobs import Job, JobSpec, Usage
from .samples import SlidingWindow

MAX_OBSERVATIONS = 64
MIN_OBSERVATIONS = 5
SIZE_QUANTILE = 0.9
MIN_MEASURED_VALUE = 1e-3


@dataclass(slots=True)
class _Dimension:
    """Recent measured values of one dimension and their ratios to declared ones."""

    values: SlidingWindow = field(
        default_factory=lambda: SlidingWindow(MAX_OBSERVATIONS)
    )
    ratios: SlidingWindow = field(
        default_factory=lambda: SlidingWindow(MAX_OBSERVATIONS)
    )

    def observe(self, declared: float, used: float) -> None:
        used = max(used, MIN_MEASURED_VALUE)
        self.values.add(used)
        self.ratios.add(used / max(declared, MIN_MEASURED_VALUE))

    def estimate(self, declared: float, fraction: float) -> float:
        if len(self.values.latest) < MIN_OBSERVATIONS:
            return declared
        # Declared values are used only where the ratios to them vary less than the
        # measured values do.
        if self.ratios.log_variation() < self.values.log_variation():
            return self.ratios.quantile(fraction) * declared
        return self.values.quantile(fraction)


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
