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
    """A time for which a worker can't serve.

    Attributes:
        worker: Worker.
        pool: Pool that it belongs to.
        start_s, end_s: From when until when, seconds since the epoch.
        wave_id: Wave that takes it, empty for any other cause.
    """

    worker: Worker
    pool: str
    start_s: float
    end_s: float
    wave_id: str


@dataclass(frozen=True, slots=True)
class Need:
    """One worker that a pool lacks for some time without a break.

    Attributes:
        pool: Pool.
        level: Number of the missing worker, from 0; higher ones are missing less.
        first, last: Segments of the timeline, ``last`` not included.
        wave_id: Wave that causes it, empty for any other cause.
        domains: Failure domains of the workers whose absence causes it.
        mask: Bit ``i`` is set for each segment ``i`` of the need.
        reserved: The same with the time that joining takes.
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
    """The planned time, cut where the set of absent workers may change.

    Args:
        now_s: Start of the plan, seconds since the epoch.
        absences: All absences.
        timing: How long steps take.
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
        """Number of segments; the last cut ends the last one."""
        return len(self.cuts) - 1

    def index(self, at_s: float) -> int:
        """Return the segment that begins at a time, or the first one after it."""
        return min(bisect_left(self.cuts, at_s), self.size)

    def mask(self, start_s: float, end_s: float) -> int:
        """Return the segments within a time as bits."""
        return bits(self.index(start_s), self.index(end_s))


def bits(first: int, last: int) -> int:
    """Return a number with the bits from ``first`` to before ``last`` set."""
    return (1 << last) - (1 << first) if last > first else 0


def first_bit(mask: int) -> int:
    """Return the lowest bit that is set."""
    return (mask & -mask).bit_length() - 1


def present_pool(config: Configuration, worker_id: str) -> str:
    """Return the pool of a worker, or the one that it is on its way to."""
    assignment = config.assignments.get(worker_id)
    if assignment is not None and assignment.next_pool:
        return assignment.next_pool
    return config.pool_of(worker_id)


def is_lendable(config: Configuration, worker: Worker) -> bool:
    """Tell whether a worker's home lends its workers."""
    return config.pools[worker.home_pool].spare


def find_absences(
    config: Configuration, now_s: float, timing: PlanTiming
) -> tuple[Absence, ...]:
    """Return every known absence that is not over yet."""
    waves = [wave for wave in config.waves.values() if wave.end_s > now_s]
    found = [
        absence for wave in waves for absence in _wave_absences(config, wave, timing)
    ]
    in_wave = {
        absence.worker.worker_id for absence in found if absence.start_s <= now_s
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
        found.append(Absence(worker, pool, now_s, until_s, ""))
    return tuple(found)


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
    """Return what each pool lacks, lowest levels first within a pool.

    Lent workers are left out on both sides: they are what the needs ask for.
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
            room = members[pool.name] - pool.min_available
            needs += _pool_needs(pool.name, room, timeline, away[pool.name])
    return needs


def _pool_needs(pool, room, timeline, absences) -> list[Need]:
    # Workers that are absent twice at a time are absent once.
    masks = defaultdict(int)
    for absence in absences:
        masks[absence.worker] |= timeline.mask(absence.start_s, absence.end_s)
    lacks = _lacks(room, timeline.size, masks.values())
    if not any(lacks):
        return []
    causes = _find_causes(timeline, absences)
    return [
        _need(pool, level, first, last, timeline, causes)
        for level in range(max(lacks))
        for first, last in _runs(lacks, level, causes)
    ]


def _lacks(room, size, masks) -> list[int]:
    counts = [0] * size
    for mask in masks:
        while mask:
            low = mask & -mask
            counts[low.bit_length() - 1] += 1
            mask ^= low
    return [max(0, count - room) for count in counts]


@dataclass(frozen=True, slots=True)
class _Causes:
    # The waves that take workers of a pool in one segment, and their domains.
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


def _runs(lacks, level, causes):
    # A run ends where the lack ends, or where its causes change.
    first = None
    for i in range(len(lacks) + 1):
        lacking = i < len(lacks) and lacks[i] > level
        if first is not None and not (lacking and causes[i] == causes[first]):
            yield first, i
            first = None
        if first is None and lacking:
            first = i


def _need(pool, level, first, last, timeline, causes) -> Need:
    start_s = timeline.cuts[first]
    mask = bits(first, last)
    joining = timeline.mask(start_s - timeline.lead_s, start_s)
    wave_id, domains = causes[first].wave_id, causes[first].domains
    reserved = mask | joining
    return Need(pool, level, first, last, wave_id, domains, mask, reserved)
