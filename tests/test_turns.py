"""Fixed and adaptive pool sizes in a simulation of alternating bursts of demand.

Each of four queues in turn demands four times its mean for eight seconds and almost
nothing in between. Each pool has six machines, and six more are spare.
"""

import pytest
from bench.turns.experiment import SMALL
from bench.turns.world import World

from heatherhatch_core.coordination.pool_sizes import PoolSizer


def on_time_shares(world: World) -> dict[str, float]:
    """Return the share of the work of each pool that was done on time."""
    return {
        pool: outcome.work_on_time / outcome.work
        for pool, outcome in world.outcomes.items()
    }


@pytest.fixture(scope="module")
def fixed_sizes():
    world = World(SMALL, None)
    world.run()
    return world


@pytest.fixture(scope="module")
def adaptive_sizes():
    world = World(SMALL, PoolSizer())
    world.run()
    return world


def test_adaptive_sizes_serve_the_worst_queue_better(fixed_sizes, adaptive_sizes):
    assert (
        min(on_time_shares(adaptive_sizes).values())
        > min(on_time_shares(fixed_sizes).values()) + 0.1
    )


def test_adaptive_sizes_keep_fewer_machines_on(fixed_sizes, adaptive_sizes):
    assert adaptive_sizes.machine_s < 0.95 * fixed_sizes.machine_s


def test_every_job_ends(adaptive_sizes):
    assert adaptive_sizes.unfinished == {}
