"""Plans for announced maintenance waves."""

from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.entities import Wave


@dataclass(frozen=True, slots=True)
class Move:
    """One step of a plan.

    Attributes:
        at_s: When, seconds since the epoch.
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
class Shortfall:
    """A stated target that can't be met.

    Attributes:
        wave_id: Wave in which it happens.
        pool: Pool that falls short.
        at_s: First moment, seconds since the epoch.
        missing: Workers missing.
    """

    wave_id: str
    pool: str
    at_s: float
    missing: int


@dataclass(frozen=True, slots=True)
class Plan:
    """What will be done for all announced waves.

    Attributes:
        moves: Moves in order of time.
        shortfalls: Targets that can't be met, in order of time.
    """

    moves: tuple[Move, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()


def plan_waves(config: Configuration, lead_s: float) -> Plan:
    """Return a plan that covers each wave's loss from the spare pools.

    Args:
        config: Configuration with pools, workers and waves.
        lead_s: Seconds before a wave at which moves start.
    """
    moves: list[Move] = []
    shortfalls: list[Shortfall] = []
    for wave in sorted(config.waves.values(), key=lambda wave: wave.start_s):
        _cover(config, wave, lead_s, moves, shortfalls)
    return Plan(tuple(moves), tuple(shortfalls))


def _cover(
    config: Configuration,
    wave: Wave,
    lead_s: float,
    moves: list[Move],
    shortfalls: list[Shortfall],
) -> None:
    away = set(wave.workers)
    spares = [
        worker
        for pool in config.pools.values()
        if pool.spare
        for worker in config.workers_of(pool.name)
        if worker.worker_id not in away
    ]
    for pool in config.pools.values():
        if pool.spare:
            continue
        left = [w for w in config.workers_of(pool.name) if w.worker_id not in away]
        missing = pool.min_available - len(left)
        while missing > 0 and spares:
            worker = spares.pop(0)
            moves.append(
                Move(
                    wave.start_s - lead_s,
                    worker.worker_id,
                    worker.home_pool,
                    pool.name,
                    f"wave {wave.wave_id} takes {pool.name} below its budget",
                )
            )
            missing -= 1
        if missing > 0:
            shortfalls.append(Shortfall(wave.wave_id, pool.name, wave.start_s, missing))
