"""What a plan consists of."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlanTiming:
    """How long the steps of a plan take, in seconds.

    Attributes:
        lead_s: From recording a drain to the worker being drained, or serving in
            its next pool.
        return_s: From the end of a wave to the worker serving again.
        restart_s: From the drain for a restart to the worker serving again.
        repair_s: From now to a failed or lost worker serving again; it is counted
            anew with each plan.
    """

    lead_s: float = 60.0
    return_s: float = 60.0
    restart_s: float = 600.0
    repair_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class Move:
    """One change of a worker's pool.

    Attributes:
        at_s: When it begins, seconds since the epoch.
        worker_id: Worker that changes pool.
        from_pool: Pool that it leaves.
        to_pool: Pool that it joins.
        reason: Why, for the audit trail.
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
        at_s: When its drain begins, seconds since the epoch.
        worker_id: Worker.
        wave_id: Wave that takes it.
        start_s: When the provider takes it, seconds since the epoch.
        end_s: When the provider gives it back, seconds since the epoch.
        late: True if the wave has begun and the worker is not surely drained yet.
    """

    at_s: float
    worker_id: str
    wave_id: str
    start_s: float
    end_s: float
    late: bool = False


@dataclass(frozen=True, slots=True)
class Cover:
    """A lent worker that makes up for one that a pool lacks.

    Attributes:
        worker_id: Lent worker.
        pool: Pool that lacks a worker.
        start_s: From when on it must serve there, seconds since the epoch.
        end_s: Until when, seconds since the epoch.
        wave_id: Wave that causes the lack, empty for a failure.
    """

    worker_id: str
    pool: str
    start_s: float
    end_s: float
    wave_id: str


@dataclass(frozen=True, slots=True)
class Shortfall:
    """A stated target that can't be met.

    Attributes:
        wave_id: Wave in which it happens, empty for a failure.
        pool: Pool that falls short.
        at_s: First moment, seconds since the epoch.
        missing: Workers missing.
        until_s: Last moment, seconds since the epoch.
        reachable: The highest ``min_available`` that the plan holds meanwhile.
        mend: The least change that would mend it, for people.
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
    """What will be done for all announced waves.

    Attributes:
        moves: Moves in order of time.
        shortfalls: Targets that can't be met, in order of time.
        departures: Drains for waves, in order of time.
        covers: Who stands in where and when, in order of time.
        seq: Position of the configuration that the plan was made from.
    """

    moves: tuple[Move, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()
    departures: tuple[Departure, ...] = ()
    covers: tuple[Cover, ...] = ()
    seq: int = 0


def leaving_times(plan: Plan) -> dict[str, float]:
    """Return when each worker is wanted drained next, seconds since the epoch.

    Moves between pools count as well as waves. Work that can't be finished by
    then should be checkpointed or moved off. Workers that stay are left out.
    """
    times: dict[str, float] = {}
    for step in (*plan.moves, *plan.departures):
        known = times.get(step.worker_id, step.at_s)
        times[step.worker_id] = min(known, step.at_s)
    return times


def leaving_at(plan: Plan, worker_id: str) -> float | None:
    """Return when one worker is wanted drained next, or None.

    Args:
        plan: Plan for all announced waves.
        worker_id: Worker.
    """
    return leaving_times(plan).get(worker_id)
