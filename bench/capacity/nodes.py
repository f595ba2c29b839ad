"""Slopes of real daemons: idle processor time, memory, bytes and store calls."""

import time
from dataclasses import dataclass

import psutil

from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Pool
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.processes import Trial

from .fleets import fleet_edit
from .slope import Slope

NODE_SIZES = (3, 5, 7, 9, 11)
WORKER_SIZES = (30, 650, 1300, 2600)
TARGET_NODES = 24
TARGET_WORKERS = 2_600
SETTLE_S = 4.0
MEASURE_S = 10.0
MEGABYTE = 1e6
LOOPBACK_NAME = "lo"


@dataclass(frozen=True, slots=True)
class IdleCost:
    """What one node costs while nobody asks for anything.

    Attributes:
        cpu_percent: Part of one core, in percent.
        memory_mb: Resident memory of the process.
        bytes_per_s: Bytes sent and received, with all headers.
        store_calls_per_s: Calls to the store.
    """

    cpu_percent: float
    memory_mb: float
    bytes_per_s: float
    store_calls_per_s: float


def node_slopes() -> tuple[Slope, ...]:
    """Measure every slope of real daemons."""
    by_nodes = [_idle_cost(size, _small_edit()) for size in NODE_SIZES]
    by_workers = [_idle_cost(3, fleet_edit(size, 5, 6)) for size in WORKER_SIZES]
    return (
        _slope("idle processor time", "nodes", "% of a core", by_nodes, "cpu_percent"),
        _slope("idle bytes on the wire", "nodes", "B/s", by_nodes, "bytes_per_s"),
        _slope("idle store calls", "nodes", "calls/s", by_nodes, "store_calls_per_s"),
        _slope("memory of the process", "nodes", "MB", by_nodes, "memory_mb"),
        _slope("memory of the process", "workers", "MB", by_workers, "memory_mb"),
        _slope(
            "idle processor time", "workers", "% of a core", by_workers, "cpu_percent"
        ),
    )


def _slope(name, axis, unit, costs, attribute) -> Slope:
    sizes = NODE_SIZES if axis == "nodes" else WORKER_SIZES
    target = TARGET_NODES if axis == "nodes" else TARGET_WORKERS
    values = tuple(getattr(cost, attribute) for cost in costs)
    return Slope(name, axis, unit, sizes, values, target)


def _small_edit() -> Edit:
    return Edit(pools=(Pool("tills", 0),))


def _idle_cost(nodes: int, edit: Edit) -> IdleCost:
    with Trial() as trial:
        deployment = Deployment(trial, "capacity", edit, nodes)
        deployment.start()
        time.sleep(SETTLE_S)
        processes = [
            psutil.Process(trial.processes[name].pid) for name in deployment.node_names
        ]
        before = _sample(processes, deployment)
        time.sleep(MEASURE_S)
        after = _sample(processes, deployment)
        memory = max(item.memory_info().rss for item in processes)
    return IdleCost(
        cpu_percent=100 * (after.cpu_s - before.cpu_s) / MEASURE_S / nodes,
        memory_mb=memory / MEGABYTE,
        # A byte between two nodes costs both of them, and is seen once.
        bytes_per_s=2 * (after.sent_bytes - before.sent_bytes) / MEASURE_S / nodes,
        store_calls_per_s=(after.calls - before.calls) / MEASURE_S / nodes,
    )


@dataclass(frozen=True, slots=True)
class _Sample:
    cpu_s: float
    sent_bytes: int
    calls: int


def _sample(processes: list[psutil.Process], deployment: Deployment) -> _Sample:
    cpu = sum(sum(item.cpu_times()[:2]) for item in processes)
    sent = psutil.net_io_counters(pernic=True)[LOOPBACK_NAME].bytes_sent
    return _Sample(cpu, sent, deployment.store_calls())
