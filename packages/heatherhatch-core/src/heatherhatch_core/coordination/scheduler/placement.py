"""Places ready tasks on workers, in the order of their jobs."""

from ...state.resources import NO_RESOURCES, Resources
from ...state.work import Step
from .live import LiveJob
from .ordering import sort_jobs
from .permits import StepName, step_name
from .placement_round import PlacementRound
from .preempting import preempt_for_urgent
from .state import PoolState
from .task import Task
from .worker import Worker
from .worker_choice import choose_last_resort, choose_worker, is_within_allowance

MAX_PLACEMENTS_PER_ROUND = 200  # lets the caller send orders between rounds
MAX_STARVED_CHECKED = 3  # steps of each team for which a round looks for workers


def place_tasks(state: PoolState, now_s: float, wall_s: float) -> PlacementRound | None:
    """Place ready tasks on workers; return the round, or None without a worker."""
    state.allowance_shortfall.clear()
    state.limit_waits.begin_round()
    placement = PlacementRound(state, now_s)
    expand_due_jobs(state, wall_s)
    if not placement.workers and not placement.last_resorts:
        state.limit_waits.end_round(complete=True)
        return None
    jobs = sort_jobs(state, wall_s, now_s)
    _place_jobs(placement, jobs)
    complete = placement.placed < MAX_PLACEMENTS_PER_ROUND
    state.limit_waits.end_round(placement.complete)
    _find_starved(placement)
    if complete and state.rules.gates.preemption:
        preempt_for_urgent(placement, jobs, wall_s)
    if placement.isolator is not None:
        placement.isolator.reserve()
    return placement


def expand_due_jobs(state: PoolState, wall_s: float) -> None:
    """Create the tasks of the occurrences that are due."""
    for job in list(state.jobs.values()):
        _expand_due(state, job, wall_s)


def _place_jobs(placement: PlacementRound, jobs: list[LiveJob]) -> None:
    for job in jobs:
        if placement.placed >= MAX_PLACEMENTS_PER_ROUND:
            placement.complete = False
            break
        if job.placed_version == job.version:
            continue
        waiting = 0
        for occurrence in sorted(job.expanded):
            for number in range(len(job.job.steps)):
                if not job.ready(occurrence, number):
                    continue
                left = _place_step(placement, job, occurrence, number)
                waiting += left
                if not left:
                    step = StepName(job.job.job_id, occurrence, number)
                    placement.state.permits.cancel_request(step)
        if waiting:
            placement.waiting.append(job)
        else:
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
    return len(unserved) - len(waiting) + _place_waiting(placement, job, step, waiting)


def _place_waiting(
    placement: PlacementRound, job: LiveJob, step: Step, waiting: list[Task]
) -> int:
    """Place the waiting tasks of a step; return how many still wait."""
    need = (step.need, step.label, step.fills)
    needs_permits = placement.state.queue_rules.permit_rules(job.job) is not None
    suspected = any(task.is_suspect for task in waiting)
    if need in placement.unplaceable and not step.lasting and not suspected:
        return len(waiting)
    held = 0
    for done, task in enumerate(waiting):
        if not is_within_allowance(placement.state, task, step.occupies):
            if step.lasting or not job.has_runs(task.name.occurrence, task.name.step):
                _note_limited(placement, task, step.occupies, len(waiting) - done)
            return len(waiting) - done + held
        worker = choose_worker(placement, task, {})
        if worker is None:
            worker = choose_last_resort(placement, task, {})
        if worker is not None:
            _note_start(placement, task, step.occupies)
            _start(placement, task, worker, task.last_run + 1)
        elif task.is_suspect:
            # Its isolation must not hold up the other tasks of the step.
            placement.isolator.note_held(task)
            held += 1
        else:
            if not step.spread and not task.avoid and not needs_permits:
                placement.unplaceable.add(need)
            return len(waiting) - done + held
    return held


def _note_limited(
    placement: PlacementRound, task: Task, need: Resources, count: int
) -> None:
    team = task.job.job.team
    step = step_name(task.name)
    placement.state.limit_waits.note(team, step, need, count, placement.now_s)


def _note_start(placement: PlacementRound, task: Task, need: Resources) -> None:
    state = placement.state
    team = task.job.job.team
    if team in state.limits:
        state.limit_waits.note_start(team, need, placement.now_s)
        state.end_reservation(task)


def _find_starved(placement: PlacementRound) -> None:
    """Find the step of each limited team that has waited longest and could start."""
    waits = placement.state.limit_waits
    starved = {}
    for team in waits.waiting:
        limit = placement.state.limits.get(team, NO_RESOURCES)
        used = placement.state.team_used[team]
        found = waits.impatient(team, limit, used, placement.now_s)
        for item in found[:MAX_STARVED_CHECKED]:
            if _has_workers_for(placement, item.step):
                starved[team] = item
                break
            waits.note_no_worker(item.step, placement.now_s)
    waits.starved = starved


def _has_workers_for(placement: PlacementRound, name: StepName) -> bool:
    """Return whether the workers have room for a task of a step, or for its gang."""
    job = placement.state.jobs.get(name.job_id)
    if job is None or name.occurrence not in job.expanded:
        return False
    tasks = job.step_tasks(name.occurrence, name.step)
    if tasks[0].step.gang:
        return bool(_choose_gang_workers(placement, tasks, last_resort=True))
    task = next((task for task in tasks if not task.settled and not task.runs), None)
    if task is None:
        return False
    worker = choose_worker(placement, task, {})
    return (worker or choose_last_resort(placement, task, {})) is not None


def _start(placement: PlacementRound, task: Task, worker: Worker, number: int) -> None:
    placement.state.add_run(task, worker, number)
    placement.note_placed(worker)
    if placement.isolator is not None:
        placement.isolator.note_placed(task, worker.worker_id)
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
    need = step.occupies.times(len(tasks))
    if not is_within_allowance(placement.state, tasks[0], need):
        _note_limited(placement, tasks[0], need, 1)
        return
    for rack in _candidate_racks(placement) if step.same_rack else [""]:
        chosen = _choose_gang_workers(placement, tasks, rack)
        if chosen:
            break
    else:
        chosen = _choose_gang_workers(placement, tasks, last_resort=True)
    if not chosen:
        for task in tasks:
            if task.is_suspect:
                placement.isolator.note_held(task)
    else:
        _note_start(placement, tasks[0], need)
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
