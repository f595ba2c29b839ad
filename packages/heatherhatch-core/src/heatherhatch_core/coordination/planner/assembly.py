"""Assembly of the plan for all announced waves."""

from ...state.configuration import Configuration
from .demand import Timeline, find_absences, find_needs
from .explanation import list_covers, list_moves, list_shortfalls
from .improvement import improve
from .lending import SpareAssigner
from .messages import Departure, Plan, PlanTiming
from .steps import is_late

DEFAULT_TIMING = PlanTiming()


def plan_waves(
    config: Configuration,
    now_s: float,
    timing: PlanTiming = DEFAULT_TIMING,
    previous: Plan | None = None,
) -> Plan:
    """Return the plan for all announced waves.

    The same arguments give the same plan. Everything but ``previous`` is in the
    log, so that another node can plan from the log alone.

    Args:
        config: Configuration with pools, workers, waves and assignments.
        now_s: Seconds since the epoch.
        timing: Expected durations of steps.
        previous: Plan whose choices are kept as far as they are still valid.
    """
    absences = find_absences(config, now_s, timing)
    timeline = Timeline(now_s, absences, timing)
    needs = find_needs(config, timeline, absences)
    assigner = SpareAssigner(config, timeline, absences)
    lending = assigner.assign(needs, previous.covers if previous else ())
    if previous is None:
        improve(lending.spares, timeline)
    return Plan(
        moves=list_moves(lending, timeline),
        shortfalls=list_shortfalls(config, lending, timeline),
        departures=_departures(config, now_s, timing),
        covers=list_covers(lending, timeline),
        seq=config.seq,
    )


def _departures(
    config: Configuration, now_s: float, timing: PlanTiming
) -> tuple[Departure, ...]:
    departures = [
        Departure(
            max(now_s, wave.start_s - timing.lead_s),
            name,
            wave.wave_id,
            wave.start_s,
            wave.end_s,
            wave.start_s <= now_s and is_late(config, name),
        )
        for wave in config.waves.values()
        if wave.end_s > now_s
        for name in wave.workers
        if name in config.workers
    ]
    return tuple(sorted(departures, key=lambda item: (item.at_s, item.worker_id)))
