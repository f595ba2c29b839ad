"""Text chart of maintenance waves and the headroom of pools over time."""

import time
from collections.abc import Iterator

from heatherhatch_core.coordination.planner import Plan
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Wave

from .output import format_time

COLUMNS = 63
DAY_S = 86_400.0
DIGITS = "0123456789"


def draw_calendar(
    config: Configuration, plan: Plan, days: float, now_s: float | None = None
) -> Iterator[str]:
    """Yield the lines of a calendar.

    Each column is a time interval. A wave is drawn as ``#``. A pool is drawn as
    its lowest headroom within the interval, which is the number of serving workers
    above its availability budget: a digit, ``+`` for ten or more, and ``!`` if the
    pool falls below its budget.

    Args:
        config: Configuration with the pools, workers and waves.
        plan: Plan with the moves of workers between pools.
        days: Length of the calendar, days.
        now_s: Start of the calendar, seconds since the epoch; None for the current
            time.
    """
    start = time.time() if now_s is None else now_s
    column_s = days * DAY_S / COLUMNS
    column_starts = [start + column_s * column for column in range(COLUMNS)]
    names = [*config.waves, *config.pools]
    width = max((len(name) for name in names), default=0) + 2
    yield f"from {format_time(start)}, {column_s / 3600:.1f} hours per column"
    for wave in sorted(config.waves.values(), key=lambda item: item.start_s):
        symbols = "".join(
            "#" if _overlaps(wave, t, t + column_s) else "." for t in column_starts
        )
        yield f"{wave.wave_id:<{width}}{symbols}"
    for name in sorted(config.pools):
        pool = config.pools[name]
        symbols = "".join(
            _headroom_symbol(min_headroom(config, plan, pool, t, t + column_s))
            for t in column_starts
        )
        yield f"{name:<{width}}{symbols}"


def min_headroom(
    config: Configuration, plan: Plan, pool: Pool, start_s: float, end_s: float
) -> int:
    """Return the lowest headroom of a pool within a time interval.

    The headroom is the number of serving workers above the availability budget. It
    can only fall at a move or at the start of a wave, so only these times and the
    start of the interval are checked.

    Args:
        config: Configuration with the workers and waves.
        plan: Plan with the moves of workers between pools.
        pool: Pool to check.
        start_s: Start of the interval, seconds since the epoch.
        end_s: End of the interval (exclusive), seconds since the epoch.
    """
    times = {start_s}
    times |= {m.at_s for m in plan.moves if start_s <= m.at_s < end_s}
    times |= {
        wave.start_s
        for wave in config.waves.values()
        if start_s <= wave.start_s < end_s
    }
    return min(_serving_count(config, plan, pool, instant) for instant in times) - (
        pool.min_available
    )


def _serving_count(config: Configuration, plan: Plan, pool: Pool, at_s: float) -> int:
    pool_names = {name: config.pool_of(name) for name in config.workers}
    for move in plan.moves:
        if move.at_s <= at_s:
            pool_names[move.worker_id] = move.to_pool
    unavailable = {
        name
        for wave in config.waves.values()
        if wave.start_s <= at_s < wave.end_s
        for name in wave.workers
    }
    return sum(
        pool_name == pool.name
        for name, pool_name in pool_names.items()
        if name not in unavailable
    )


def _overlaps(wave: Wave, start_s: float, end_s: float) -> bool:
    return wave.start_s < end_s and wave.end_s > start_s


def _headroom_symbol(headroom: int) -> str:
    if headroom < 0:
        return "!"
    return DIGITS[headroom] if headroom < len(DIGITS) else "+"
