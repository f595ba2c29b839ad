"""Random plays of pools, sizes, limits and lost holders at a team's limit."""

import random

import pytest

from heatherhatch_core.state.resources import Resources
from limited_pools import LimitedPools

IDLE_S = 3.0  # the rule LOST of the users allows this much without a run
PLAYS = 20  # more are played by hand


def random_plays(monkeypatch, seed):
    """Return pools after a minute of random demand, limits and holders."""
    draw = random.Random(seed)
    limit = Resources(
        draw.choice((0, 8_000, 16_000)), 16_000, draw.choice((0, 0, 4, 8))
    )
    names = tuple(f"p{number}" for number in range(draw.randint(2, 7)))
    pools = LimitedPools(monkeypatch, names, limit, seed=seed)
    sizes = draw.choice(((1, 2), (1, 16), (2, 3, 8, 9, 16), (8, 12, 14), (9, 16)))
    rate = draw.choice((0.01, 0.03, 0.1))
    number = 0
    lost_s = {}
    for _step in range(600):
        for name in names:
            if draw.random() < rate:
                number += 1
                _submit_random(draw, pools, name, f"{name}-{number}", sizes)
        if draw.random() < 0.01:
            pools.configure(
                limit.elementwise_max(pools.limit.times(draw.randint(1, 2)))
            )
        elif draw.random() < 0.01:
            pools.configure(limit)
        if draw.random() < 0.005:
            name = draw.choice(names)
            pools.pools[name].held = True
            lost_s.setdefault(name, pools.now_s)
        for name, since_s in list(lost_s.items()):
            if pools.now_s - since_s > 1.6:
                pools.replace_holder(name)
                del lost_s[name]
        pools.step()
    for name in lost_s:
        pools.replace_holder(name)
    return pools


def _submit_random(draw, pools, name, job_id, sizes):
    share = draw.choice(sizes) / 16
    count = draw.choice((1, 1, 1, 2, 4))
    gang = count > 1 and draw.random() < 0.5
    each = share / count if gang else share
    limit = pools.limit
    need = Resources(
        int((limit.cpu_m or 2_000) * each * draw.choice((0.1, 1))),
        int(limit.memory_mb * each),
        int(limit.accelerators * each),
    )
    pools.submit(name, job_id, need, draw.uniform(0.2, 1.2), count, gang=gang)


# Guards against any order of steps after which work waits although the limit has room.
@pytest.mark.parametrize("seed", range(PLAYS))
def test_no_work_is_left_waiting_in_random_plays(monkeypatch, seed):
    pools = random_plays(monkeypatch, seed)
    pools.run(3 * IDLE_S)
    pools.longest_idle_s.clear()
    pools.run(60.0, lambda: not pools.open_jobs())
    assert pools.exceeded == []
    assert max(pools.longest_idle_s.values(), default=0.0) <= IDLE_S
