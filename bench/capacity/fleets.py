"""Configurations of any size, on which the slopes are measured."""

from heatherhatch_core.state.changes import Change, Edit, apply_change
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Assignment,
    Pool,
    Team,
    TeamKey,
    Wave,
    WorkClass,
    Worker,
    WorkerState,
    WorkKind,
)

DATA_CENTRES = 8
RACK_SIZE = 4
KEYS_PER_TEAM = 4
DIGEST = "0" * 64
DAY_S = 86_400.0
WAVE_S = 8 * 3_600.0
WAVE_SIZE = 50


def fleet_edit(workers: int, pools: int, teams: int) -> Edit:
    """Return an edit that creates a whole fleet.

    Args:
        workers: Number of workers. Each has an assignment, as in a fleet that has been
            running for some time.
        pools: Number of pools, each with one class of requests. The last is spare.
        teams: Number of teams, each with four keys.
    """
    names = [f"pool-{i}" for i in range(pools)]
    size = workers // pools
    machines = tuple(_worker(i, names[i % pools]) for i in range(workers))
    return Edit(
        pools=tuple(
            Pool(name, 0 if name == names[-1] else max(0, size - 4), name == names[-1])
            for name in names
        ),
        teams=tuple(Team(f"team-{i}", 1.0, 100) for i in range(teams)),
        team_keys=tuple(
            TeamKey(f"team-{i}-{k}", f"team-{i}", DIGEST)
            for i in range(teams)
            for k in range(KEYS_PER_TEAM)
        ),
        classes=tuple(
            WorkClass(f"class-{name}", name, WorkKind.REQUEST, 5.2) for name in names
        ),
        workers=machines,
        assignments=tuple(
            Assignment(item.worker_id, item.home_pool, WorkerState.SERVING)
            for item in machines
        ),
        waves=tuple(_waves(machines)),
    )


def fleet(workers: int, pools: int, teams: int) -> Configuration:
    """Return the configuration that `fleet_edit` creates."""
    change = Change(1, "first", "bench", "", 0.0, fleet_edit(workers, pools, teams))
    return apply_change(Configuration(), change)


def _worker(number: int, pool: str) -> Worker:
    centre = f"dc-{number % DATA_CENTRES + 1}"
    return Worker(
        worker_id=f"worker-{number:04}",
        failure_domain=centre,
        rack=f"{centre}-rack-{number // DATA_CENTRES // RACK_SIZE}",
        address=f"10.0.{number // 250}.{number % 250 + 1}:8000",
        home_pool=pool,
        control=f"10.0.{number // 250}.{number % 250 + 1}:8001",
        accelerators=2,
    )


def _waves(machines: tuple[Worker, ...]):
    for i in range(0, len(machines), WAVE_SIZE):
        start = DAY_S * (1 + 20 * i / len(machines))
        names = tuple(item.worker_id for item in machines[i : i + WAVE_SIZE])
        yield Wave(f"wave-{i}", start, start + WAVE_S, names)
