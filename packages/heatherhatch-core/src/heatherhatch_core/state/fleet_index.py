"""Index of the workers that serve each pool."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING

from .entities import Worker, WorkerState

if TYPE_CHECKING:
    from .configuration import Configuration


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """Index of the serving workers by pool.

    Attributes:
        serving: Workers in state ``SERVING`` by pool, ordered by name; pools without
            serving workers are omitted.
    """

    serving: dict[str, tuple[Worker, ...]]


def build_index(config: Configuration) -> FleetIndex:
    """Return the index of a configuration, in time linear in its workers."""
    pools = _serving_among(config, config.workers)
    return FleetIndex({pool: _ordered(found) for pool, found in pools.items()})


def update_index(
    before: Configuration, after: Configuration, touched: frozenset[str]
) -> FleetIndex:
    """Return the index after a change, in time linear in the size of affected pools.

    Args:
        before: Configuration right before the change.
        after: Configuration right after the change.
        touched: Workers whose pool or state the change may have changed.
    """
    if not touched:
        return before.index
    serving = dict(before.index.serving)
    joined = _serving_among(after, touched)
    left = {before.pool_of(name) for name in touched if name in before.workers}
    for pool in left | joined.keys():
        kept = [w for w in serving.get(pool, ()) if w.worker_id not in touched]
        serving[pool] = _ordered(kept + joined.get(pool, []))
        if not serving[pool]:
            del serving[pool]
    return FleetIndex(serving)


def _serving_among(config, names) -> dict[str, list[Worker]]:
    pools: dict[str, list[Worker]] = defaultdict(list)
    for name in names:
        worker = config.workers.get(name)
        if worker is not None and config.state_of(name) is WorkerState.SERVING:
            pools[config.pool_of(name)].append(worker)
    return pools


def _ordered(workers) -> tuple[Worker, ...]:
    return tuple(sorted(workers, key=attrgetter("worker_id")))
