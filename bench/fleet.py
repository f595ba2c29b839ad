"""Measures the planner: plans, replans, checks of changes and memory."""

import time
import tracemalloc

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.planner import Plan, PlanTiming, plan_waves
from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Assignment, Cause, WorkerState

from . import fleet_history
from .fleet_bounds import (
    BoundView,
    Figures,
    fixed_spares,
    lower_bounds,
    measure,
    one_at_a_time,
)
from .fleet_cases import example_fleet, full_size

TIMING = PlanTiming()
PLAN_TARGET_S = 2.0
REPLAN_TARGET_S = 0.2
STATE_TARGET_MB = 8.0
EXAMPLE_TARGETS = Figures(1.05, 1.10, 1.10)
FULL_TARGETS = Figures(1.15, 1.15, 1.15)
FULL_SEEDS = (1, 2, 3, 4, 5, 6)
REPLANS = 20
EDITS = 200
MEGABYTE = 1e6


def run() -> None:
    """Print all measurements of the planner."""
    for name in ("ciosg", "harcama"):
        _measure_plan(
            name, example_fleet(name), EXAMPLE_TARGETS, BoundView(absences=True)
        )
    for seed in FULL_SEEDS:
        _measure_plan(
            f"full-{seed}", full_size(seed), FULL_TARGETS, BoundView(domains=True)
        )
    _measure_replan()
    _measure_check()
    _measure_state()
    fleet_history.run()


def _print_figure(
    name: str, value: float, unit: str, target: float | None = None
) -> None:
    missed = target is not None and value > target
    note = f" MISSED target {target:g}" if missed else ""
    print(f"fleet.{name} {value:.3f} {unit}{note}")


def _measure_plan(name, config, targets, view) -> None:
    started_s = time.perf_counter()
    plan = plan_waves(config, 0.0, TIMING)
    _print_figure(f"{name}.plan", time.perf_counter() - started_s, "s", PLAN_TARGET_S)
    figures = measure(config, plan, TIMING)
    bounds = lower_bounds(config, TIMING, view)
    policies = (
        ("planner", figures),
        ("one-at-a-time", one_at_a_time(config, TIMING)),
        ("fixed-spares", fixed_spares(config)),
    )
    for policy, policy_figures in policies:
        for item in ("moves", "buffer_h", "rollout_h"):
            value, bound = getattr(policy_figures, item), getattr(bounds, item)
            target = getattr(targets, item) if policy == "planner" else None
            _print_figure(
                f"{name}.{policy}.{item}", value, "h" if item != "moves" else "moves"
            )
            _print_figure(
                f"{name}.{policy}.{item}-ratio", _ratio(value, bound), "x", target
            )
    _print_figure(f"{name}.shortfalls", len(plan.shortfalls), "pools", 0)
    _print_figure(f"{name}.shared-domains", _shared_domains(config, plan), "covers")
    _print_figure(f"{name}.covers", len(plan.covers), "covers")


def _ratio(value: float, bound: float) -> float:
    return value / bound if bound else float(value > 0) + 1.0


def _shared_domains(config: Configuration, plan: Plan) -> int:
    # Counts the covers whose worker shares a failure domain with a member of the
    # covered pool that a wave takes down at the same time.
    shared = 0
    for cover in plan.covers:
        domain = config.workers[cover.worker_id].failure_domain
        shared += any(
            config.workers[name].failure_domain == domain
            and config.workers[name].home_pool == cover.pool
            for wave in config.waves.values()
            if wave.start_s < cover.end_s and wave.end_s > cover.start_s
            for name in wave.workers
        )
    return shared


def _measure_replan() -> None:
    config = full_size()
    plan = plan_waves(config, 0.0, TIMING)
    longest_s = changed = 0.0
    names = sorted(config.workers)
    for name in names[:: len(names) // REPLANS]:
        failed = Assignment(
            name, config.pool_of(name), WorkerState.FAILED, Cause.FAILURE
        )
        after = _check_and_apply(config, Edit(assignments=(failed,)))
        started_s = time.perf_counter()
        replanned = plan_waves(after, 0.0, TIMING, plan)
        longest_s = max(longest_s, time.perf_counter() - started_s)
        changed = max(changed, len(_cover_keys(replanned) - _cover_keys(plan)))
    _print_figure("full.replan.worst", longest_s, "s", REPLAN_TARGET_S)
    _print_figure("full.replan.changed-worst", changed, f"covers of {len(plan.covers)}")


def _cover_keys(plan: Plan) -> set[tuple[str, str, float]]:
    return {(item.worker_id, item.pool, item.start_s) for item in plan.covers}


def _measure_check() -> None:
    config = full_size()
    names = [name for name in sorted(config.workers) if name.startswith("spare")]
    started_s = time.perf_counter()
    for name in names[:EDITS]:
        item = Assignment(
            name, config.pool_of(name), WorkerState.DRAINING, Cause.OPERATOR
        )
        config = _check_and_apply(config, Edit(assignments=(item,)))
    mean_s = (time.perf_counter() - started_s) / min(EDITS, len(names))
    _print_figure("full.check-and-apply", mean_s * 1e6, "us")


def _measure_state() -> None:
    encoded = encode_json(full_size())
    tracemalloc.start()
    config = decode_json(encoded, Configuration)
    plan = plan_waves(config, 0.0, TIMING)
    state, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _print_figure("full.state", state / MEGABYTE, "MB", STATE_TARGET_MB)
    _print_figure("full.state-peak", peak / MEGABYTE, "MB")
    _print_figure("full.moves", len(plan.moves), "moves")


def _check_and_apply(config: Configuration, edit: Edit) -> Configuration:
    check_edit(config, edit)
    return apply_change(config, Change(config.seq + 1, "", "", "", 0.0, edit))
