"""Fleets and announced waves on which the planner is measured."""

import random
from pathlib import Path

from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Wave, Worker
from heatherhatch_standins.deployment import read_edit

EXAMPLES = Path(__file__).parents[1] / "examples"
HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
PERIOD_S = 21 * DAY_S

DATA_CENTRES = 8
RACKS_PER_CENTRE = 10
POOLS = 40
SPARE_POOLS = 3
POOL_SIZE = 60
POOL_MIN_AVAILABLE = 57
WORKERS = 2600
WORKERS_PER_RACK = 4
RACKS_PER_WAVE = 2
WAVE_S = 8 * HOUR_S


def configuration_of(edit: Edit) -> Configuration:
    """Return the configuration after one edit."""
    check_edit(Configuration(), edit)
    return apply_change(Configuration(), Change(1, "", "", "", 0.0, edit))


# Start in days and racks of each wave; every worker is in one wave. Where two waves
# over different failure domains overlap, four of the six workers of a pool are away.
EXAMPLE_WAVES = {
    "ciosg": (
        (2.0, ("dc-1-rack-1", "dc-1-rack-2", "dc-1-rack-3")),
        (2.25, ("dc-2-rack-1",)),
        (4.0, ("dc-2-rack-2", "dc-2-rack-3")),
        (4.25, ("dc-3-rack-2",)),
        (9.0, ("dc-3-rack-1", "dc-3-rack-3")),
    ),
    "harcama": (
        (1.0, ("dc-1-rack-1", "dc-1-rack-3")),
        (1.25, ("dc-2-rack-1",)),
        (3.0, ("dc-1-rack-2",)),
        (3.25, ("dc-3-rack-2",)),
        (6.0, ("dc-2-rack-2", "dc-2-rack-3")),
        (13.0, ("dc-3-rack-1", "dc-3-rack-3")),
    ),
}


def example_fleet(name: str) -> Configuration:
    """Return an example deployment with waves over its failure domains."""
    edit = read_edit(EXAMPLES / f"{name}.yaml")
    waves = tuple(
        _wave(edit, f"wave-{i}", day, racks)
        for i, (day, racks) in enumerate(EXAMPLE_WAVES[name])
    )
    return configuration_of(_with_waves(edit, waves))


def full_size(seed: int = 1, pool_min: int = POOL_MIN_AVAILABLE) -> Configuration:
    """Return a fleet of the target size with rolling waves over three weeks.

    The workers of a pool are spread over the data centres, four to a rack. Each wave
    takes down two racks of one data centre; every worker is in one wave.
    """
    edit = full_size_edit(seed, pool_min)
    racks = sorted({worker.rack for worker in edit.workers})
    pairs = [
        racks[i : i + RACKS_PER_WAVE] for i in range(0, len(racks), RACKS_PER_WAVE)
    ]
    step_days = 20.0 / len(pairs)
    waves = tuple(
        _wave(edit, f"wave-{i:02}", 0.5 + i * step_days, tuple(pair))
        for i, pair in enumerate(pairs)
    )
    return configuration_of(_with_waves(edit, waves))


def full_size_edit(seed: int, pool_min: int = POOL_MIN_AVAILABLE) -> Edit:
    """Return the pools and workers of a fleet of the target size."""
    rng = random.Random(seed)
    pools = [Pool(f"pool-{i:02}", pool_min) for i in range(POOLS)]
    pools += [Pool(f"spare-{i}", 0, spare=True) for i in range(SPARE_POOLS)]
    spares = WORKERS - POOLS * POOL_SIZE
    sizes = {pool.name: POOL_SIZE for pool in pools if not pool.spare}
    for i in range(SPARE_POOLS):
        sizes[f"spare-{i}"] = spares // SPARE_POOLS + (i < spares % SPARE_POOLS)
    workers = []
    for pool, size in sizes.items():
        places = _draw_places(rng, size)
        workers += [
            Worker(
                f"{pool}-{i:02}",
                f"dc-{centre}",
                f"dc-{centre}-rack-{rack:02}",
                "10.0.0.1:80",
                pool,
            )
            for i, (centre, rack) in enumerate(places)
        ]
    return Edit(pools=tuple(pools), workers=tuple(workers))


def _draw_places(rng: random.Random, size: int) -> list[tuple[int, int]]:
    groups = []
    offset = rng.randrange(DATA_CENTRES)
    for i in range(-(-size // WORKERS_PER_RACK)):
        centre = (offset + i) % DATA_CENTRES
        taken = {rack for at, rack in groups if at == centre}
        free = [rack for rack in range(RACKS_PER_CENTRE) if rack not in taken]
        groups.append((centre, rng.choice(free)))
    return [groups[i // WORKERS_PER_RACK] for i in range(size)]


def _wave(edit: Edit, name: str, day: float, racks: tuple[str, ...]) -> Wave:
    start_s = day * DAY_S
    workers = tuple(w.worker_id for w in edit.workers if w.rack in racks)
    return Wave(name, start_s, start_s + WAVE_S, workers)


def _with_waves(edit: Edit, waves: tuple[Wave, ...]) -> Edit:
    return Edit(
        pools=edit.pools,
        teams=edit.teams,
        classes=edit.classes,
        workers=edit.workers,
        waves=waves,
    )
