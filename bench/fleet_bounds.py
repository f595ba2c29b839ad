"""Lower bounds for plans, by a linear program, and plain policies beside them.

The program's spares change pools at once and come in parts, and it can leave out
that they are away themselves. No real plan does better, so that its optimum is a
bound.
"""

import math
from collections import Counter
from dataclasses import dataclass

import highspy

from heatherhatch_core.coordination.planner import Plan, PlanTiming
from heatherhatch_core.state.configuration import Configuration

HOUR_S = 3600.0
SLACK = 1e-6


@dataclass(frozen=True, slots=True)
class Figures:
    """The three measures of a plan.

    Attributes:
        moves: Changes of a worker's pool.
        buffer_h: Instance-hours in which lent workers stand in for nobody.
        rollout_h: Hours from the first drain to the last return.
    """

    moves: float
    buffer_h: float
    rollout_h: float


@dataclass(frozen=True, slots=True)
class Lacks:
    """What each pool lacks over time, counted from the waves directly.

    Attributes:
        cuts: Times at which a lack may change, seconds since the epoch.
        lack: Workers missing by pool, one for each segment between two cuts.
    """

    cuts: tuple[float, ...]
    lack: dict[str, tuple[int, ...]]


def count_lacks(config: Configuration) -> Lacks:
    """Return what the pools lack if each wave takes its workers and no more."""
    cuts = sorted({t for w in config.waves.values() for t in (w.start_s, w.end_s)})
    lack = {}
    for pool in config.pools.values():
        if pool.spare:
            continue
        members = {worker.worker_id for worker in config.workers_of(pool.name)}
        room = len(members) - pool.min_available
        lack[pool.name] = tuple(
            max(0, len(members & _away(config, start)) - room) for start in cuts[:-1]
        )
    return Lacks(tuple(cuts), lack)


def _away(config, at_s) -> set[str]:
    waves = [w for w in config.waves.values() if w.start_s <= at_s < w.end_s]
    return {name for wave in waves for name in wave.workers}


def measure(config: Configuration, plan: Plan, timing: PlanTiming) -> Figures:
    """Return the measures of a plan."""
    lent_s = 0.0
    places = {}
    for move in plan.moves:
        begun = places.pop(move.worker_id, None)
        if begun is not None:
            lent_s += move.at_s + timing.lead_s - begun
        if not config.pools[move.to_pool].spare:
            places[move.worker_id] = move.at_s + timing.lead_s * (begun is not None)
    end_s = max(wave.end_s for wave in config.waves.values())
    lent_s += sum(end_s - begun for begun in places.values())
    stood_in_s = _stood_in_s(config, plan)
    first_s = min(leave.at_s for leave in plan.departures)
    rollout_s = end_s + timing.return_s - first_s
    return Figures(len(plan.moves), (lent_s - stood_in_s) / HOUR_S, rollout_s / HOUR_S)


def _stood_in_s(config, plan) -> float:
    # Only what the waves themselves make missing counts as standing in.
    lacks = count_lacks(config)
    total = 0.0
    for i, (start, end) in enumerate(zip(lacks.cuts, lacks.cuts[1:], strict=False)):
        for pool, lack in lacks.lack.items():
            there = sum(
                c.pool == pool and c.start_s <= start and c.end_s >= end
                for c in plan.covers
            )
            total += min(there, lack[i]) * (end - start)
    return total


@dataclass(frozen=True, slots=True)
class SpareClass:
    """Spares that may stand in at the same times.

    Attributes:
        count: How many there are.
        domain: Failure domain, empty if it is left out of account.
        away: Whether they are away, one for each segment.
    """

    count: int
    domain: str
    away: tuple[bool, ...]


def spare_classes(
    config: Configuration, lacks: Lacks, view: "BoundView"
) -> tuple[SpareClass, ...]:
    """Return the spares of a fleet, grouped by what a bound takes into account."""
    counts = Counter()
    for pool in config.pools.values():
        for worker in config.workers_of(pool.name) if pool.spare else ():
            away = tuple(
                view.absences and worker.worker_id in _away(config, at)
                for at in lacks.cuts[:-1]
            )
            counts[worker.failure_domain if view.domains else "", away] += 1
    return tuple(
        SpareClass(count, domain, away) for (domain, away), count in counts.items()
    )


def _risky(config: Configuration, lacks: Lacks) -> dict[str, list[set[str]]]:
    # Failure domains of the members that are away, by pool and segment.
    risky = {pool: [] for pool in lacks.lack}
    for at in lacks.cuts[:-1]:
        workers = [config.workers[name] for name in _away(config, at)]
        for pool, sets in risky.items():
            sets.append({w.failure_domain for w in workers if w.home_pool == pool})
    return risky


@dataclass(frozen=True, slots=True)
class BoundView:
    """What a bound takes into account; more is tighter and takes longer.

    Attributes:
        domains: That nobody stands in for a worker of its own failure domain.
        absences: That spares are away for waves themselves.
    """

    domains: bool = False
    absences: bool = False


def lower_bounds(config: Configuration, timing: PlanTiming, view: BoundView) -> Figures:
    """Return a lower bound of each measure; the buffer's at the least moves."""
    lacks = count_lacks(config)
    spares = spare_classes(config, lacks, view)
    program = _Program(lacks, spares, _risky(config, lacks))
    # Moves are whole, and the program's optimum is below or at the real one.
    moves = float(math.ceil(program.least_moves() - SLACK))
    held_s = program.least_held(moves)
    waves = config.waves.values()
    rollout_s = max(w.end_s for w in waves) - min(w.start_s for w in waves)
    buffer_s = held_s + moves * timing.lead_s
    return Figures(moves, buffer_s / HOUR_S, rollout_s / HOUR_S)


class _Program:
    # Variables for each class of spares, pool and segment: lent workers there,
    # workers that join at its start, workers that leave at its start. A move is
    # half a joining and half a leaving; home is one more place.
    def __init__(self, lacks, spares, risky):
        self.lacks = lacks
        self.risky = risky
        self.spares = spares
        self.size = len(lacks.cuts) - 1
        self.pools = [pool for pool, lack in lacks.lack.items() if any(lack)]
        self.model = highspy.Highs()
        self.model.setOptionValue("output_flag", False)
        self.lent = {}
        self.steps = []
        for number in range(len(spares)):
            self._add_class(number)
        for pool in self.pools:
            self._add_lacks(pool)
        self.moves = self.model.qsum(self.steps) * 0.5
        self.held = self.model.qsum(
            var * self._seconds(i) for (_, _, i), var in self.lent.items()
        )
        self.needed = sum(
            lacks.lack[pool][i] * self._seconds(i)
            for pool in self.pools
            for i in range(self.size)
        )

    def _seconds(self, i):
        return self.lacks.cuts[i + 1] - self.lacks.cuts[i]

    def _add_class(self, number):
        changes = [[] for _ in range(self.size + 1)]
        for pool in self.pools:
            before = 0
            for i in range(self.size + 1):
                join, leave = self.model.addVariable(), self.model.addVariable()
                self.steps += [join, leave]
                changes[i].append(join - leave)
                there = before + join - leave
                if i == self.size:
                    self.model.addConstr(there == 0)
                else:
                    before = self.model.addVariable()
                    self.lent[number, pool, i] = before
                    self.model.addConstr(before == there)
        for i in range(self.size):
            lent = self.model.qsum(self.lent[number, pool, i] for pool in self.pools)
            self.model.addConstr(lent <= self.spares[number].count)
        for joined in changes:
            go, back = self.model.addVariable(), self.model.addVariable()
            self.steps += [go, back]
            self.model.addConstr(self.model.qsum(joined) + back == go)

    def _add_lacks(self, pool):
        for i, lack in enumerate(self.lacks.lack[pool]):
            if lack:
                there = self.model.qsum(
                    self.lent[number, pool, i]
                    for number, item in enumerate(self.spares)
                    if not item.away[i] and item.domain not in self.risky[pool][i]
                )
                self.model.addConstr(there >= lack)

    def least_moves(self) -> float:
        return self._least(self.moves)

    def least_held(self, moves: float) -> float:
        if self.pools:
            self.model.addConstr(self.moves <= moves + SLACK)
        return max(0.0, self._least(self.held) - self.needed)

    def _least(self, objective) -> float:
        if not self.pools:
            return 0.0
        self.model.minimize(objective)
        if self.model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            raise RuntimeError("the program has no optimum")
        return self.model.getObjectiveValue()


def one_at_a_time(config: Configuration, timing: PlanTiming) -> Figures:
    """Return the measures of a policy that maintains one worker after the other."""
    lacks = count_lacks(config)
    starts = 0
    for lack in lacks.lack.values():
        starts += sum(max(0, b - a) for a, b in zip((0, *lack), lack, strict=False))
    moves = 2 * starts
    hours = sum(
        (wave.end_s - wave.start_s) * len(wave.workers)
        for wave in config.waves.values()
    )
    return Figures(moves, moves * timing.lead_s / HOUR_S, hours / HOUR_S)


def fixed_spares(config: Configuration) -> Figures:
    """Return the measures of a policy that keeps each pool's spares in the pool."""
    lacks = count_lacks(config)
    span_s = lacks.cuts[-1] - lacks.cuts[0]
    needed_s = sum(
        lack[i] * (lacks.cuts[i + 1] - lacks.cuts[i])
        for lack in lacks.lack.values()
        for i in range(len(lacks.cuts) - 1)
    )
    peaks = sum(max(lack) for lack in lacks.lack.values())
    return Figures(0, (peaks * span_s - needed_s) / HOUR_S, span_s / HOUR_S)
