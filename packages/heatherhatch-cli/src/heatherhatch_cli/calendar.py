"""A drawing of waves and serving workers over time, for the terminal."""

import time
from collections.abc import Iterator

from heatherhatch_core.coordination.planner import Plan
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Wave

from .output import time_text

COLUMNS = 63
DAY_S = 86_400.0
DIGITS = "0123456789"


def draw_calendar(
    config: Configuration, plan: Plan, days: float, now_s: float | None = None
) -> Iterator[str]:
    """Yield the lines of a calendar.

    Each column is a span of time. A wave is drawn as ``#``. A pool shows how
    many of its workers can serve beyond its budget as a digit, ``+`` for ten
    or more, and ``!`` where it falls below its budget.

    Args:
        config: Pools, workers and waves.
        plan: Planned moves.
        days: Days to draw.
        now_s: Left edge, seconds since the epoch; the present if not given.
    """
    start = time.time() if now_s is None else now_s
    step = days * DAY_S / COLUMNS
    edges = [start + step * column for column in range(COLUMNS)]
    names = [*config.waves, *config.pools]
    width = max((len(name) for name in names), default=0) + 2
    yield f"from {time_text(start)}, {step / 3600:.1f} hours a column"
    for wave in sorted(config.waves.values(), key=lambda item: item.start_s):
        marks = "".join("#" if _covers(wave, t, t + step) else "." for t in edges)
        yield f"{wave.wave_id:<{width}}{marks}"
    for name in sorted(config.pools):
        pool = config.pools[name]
        marks = "".join(
            _mark(lowest_margin(config, plan, pool, t, t + step)) for t in edges
        )
        yield f"{name:<{width}}{marks}"


def lowest_margin(
    config: Configuration, plan: Plan, pool: Pool, start_s: float, end_s: float
) -> int:
    """Return the fewest workers beyond a pool's budget within a span of time."""
    moments = {start_s}
    moments |= {m.at_s for m in plan.moves if start_s <= m.at_s < end_s}
    moments |= {
        wave.start_s
        for wave in config.waves.values()
        if start_s <= wave.start_s < end_s
    }
    return min(_serving(config, plan, pool, moment) for moment in moments) - (
        pool.min_available
    )


def _serving(config: Configuration, plan: Plan, pool: Pool, at_s: float) -> int:
    pools = {name: config.pool_of(name) for name in config.workers}
    for move in plan.moves:
        if move.at_s <= at_s:
            pools[move.worker_id] = move.to_pool
    away = {
        name
        for wave in config.waves.values()
        if wave.start_s <= at_s < wave.end_s
        for name in wave.workers
    }
    return sum(home == pool.name for name, home in pools.items() if name not in away)


def _covers(wave: Wave, start_s: float, end_s: float) -> bool:
    return wave.start_s < end_s and wave.end_s > start_s


def _mark(margin: int) -> str:
    if margin < 0:
        return "!"
    return DIGITS[margin] if margin < len(DIGITS) else "+"
