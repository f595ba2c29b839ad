"""Measures the slopes of code without input or output: configuration, log, plan."""

import gc
import time
import tracemalloc
from collections.abc import Callable

from heatherhatch_core.codec import encode_msgpack
from heatherhatch_core.coordination.planner import PlanTiming, plan_waves
from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import Team
from heatherhatch_core.state.log import ChangeLog, pack_log, unpack_log

from .fleets import fleet
from .slope import Slope

WORKER_SIZES = (325, 650, 1300, 1950, 2600)
DEMAND_SIZES = (20, 60, 120, 240, 480)
CHANGE_SIZES = (1_000, 2_000, 4_000, 8_000)
TARGET_WORKERS = 2_600
TARGET_POOLS = 43
TARGET_TEAMS = 50
TARGET_CHANGES = 8_000
REPEATS = 20
MEGABYTE = 1e6


def decision_slopes() -> tuple[Slope, ...]:
    """Return the slopes of configuration, log, plan and demand reports."""
    return (
        _over_workers("configuration, memory", "MB", _configuration_mb),
        _over_workers("snapshot in the store, compressed", "kB", _snapshot_kb),
        _over_workers("start from a snapshot", "ms", _start_ms),
        _over_workers("check and apply one change", "us", _change_us),
        _over_workers("plan over three weeks", "ms", _plan_ms),
        _over_workers("plan, memory", "MB", _plan_mb),
        Slope(
            "demand report in a heartbeat",
            "(team, pool) pairs with work",
            "bytes",
            DEMAND_SIZES,
            tuple(_report_bytes(size) for size in DEMAND_SIZES),
            TARGET_TEAMS * 4,
        ),
        Slope(
            "log in the store between snapshots",
            "changes",
            "kB",
            CHANGE_SIZES,
            tuple(_log_kb(size) for size in CHANGE_SIZES),
            TARGET_CHANGES,
        ),
    )


def _over_workers(name: str, unit: str, measure: Callable) -> Slope:
    values = tuple(
        measure(fleet(size, TARGET_POOLS, TARGET_TEAMS), size) for size in WORKER_SIZES
    )
    return Slope(name, "workers", unit, WORKER_SIZES, values, TARGET_WORKERS)


def _traced_mb(build: Callable) -> float:
    gc.collect()
    tracemalloc.start()
    result = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return used / MEGABYTE


def _configuration_mb(config: Configuration, _size: int) -> float:
    data = pack_log(ChangeLog(config))
    return _traced_mb(lambda: unpack_log(data))


def _snapshot_kb(config: Configuration, _size: int) -> float:
    return len(pack_log(ChangeLog(config))) / 1e3


def _start_ms(config: Configuration, _size: int) -> float:
    data = pack_log(ChangeLog(config))
    return _shortest_s(lambda: unpack_log(data)) * 1e3


def _change_us(config: Configuration, _size: int) -> float:
    edit = Edit(teams=(Team("team-0", 2.0, 90),))
    change = Change(config.seq + 1, "", "", "", 0.0, edit)

    def apply_once():
        check_edit(config, edit)
        apply_change(config, change)

    return _shortest_s(apply_once) * 1e6


def _plan_ms(config: Configuration, _size: int) -> float:
    started_s = time.perf_counter()
    plan_waves(config, 0.0, PlanTiming())
    return (time.perf_counter() - started_s) * 1e3


def _plan_mb(config: Configuration, _size: int) -> float:
    return _traced_mb(lambda: plan_waves(config, 0.0, PlanTiming()))


def _report_bytes(size: int) -> float:
    report = tuple(
        Demand(f"team-{i % TARGET_TEAMS}", f"pool-{i % TARGET_POOLS}", 10, 5)
        for i in range(size)
    )
    return float(len(encode_msgpack(report)))


def _log_kb(size: int) -> float:
    edit = Edit(teams=(Team("team-0", 2.0, 90),))
    change = Change(1, "0" * 32, "operator", "a reason", 0.0, edit, edit)
    return size * len(encode_msgpack(change)) / 1e3


def _shortest_s(call: Callable) -> float:
    best_s = float("inf")
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        call()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s
