"""The parts of a maintenance plan."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlanTiming:
    """Expected durations of the steps of a plan, in seconds.

    Attributes:
        lead_s: From recording a drain to the worker being drained, or serving in
            its next pool.
        return_s: From the end of a wave to the worker serving again.
        restart_s: From the drain for a restart to the worker serving again.
        repair_s: From now to a failed or lost worker serving again; each plan
            counts it from its own start.
    """

    lead_s: float = 60.0
    return_s: float = 60.0
    restart_s: float = 600.0
    repair_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class Move:
    """A move of one worker between pools.

    Attributes:
        at_s: When the move begins, seconds since the epoch.
        worker_id: Worker that changes pool.
        from_pool: Pool that it leaves.
        to_pool: Pool that it joins.
        reason: Reason of the move, for the audit trail.
    """

    at_s: float
    worker_id: str
    from_pool: str
    to_pool: str
    reason: str


@dataclass(frozen=True, slots=True)
class Departure:
    """A worker that must be drained for a wave.

    Attributes:
        at_s: When the drain begins, seconds since the epoch.
        worker_id: Worker to drain.
        wave_id: Wave that the worker belongs to.
        start_s: When the provider takes the worker, seconds since the epoch.
        end_s: When the provider returns the worker, seconds since the epoch.
        late: True if the wave has begun and the worker is not known to be drained.
    """

    at_s: float
    worker_id: str
    wave_id: str
    start_s: float
    end_s: float
    late: bool = False


@dataclass(frozen=True, slots=True)
class Cover:
    """A lent worker that covers for one that a pool lacks.

    Attributes:
        worker_id: Lent worker.
        pool: Pool that lacks a worker.
        start_s: When it must serve in the pool, seconds since the epoch.
        end_s: When the pool no longer needs it, seconds since the epoch.
        wave_id: Wave that causes the need, empty for any other cause.
    """

    worker_id: str
    pool: str
    start_s: float
    end_s: float
    wave_id: str


@dataclass(frozen=True, slots=True)
class Shortfall:
    """An availability target that can't be met.

    Attributes:
        wave_id: Wave that causes the shortfall, empty for any other cause.
        pool: Pool that falls short.
        at_s: Start of the shortfall, seconds since the epoch.
        missing: Number of missing workers, at most at any time.
        until_s: End of the shortfall, seconds since the epoch.
        reachable: The highest ``min_available`` that the plan meets meanwhile.
        mend: The smallest change that would avoid the shortfall, as readable text.
    """

    wave_id: str
    pool: str
    at_s: float
    missing: int
    until_s: float = 0.0
    reachable: int = 0
    mend: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """The planned actions for all announced waves.

    Attributes:
        moves: Moves in order of time.
        shortfalls: Targets that can't be met, in order of time.
        departures: Drains for waves, in order of time.
        covers: Lent workers with their pools and times, in order of time.
        seq: Log position of the configuration that the plan was made from.
    """

    moves: tuple[Move, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()
    departures: tuple[Departure, ...] = ()
    covers: tuple[Cover, ...] = ()
    seq: int = 0


def drain_times(plan: Plan) -> dict[str, float]:
    """Return when each worker must be drained next, seconds since the epoch.

    This covers moves between pools as well as waves. Work that can't be finished
    by then should be checkpointed or moved off. Workers that stay are left out.
    """
    times: dict[str, float] = {}
    for step in (*plan.moves, *plan.departures):
        known = times.get(step.worker_id, step.at_s)
        times[step.worker_id] = min(known, step.at_s)
    return times


def drain_time(plan: Plan, worker_id: str) -> float | None:
    """Return when one worker must be drained next, or None.

    Args:
        plan: Plan for all announced waves.
        worker_id: Worker to look up.

    Returns:
        Seconds since the epoch, or None if the worker stays.
    """
    return drain_times(plan).get(worker_id)
