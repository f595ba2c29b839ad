"""Demand over time: how many workers each pool lacks, and when."""

from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import dataclass

from ...state.configuration import Configuration
from ...state.entities import Wave, Worker, WorkerState
from ...state.transitions import INVOLUNTARY_STATES
from .messages import PlanTiming


@dataclass(frozen=True, slots=True)
class Absence:
    """A period in which a worker can't serve.

    Attributes:
        worker: The absent worker.
        pool: Pool of the worker.
        start_s, end_s: Start and end of the period, seconds since the epoch.
        wave_id: Wave that causes the absence, empty for any other cause.
    """

    worker: Worker
    pool: str
    start_s: float
    end_s: float
    wave_id: str


@dataclass(frozen=True, slots=True)
class Need:
    """One worker that a pool lacks for an uninterrupted period.

    Attributes:
        pool: Pool that lacks the worker.
        level: Index of the missing worker, from 0; higher levels are missing for
            less of the time.
        first, last: Range of segments of the timeline, ``last`` not included.
        wave_id: Wave that causes the need, empty for any other cause.
        domains: Failure domains of the workers whose absence in waves causes the
            need.
        mask: Bit ``i`` is set for each segment ``i`` of the need.
        reserved: ``mask`` and the segments before it in which a worker joins.
    """

    pool: str
    level: int
    first: int
    last: int
    wave_id: str
    domains: frozenset[str]
    mask: int
    reserved: int


class Timeline:
    """The planned period, divided where the set of absent workers may change.

    Args:
        now_s: Start of the plan, seconds since the epoch.
        absences: All absences.
        timing: Expected durations of steps.
    """

    def __init__(self, now_s: float, absences: tuple[Absence, ...], timing: PlanTiming):
        lead_s = timing.lead_s
        cuts = {now_s, now_s + lead_s, now_s + timing.restart_s}
        for absence in absences:
            cuts |= {absence.start_s - lead_s, absence.start_s, absence.end_s}
        self.cuts = sorted(cut for cut in cuts if cut >= now_s)
        self.lead_s = lead_s

    @property
    def size(self) -> int:
        """Number of segments; the last cut is the end of the last segment."""
        return len(self.cuts) - 1

    def index(self, at_s: float) -> int:
        """Return the segment that begins at a time, or the first one after it.

        Args:
            at_s: Seconds since the epoch.
        """
        return min(bisect_left(self.cuts, at_s), self.size)

    def mask(self, start_s: float, end_s: float) -> int:
        """Return the segments of a period, seconds since the epoch, as bits."""
        return bits(self.index(start_s), self.index(end_s))


def bits(first: int, last: int) -> int:
    """Return a bit mask with the bits from ``first`` to ``last - 1`` set."""
    return (1 << last) - (1 << first) if last > first else 0


def first_bit(mask: int) -> int:
    """Return the index of the lowest bit that is set."""
    return (mask & -mask).bit_length() - 1


def present_pool(config: Configuration, worker_id: str) -> str:
    """Return the pool of a worker, or the pool that it is moving to."""
    assignment = config.assignments.get(worker_id)
    if assignment is not None and assignment.next_pool:
        return assignment.next_pool
    return config.pool_of(worker_id)


def is_lendable(config: Configuration, worker: Worker) -> bool:
    """Return True if the home pool of a worker is a spare pool."""
    return config.pools[worker.home_pool].spare


def find_absences(
    config: Configuration, now_s: float, timing: PlanTiming
) -> tuple[Absence, ...]:
    """Return the known absences that have not ended."""
    waves = [wave for wave in config.waves.values() if wave.end_s > now_s]
    absences = [
        absence for wave in waves for absence in _wave_absences(config, wave, timing)
    ]
    in_wave = {
        absence.worker.worker_id for absence in absences if absence.start_s <= now_s
    }
    for assignment in config.assignments.values():
        worker = config.workers[assignment.worker_id]
        if assignment.state in INVOLUNTARY_STATES:
            until_s = now_s + timing.repair_s
        elif assignment.state is WorkerState.SERVING or worker.worker_id in in_wave:
            continue
        elif assignment.next_pool:
            until_s = now_s + timing.lead_s
        else:
            until_s = now_s + timing.restart_s
        pool = present_pool(config, worker.worker_id)
        absences.append(Absence(worker, pool, now_s, until_s, ""))
    return tuple(absences)


def _wave_absences(config: Configuration, wave: Wave, timing: PlanTiming):
    for name in wave.workers:
        worker = config.workers.get(name)
        if worker is not None:
            yield Absence(
                worker,
                present_pool(config, name),
                wave.start_s - timing.lead_s,
                wave.end_s + timing.return_s,
                wave.wave_id,
            )


def find_needs(
    config: Configuration, timeline: Timeline, absences: tuple[Absence, ...]
) -> list[Need]:
    """Return the needs of each pool, lowest levels first within a pool.

    Workers of spare pools count neither as members nor as absent, because the
    needs are what they are lent for.
    """
    members = Counter(
        present_pool(config, worker.worker_id)
        for worker in config.workers.values()
        if not is_lendable(config, worker)
    )
    away = defaultdict(list)
    for absence in absences:
        if not is_lendable(config, absence.worker):
            away[absence.pool].append(absence)
    needs = []
    for pool in config.pools.values():
        if not pool.spare:
            surplus = members[pool.name] - pool.min_available
            needs += _pool_needs(pool.name, surplus, timeline, away[pool.name])
    return needs


def _pool_needs(pool, surplus, timeline, absences) -> list[Need]:
    # A worker with overlapping absences counts once.
    masks = defaultdict(int)
    for absence in absences:
        masks[absence.worker] |= timeline.mask(absence.start_s, absence.end_s)
    shortages = _shortages(surplus, timeline.size, masks.values())
    if not any(shortages):
        return []
    causes = _find_causes(timeline, absences)
    return [
        _need(pool, level, first, last, timeline, causes)
        for level in range(max(shortages))
        for first, last in _periods(shortages, level, causes)
    ]


def _shortages(surplus, size, masks) -> list[int]:
    counts = [0] * size
    for mask in masks:
        while mask:
            lowest = mask & -mask
            counts[lowest.bit_length() - 1] += 1
            mask ^= lowest
    return [max(0, count - surplus) for count in counts]


@dataclass(frozen=True, slots=True)
class _Causes:
    # The first wave that takes workers of a pool in one segment, and the failure
    # domains of all workers that waves take in it.
    wave_id: str
    domains: frozenset[str]


def _find_causes(timeline: Timeline, absences) -> list[_Causes]:
    waves = [set() for _ in range(timeline.size)]
    domains = [set() for _ in range(timeline.size)]
    for absence in absences:
        if absence.wave_id:
            first = timeline.index(absence.start_s)
            for i in range(first, timeline.index(absence.end_s)):
                waves[i].add((absence.start_s, absence.wave_id))
                domains[i].add(absence.worker.failure_domain)
    return [
        _Causes(min(waves[i])[1] if waves[i] else "", frozenset(domains[i]))
        for i in range(timeline.size)
    ]


def _periods(shortages, level, causes):
    # A period ends where the shortage ends or its causes change.
    first = None
    for i in range(len(shortages) + 1):
        is_short = i < len(shortages) and shortages[i] > level
        if first is not None and not (is_short and causes[i] == causes[first]):
            yield first, i
            first = None
        if first is None and is_short:
            first = i


def _need(pool, level, first, last, timeline, causes) -> Need:
    start_s = timeline.cuts[first]
    mask = bits(first, last)
    joining = timeline.mask(start_s - timeline.lead_s, start_s)
    wave_id, domains = causes[first].wave_id, causes[first].domains
    reserved = mask | joining
    return Need(pool, level, first, last, wave_id, domains, mask, reserved)
