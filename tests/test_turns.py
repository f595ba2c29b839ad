"""Whole pools in virtual time while queues have their turns; no network, no bench.

The pattern: four queues, each in its turn asks for four times its mean for eight
seconds and for next to nothing in between; pools of six machines and six spare.
"""

import pytest
from bench.turns.experiment import SMALL
from bench.turns.world import World

from heatherhatch_core.coordination.pool_sizes import PoolSizer


def on_time(world: World) -> dict[str, float]:
    """Return the part of each queue's work that was done on time."""
    return {
        pool: item.work_on_time / item.work for pool, item in world.outcomes.items()
    }


@pytest.fixture(scope="module")
def fixed():
    world = World(SMALL, None)
    world.run()
    return world


@pytest.fixture(scope="module")
def following():
    world = World(SMALL, PoolSizer())
    world.run()
    return world


def test_pools_that_follow_the_turns_serve_the_worst_queue_better(fixed, following):
    assert min(on_time(following).values()) > min(on_time(fixed).values()) + 0.1


def test_pools_that_follow_the_turns_keep_fewer_machines_on(fixed, following):
    assert following.machine_s < 0.95 * fixed.machine_s


def test_every_job_ends(following):
    assert following.played == {}
