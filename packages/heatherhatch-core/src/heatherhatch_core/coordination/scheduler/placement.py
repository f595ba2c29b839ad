"""Places ready tasks on workers, in the order of their jobs."""

from ...state.resources import Resources
from .live import LiveJob, Task
from .ordering import sort_jobs
from .permits import step_name
from .placement_round import PlacementRound
from .preference import count_siblings, lasting_score, penalties
from .state import PoolState
from .worker import Worker

MAX_PLACEMENTS_PER_ROUND = 200  # lets the caller send orders between rounds


def place_tasks(state: PoolState, now_s: float, wall_s: float) -> None:
    """Place ready tasks on workers."""
    state.allowance_shortfall.clear()
    placement = PlacementRound(state, now_s)
    for job in list(state.jobs.values()):
        _expand_due(state, job, wall_s)
    if not placement.workers and not placement.last_resorts:
        return
    for job in sort_jobs(state, wall_s):
        if placement.placed >= MAX_PLACEMENTS_PER_ROUND:
            break
        if job.placed_version == job.version:
            continue
        waiting = 0
        for occurrence in sorted(job.expanded):
            for number in range(len(job.job.steps)):
                if job.ready(occurrence, number):
                    waiting += _place_step(placement, job, occurrence, number)
        if not waiting:
            # Skip this job until it changes, for example when one of its runs ends.
            job.placed_version = job.version


def _expand_due(state: PoolState, job: LiveJob, wall_s: float) -> None:
    if job.phase.final:
        return
    for occurrence in range(job.occurrences):
        if occurrence in job.expanded or occurrence in job.occurrences_done:
            continue
        if job.job.schedule.count and (
            wall_s < job.due_s(occurrence) - state.rules.early_s
        ):
            break
        job.expand(occurrence)
        job.placed_version = -1


def _place_step(
    placement: PlacementRound, job: LiveJob, occurrence: int, number: int
) -> int:
    """Place as many tasks of a step as possible; return how many still wait."""
    tasks = job.step_tasks(occurrence, number)
    step = job.job.steps[number]
    unserved = [task for task in tasks if not task.settled and not task.runs]
    waiting = [task for task in unserved if placement.now_s >= task.not_before_s]
    if not waiting:
        return len(unserved)
    if step.gang:
        if len(waiting) == len(tasks) and not any(task.runs for task in tasks):
            _place_gang(placement, tasks)
        return sum(1 for task in waiting if not task.runs)
    need = (step.need, step.label, step.fills)
    needs_permits = job.job.queue in placement.state.permit_rules
    if need in placement.unplaceable and not step.lasting:
        return len(unserved)
    for done, task in enumerate(waiting):
        if not _within_allowance(placement.state, task, step.occupies):
            return len(unserved) - done
        worker = choose_worker(placement, task, {})
        if worker is None:
            worker = choose_last_resort(placement, task, {})
        if worker is None:
            if not step.spread and not task.avoid and not needs_permits:
                placement.unplaceable.add(need)
            return len(unserved) - done
        _start(placement, task, worker, task.last_run + 1)
    return len(unserved) - len(waiting)


def _start(placement: PlacementRound, task: Task, worker: Worker, number: int) -> None:
    placement.state.add_run(task, worker, number)
    placement.note_placed(worker)
    placement.state.note(
        "placed",
        task=task.name,
        run=number,
        worker=worker.worker_id,
        room_cpu_m=worker.free.cpu_m,
        version=task.job.version,
    )


def _place_gang(placement: PlacementRound, tasks: list[Task]) -> None:
    step = tasks[0].step
    if not _within_allowance(
        placement.state, tasks[0], step.occupies.times(len(tasks))
    ):
        return
    for rack in _candidate_racks(placement) if step.same_rack else [""]:
        chosen = _choose_gang_workers(placement, tasks, rack)
        if chosen:
            break
    else:
        chosen = _choose_gang_workers(placement, tasks, last_resort=True)
    number = max(task.last_run for task in tasks) + 1
    for task, worker in zip(tasks, chosen, strict=False):
        _start(placement, task, worker, number)


def _choose_gang_workers(
    placement: PlacementRound,
    tasks: list[Task],
    rack: str = "",
    last_resort: bool = False,
) -> list[Worker]:
    """Return a worker for each member of a gang, or an empty list."""
    reserved: dict[str, tuple[Resources, int]] = {}
    chosen: list[Worker] = []
    for task in tasks:
        worker = choose_worker(placement, task, reserved, rack)
        if worker is None and last_resort:
            worker = choose_last_resort(placement, task, reserved)
        if worker is None:
            return []
        held, count = reserved.get(worker.worker_id, (Resources(), 0))
        reserved[worker.worker_id] = (held + task.step.need, count + 1)
        chosen.append(worker)
    return chosen


def _candidate_racks(placement: PlacementRound) -> list[str]:
    free_cpu_m: dict[str, int] = {}
    for worker in placement.workers:
        for label in worker.info.labels:
            free_cpu_m[label] = free_cpu_m.get(label, 0) + worker.free.cpu_m
    # Last, no rack constraint: slower, but better than not running at all.
    return [*sorted(free_cpu_m, key=lambda label: -free_cpu_m[label]), ""]


def _within_allowance(state: PoolState, task: Task, need: Resources) -> bool:
    team = task.job.job.team
    if team not in state.limited:
        return True
    # A new holder or a new limit has no allowance until one is stored.
    allowance = state.allowances.get(team)
    if allowance is not None and (state.team_used[team] + need).within(allowance):
        return True
    state.allowance_shortfall[team] = (
        state.allowance_shortfall.get(team, Resources()) + need
    )
    return False


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
        return min(
            fitting,
            key=lambda worker: lasting_score(placement.state, task, worker),
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


def _can_run(
    placement: PlacementRound,
    task: Task,
    worker: Worker,
    reserved: dict[str, tuple[Resources, int]],
    rack: str,
) -> bool:
    step = task.step
    held, count = reserved.get(worker.worker_id, (Resources(), 0))
    if not (step.occupies + held).fits(worker.free):
        return False
    if step.label and step.label not in worker.info.labels:
        return False
    if rack and rack not in worker.info.labels:
        return False
    if worker.on_trial and worker.worker_id not in placement.last_resorts:
        return False
    if step.spread and count + count_siblings(task, worker) >= step.spread:
        return False
    if task.job.job.queue in placement.state.permit_rules:
        name = step_name(task.name)
        if not placement.state.permits.allows(name, worker.worker_id, placement.now_s):
            placement.state.permits.wanted.add(name)
            return False
    return True
