"""Lower bounds for plans, from a linear program, and simple baseline policies.

In the linear program spare workers change pools without delay and can be divided,
and their own maintenance can be ignored. It relaxes the real problem, so its optimum
is a lower bound for every plan.
"""

import math
from collections import Counter
from dataclasses import dataclass

import highspy

from heatherhatch_core.coordination.planner import Plan, PlanTiming
from heatherhatch_core.state.configuration import Configuration

HOUR_S = 3600.0
TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Figures:
    """Cost of a plan in three measures.

    Attributes:
        moves: Number of times that a worker changes its pool.
        buffer_h: Hours of lent workers in which they replace no missing worker.
        rollout_h: Hours from the first drain to the last return.
    """

    moves: float
    buffer_h: float
    rollout_h: float


@dataclass(frozen=True, slots=True)
class Shortages:
    """Workers missing from each pool over time, computed only from the waves.

    Attributes:
        boundaries: Times at which a shortage may change, seconds since the epoch.
        missing: Number of missing workers by pool, one for each segment between two
            boundaries.
    """

    boundaries: tuple[float, ...]
    missing: dict[str, tuple[int, ...]]


def count_shortages(config: Configuration) -> Shortages:
    """Return the shortages if only the workers of the waves are away."""
    boundaries = sorted(
        {t for w in config.waves.values() for t in (w.start_s, w.end_s)}
    )
    missing = {}
    for pool in config.pools.values():
        if pool.spare:
            continue
        members = {worker.worker_id for worker in config.workers_of(pool.name)}
        allowed_away = len(members) - pool.min_available
        missing[pool.name] = tuple(
            max(0, len(members & _away_workers(config, start)) - allowed_away)
            for start in boundaries[:-1]
        )
    return Shortages(tuple(boundaries), missing)


def _away_workers(config, at_s) -> set[str]:
    waves = [w for w in config.waves.values() if w.start_s <= at_s < w.end_s]
    return {name for wave in waves for name in wave.workers}


def measure(config: Configuration, plan: Plan, timing: PlanTiming) -> Figures:
    """Return the measures of a plan."""
    total_lent_s = 0.0
    lending_starts_s = {}
    for move in plan.moves:
        lent_at_s = lending_starts_s.pop(move.worker_id, None)
        if lent_at_s is not None:
            total_lent_s += move.at_s + timing.lead_s - lent_at_s
        if not config.pools[move.to_pool].spare:
            lending_starts_s[move.worker_id] = move.at_s + timing.lead_s * (
                lent_at_s is not None
            )
    end_s = max(wave.end_s for wave in config.waves.values())
    total_lent_s += sum(end_s - lent_at_s for lent_at_s in lending_starts_s.values())
    covering_s = _covering_s(config, plan)
    first_s = min(departure.at_s for departure in plan.departures)
    rollout_s = end_s + timing.return_s - first_s
    return Figures(
        len(plan.moves), (total_lent_s - covering_s) / HOUR_S, rollout_s / HOUR_S
    )


def _covering_s(config, plan) -> float:
    # A cover counts only up to the shortage that the waves themselves cause.
    shortages = count_shortages(config)
    total = 0.0
    for i, (start, end) in enumerate(
        zip(shortages.boundaries, shortages.boundaries[1:], strict=False)
    ):
        for pool, missing in shortages.missing.items():
            present = sum(
                c.pool == pool and c.start_s <= start and c.end_s >= end
                for c in plan.covers
            )
            total += min(present, missing[i]) * (end - start)
    return total


@dataclass(frozen=True, slots=True)
class SpareClass:
    """Group of spare workers that are interchangeable in the linear program.

    Attributes:
        count: Number of workers.
        domain: Failure domain; empty if it is ignored.
        away: True for each segment in which the workers are away.
    """

    count: int
    domain: str
    away: tuple[bool, ...]


def spare_classes(
    config: Configuration, shortages: Shortages, view: "BoundView"
) -> tuple[SpareClass, ...]:
    """Return the spare workers, grouped by the properties that a bound considers."""
    counts = Counter()
    for pool in config.pools.values():
        for worker in config.workers_of(pool.name) if pool.spare else ():
            away = tuple(
                view.absences and worker.worker_id in _away_workers(config, at)
                for at in shortages.boundaries[:-1]
            )
            counts[worker.failure_domain if view.domains else "", away] += 1
    return tuple(
        SpareClass(count, domain, away) for (domain, away), count in counts.items()
    )


def _domains_away(
    config: Configuration, shortages: Shortages
) -> dict[str, list[set[str]]]:
    # Returns the failure domains of the members that are away, by pool and segment.
    domains_away = {pool: [] for pool in shortages.missing}
    for at in shortages.boundaries[:-1]:
        workers = [config.workers[name] for name in _away_workers(config, at)]
        for pool, sets in domains_away.items():
            sets.append({w.failure_domain for w in workers if w.home_pool == pool})
    return domains_away


@dataclass(frozen=True, slots=True)
class BoundView:
    """Constraints that a bound considers; each makes it tighter and slower to compute.

    Attributes:
        domains: True if a spare worker may not cover a pool while a member of its own
            failure domain is away.
        absences: True if the absences of spare workers in waves count.
    """

    domains: bool = False
    absences: bool = False


def lower_bounds(config: Configuration, timing: PlanTiming, view: BoundView) -> Figures:
    """Return a lower bound of each measure.

    The bound of the buffer holds for plans with the minimum number of moves.
    """
    shortages = count_shortages(config)
    spares = spare_classes(config, shortages, view)
    linear_program = _LinearProgram(shortages, spares, _domains_away(config, shortages))
    # The number of moves is an integer, and the optimum of the linear program is
    # at most that of the real problem, so it can be rounded up.
    moves = float(math.ceil(linear_program.minimum_moves() - TOLERANCE))
    idle_s = linear_program.minimum_idle_s(moves)
    waves = config.waves.values()
    rollout_s = max(w.end_s for w in waves) - min(w.start_s for w in waves)
    buffer_s = idle_s + moves * timing.lead_s
    return Figures(moves, buffer_s / HOUR_S, rollout_s / HOUR_S)


class _LinearProgram:
    # The variables for each class of spares, pool and segment are the number of lent
    # workers, those that join at its start and those that leave at its start. The
    # home pool counts as a pool of its own. A move is one join and one leave, so the
    # number of moves is half of all transfers.
    def __init__(self, shortages, spares, domains_away):
        self.shortages = shortages
        self.domains_away = domains_away
        self.spares = spares
        self.size = len(shortages.boundaries) - 1
        self.pools = [
            pool for pool, missing in shortages.missing.items() if any(missing)
        ]
        self.model = highspy.Highs()
        self.model.setOptionValue("output_flag", False)
        self.lent = {}
        self.transfers = []
        for number in range(len(spares)):
            self._add_class(number)
        for pool in self.pools:
            self._add_shortages(pool)
        self.moves = self.model.qsum(self.transfers) * 0.5
        self.lent_seconds = self.model.qsum(
            var * self._seconds(i) for (_, _, i), var in self.lent.items()
        )
        self.shortage_seconds = sum(
            shortages.missing[pool][i] * self._seconds(i)
            for pool in self.pools
            for i in range(self.size)
        )

    def _seconds(self, i):
        return self.shortages.boundaries[i + 1] - self.shortages.boundaries[i]

    def _add_class(self, number):
        net_joins_by_time = [[] for _ in range(self.size + 1)]
        for pool in self.pools:
            before = 0
            for i in range(self.size + 1):
                join, departure = self.model.addVariable(), self.model.addVariable()
                self.transfers += [join, departure]
                net_joins_by_time[i].append(join - departure)
                present = before + join - departure
                if i == self.size:
                    self.model.addConstr(present == 0)
                else:
                    before = self.model.addVariable()
                    self.lent[number, pool, i] = before
                    self.model.addConstr(before == present)
        for i in range(self.size):
            lent = self.model.qsum(self.lent[number, pool, i] for pool in self.pools)
            self.model.addConstr(lent <= self.spares[number].count)
        for net_joins in net_joins_by_time:
            from_home, to_home = self.model.addVariable(), self.model.addVariable()
            self.transfers += [from_home, to_home]
            self.model.addConstr(self.model.qsum(net_joins) + to_home == from_home)

    def _add_shortages(self, pool):
        for i, missing in enumerate(self.shortages.missing[pool]):
            if missing:
                present = self.model.qsum(
                    self.lent[number, pool, i]
                    for number, item in enumerate(self.spares)
                    if not item.away[i]
                    and item.domain not in self.domains_away[pool][i]
                )
                self.model.addConstr(present >= missing)

    def minimum_moves(self) -> float:
        return self._minimize(self.moves)

    def minimum_idle_s(self, moves: float) -> float:
        if self.pools:
            self.model.addConstr(self.moves <= moves + TOLERANCE)
        return max(0.0, self._minimize(self.lent_seconds) - self.shortage_seconds)

    def _minimize(self, objective) -> float:
        if not self.pools:
            return 0.0
        self.model.minimize(objective)
        if self.model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            raise RuntimeError("the linear program has no optimal solution")
        return self.model.getObjectiveValue()


def one_at_a_time(config: Configuration, timing: PlanTiming) -> Figures:
    """Return the measures of a policy that maintains one worker at a time."""
    shortages = count_shortages(config)
    starts = 0
    for missing in shortages.missing.values():
        starts += sum(
            max(0, b - a) for a, b in zip((0, *missing), missing, strict=False)
        )
    moves = 2 * starts
    hours = sum(
        (wave.end_s - wave.start_s) * len(wave.workers)
        for wave in config.waves.values()
    )
    return Figures(moves, moves * timing.lead_s / HOUR_S, hours / HOUR_S)


def fixed_spares(config: Configuration) -> Figures:
    """Return the measures of a policy with permanent spare workers in each pool."""
    shortages = count_shortages(config)
    span_s = shortages.boundaries[-1] - shortages.boundaries[0]
    needed_s = sum(
        missing[i] * (shortages.boundaries[i + 1] - shortages.boundaries[i])
        for missing in shortages.missing.values()
        for i in range(len(shortages.boundaries) - 1)
    )
    peaks = sum(max(missing) for missing in shortages.missing.values())
    return Figures(0, (peaks * span_s - needed_s) / HOUR_S, span_s / HOUR_S)
