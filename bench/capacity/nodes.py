"""Measures the slopes of the idle cost of real daemons."""

from ..idle import Cost, measure
from .fleets import fleet_edit
from .slope import Slope

NODE_SIZES = (3, 5, 7, 9, 11)
WORKER_SIZES = (30, 650, 1300, 2600)
WORKER_NODES = 3
WORKER_POOLS = 5
WORKER_TEAMS = 6
TARGET_NODES = 24
TARGET_WORKERS = 2_600


def node_slopes() -> tuple[Slope, ...]:
    """Return the slopes of processor time, memory, bytes and store calls."""
    by_nodes = [measure(size) for size in NODE_SIZES]
    by_workers = [
        measure(WORKER_NODES, fleet_edit(size, WORKER_POOLS, WORKER_TEAMS))
        for size in WORKER_SIZES
    ]
    return (
        _over_nodes("idle processor time", "% of a core", by_nodes, "cpu"),
        _over_nodes("idle bytes", "B/s", by_nodes, "bytes_s"),
        Slope(
            "idle store calls of all nodes",
            "nodes",
            "calls/s",
            NODE_SIZES,
            tuple(
                size * cost.calls_s
                for size, cost in zip(NODE_SIZES, by_nodes, strict=True)
            ),
            TARGET_NODES,
        ),
        _over_nodes("memory of the process", "MiB", by_nodes, "memory_mb"),
        _over_workers("memory of the process", "MiB", by_workers, "memory_mb"),
        _over_workers("idle processor time", "% of a core", by_workers, "cpu"),
    )


def _over_nodes(name: str, unit: str, costs: list[Cost], attribute: str) -> Slope:
    values = tuple(getattr(cost, attribute) for cost in costs)
    return Slope(name, "nodes", unit, NODE_SIZES, values, TARGET_NODES)


def _over_workers(name: str, unit: str, costs: list[Cost], attribute: str) -> Slope:
    values = tuple(getattr(cost, attribute) for cost in costs)
    return Slope(name, "workers", unit, WORKER_SIZES, values, TARGET_WORKERS)
