"""Explanation: moves with reasons, and shortfalls with the change to avoid them."""

from collections import Counter, defaultdict

from ...state.configuration import Configuration
from .demand import Need, Timeline
from .lending import Lending, SpareWorker
from .messages import Cover, Move, Shortfall


def list_covers(lending: Lending, timeline: Timeline) -> tuple[Cover, ...]:
    """Return which lent worker covers which pool and when, in order of time."""
    covers = [
        Cover(
            spare.worker.worker_id,
            need.pool,
            timeline.cuts[need.first],
            timeline.cuts[need.last],
            need.wave_id,
        )
        for spare in lending.spares
        for need in spare.needs
    ]
    return tuple(sorted(covers, key=lambda item: (item.start_s, item.worker_id)))


def list_moves(lending: Lending, timeline: Timeline) -> tuple[Move, ...]:
    """Return the moves that the lending requires, in order of time."""
    moves = [move for item in lending.spares for move in _moves_of(item, timeline)]
    return tuple(sorted(moves, key=lambda item: (item.at_s, item.worker_id)))


def _moves_of(spare: SpareWorker, timeline: Timeline):
    name, pool = spare.worker.worker_id, spare.pool
    free_s = timeline.cuts[0]
    for need in spare.needs:
        if need.pool != pool:
            at_s = max(free_s, timeline.cuts[need.first] - timeline.lead_s)
            yield Move(at_s, name, pool, need.pool, _reason(need, spare))
        pool = need.pool
        free_s = timeline.cuts[need.last]
    home = spare.worker.home_pool
    if pool != home:
        yield Move(free_s, name, pool, home, f"{pool} no longer needs the worker")


def _reason(need: Need, spare: SpareWorker) -> str:
    cause = f"wave {need.wave_id}" if need.wave_id else "an absence"
    text = f"{cause} takes {need.pool} below its budget"
    if spare.worker.failure_domain in need.domains:
        text += f"; no spare outside {spare.worker.failure_domain} was free"
    return text


def list_shortfalls(
    config: Configuration, lending: Lending, timeline: Timeline
) -> tuple[Shortfall, ...]:
    """Return the targets that can't be met, one for each wave and pool.

    A pool that lacks a worker now is short at least until a spare has joined; this
    counts as a shortfall of its own.
    """
    groups = defaultdict(list)
    for need in lending.unmet:
        groups[need.wave_id, need.pool].append(need)
    shortfalls = [
        _shortfall(config, wave_id, pool, needs, timeline)
        for (wave_id, pool), needs in groups.items()
    ]
    shortfalls += _late_joins(config, lending, timeline)
    return tuple(sorted(shortfalls, key=lambda item: (item.at_s, item.pool)))


def _shortfall(config, wave_id, pool, needs, timeline) -> Shortfall:
    at_s = timeline.cuts[min(need.first for need in needs)]
    until_s = timeline.cuts[max(need.last for need in needs)]
    missing = max(
        sum(bool(need.mask >> i & 1) for need in needs) for i in range(timeline.size)
    )
    reachable = config.pools[pool].min_available - missing
    domains = ", ".join(sorted(set().union(*(need.domains for need in needs))))
    remedy = (
        f"add {missing} to a spare pool outside {domains}, or lower min_available"
        f" of {pool} to {reachable} meanwhile"
    )
    return Shortfall(wave_id, pool, at_s, missing, until_s, reachable, remedy)


def _late_joins(config, lending, timeline) -> list[Shortfall]:
    late = Counter(
        (need.wave_id, need.pool)
        for spare in lending.spares
        for need in spare.needs[:1]
        if need.first == 0 and spare.pool != need.pool
    )
    now_s = timeline.cuts[0]
    return [
        Shortfall(
            wave_id,
            pool,
            now_s,
            missing,
            now_s + timeline.lead_s,
            config.pools[pool].min_available - missing,
            "spare workers are joining",
        )
        for (wave_id, pool), missing in late.items()
    ]
