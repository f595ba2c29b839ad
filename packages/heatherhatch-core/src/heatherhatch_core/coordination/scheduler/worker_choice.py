"""Chooses the worker that runs a task."""

from collections.abc import Iterator

from ...state.resources import NO_RESOURCES, Resources
from .permits import step_name
from .placement_round import PlacementRound
from .preference import count_siblings, lasting_score, penalties
from .state import PoolState
from .task import Task
from .worker import Worker

# Why a worker that may get new runs cannot run a task.
CAPACITY = "capacity"
LABEL = "label"
RACK = "rack"
ON_TRIAL = "on trial"
ISOLATION = "isolation of suspects"
SPREAD = "spread"
PERMIT = "no permit"


def is_within_allowance(state: PoolState, task: Task, need: Resources) -> bool:
    """Return whether a task's team may use more resources; note what it lacks."""
    if fits_allowance(state, task, need):
        return True
    team = task.job.job.team
    # What the whole limit does not cover is no demand for a larger part of it.
    lacking = need if need.within(state.limits[team]) else NO_RESOURCES
    state.allowance_shortfall[team] = (
        state.allowance_shortfall.get(team, NO_RESOURCES) + lacking
    )
    return False


def fits_allowance(state: PoolState, task: Task, need: Resources) -> bool:
    """Return whether a task's team may use more resources."""
    team = task.job.job.team
    if team not in state.limits:
        return True
    reserved = state.limit_reservations.get(team)
    if reserved is not None and reserved.step != step_name(task.name):
        need = need + reserved.need
    # A new holder or a new limit has no allowance until one is stored.
    allowance = state.allowances.get(team)
    return allowance is not None and (state.team_used[team] + need).within(allowance)


def iter_fitting(placement: PlacementRound, task: Task) -> Iterator[Worker]:
    """Yield the workers that can run a task now, the least free first."""
    for worker in placement.free_index.iter_best_fit(task.step.occupies.cpu_m):
        if _can_run(placement, task, worker, {}, ""):
            yield worker


def choose_worker(
    placement: PlacementRound,
    task: Task,
    reserved: dict[str, tuple[Resources, int]],
    rack: str = "",
) -> Worker | None:
    """Return the best worker for a task, or None if no worker can run it.

    Args:
        placement: State of the placement round.
        task: Task to place.
        reserved: For each worker, the resources and the number of tasks already
            reserved for other members of the same gang.
        rack: Rack that the worker must be in; empty for any.
    """
    if task.step.lasting:
        fitting = (
            worker
            for worker in placement.workers
            if _can_run(placement, task, worker, reserved, rack)
        )
        siblings = placement.count_siblings_by_place(task, reserved)
        return min(
            fitting,
            key=lambda worker: lasting_score(placement.state, task, worker, siblings),
            default=None,
        )
    best = None
    lowest: tuple = ()
    for worker in placement.free_index.iter_best_fit(task.step.occupies.cpu_m):
        if not _can_run(placement, task, worker, reserved, rack):
            continue
        penalty = penalties(task, worker)
        if not any(penalty):
            # Best fit leaves large free blocks for large tasks, and machines idle.
            return worker
        if best is None or penalty < lowest:
            best, lowest = worker, penalty
    return best


def choose_last_resort(
    placement: PlacementRound, task: Task, reserved: dict[str, tuple[Resources, int]]
) -> Worker | None:
    """Return a quarantined worker for a task that no usable worker can run.

    A task that is not lasting gets one only while under half of the pool's capacity is
    in use: in a full pool it waits, as a failed run would use up one of its attempts.
    """
    if not task.step.lasting and not placement.mostly_idle:
        return None
    fitting = (
        worker
        for worker in placement.last_resorts.values()
        if (task.step.lasting or worker.worker_id not in task.avoid)
        and _can_run(placement, task, worker, reserved, "")
    )
    return min(fitting, key=lambda worker: worker.quarantine.pause_s, default=None)


def find_obstacle(
    placement: PlacementRound,
    task: Task,
    worker: Worker,
    reserved: dict[str, tuple[Resources, int]],
    rack: str = "",
) -> str:
    """Return the first reason why a worker cannot run a task; empty if it can.

    Args:
        placement: State of the placement round.
        task: Task to place.
        worker: A worker that may get new runs.
        reserved: See `choose_worker`.
        rack: Rack that the worker must be in; empty for any.
    """
    step = task.step
    held, count = reserved.get(worker.worker_id, (Resources(), 0))
    if placement.state.evacuated.kept:
        kept = placement.state.evacuated.kept_for_others(task.name, worker.worker_id)
        held = held + kept
    if not (step.occupies + held).fits(worker.free):
        return CAPACITY
    if step.label and step.label not in worker.info.labels:
        return LABEL
    if rack and rack not in worker.info.labels:
        return RACK
    is_last_resort = worker.worker_id in placement.last_resorts
    if worker.is_tried or (worker.on_trial and not is_last_resort):
        return ON_TRIAL
    if placement.isolator and not placement.isolator.allows(task, worker):
        return ISOLATION
    if step.spread and count + count_siblings(task, worker) >= step.spread:
        return SPREAD
    if placement.state.queue_rules.permit_rules(task.job.job) is not None:
        name = step_name(task.name)
        if not placement.state.permits.allows(name, worker.worker_id, placement.now_s):
            placement.state.permits.want(name, placement.now_s)
            return PERMIT
    return ""


def _can_run(
    placement: PlacementRound,
    task: Task,
    worker: Worker,
    reserved: dict[str, tuple[Resources, int]],
    rack: str,
) -> bool:
    return not find_obstacle(placement, task, worker, reserved, rack)
