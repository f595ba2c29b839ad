"""Chooses workers for the tasks whose turn has come."""

from dataclasses import dataclass, field

from ...state.resources import Resources
from .live import LiveJob, Task
from .ordering import sort_jobs
from .permits import step_of
from .preference import beside, flaws, lasting_score
from .room_index import RoomIndex
from .state import PoolState
from .worker import Worker

STARTS_MOST = 200  # tasks placed in one round, so that orders leave in between


@dataclass(slots=True)
class Round:
    """One pass over all jobs.

    Attributes:
        state: The pool.
        workers: Workers that may get new runs.
        rooms: The same by their room.
        now_s: Monotonic time.
        placed: Tasks placed so far.
        full: Needs that found no room in this round.
    """

    state: PoolState
    workers: list[Worker]
    rooms: RoomIndex
    now_s: float
    placed: int = 0
    full: set[tuple] = field(default_factory=set)


def place_tasks(state: PoolState, now_s: float, wall_s: float) -> None:
    """Place ready tasks on workers."""
    workers = [worker for worker in state.workers.values() if worker.usable(now_s)]
    closed = state.vacating.keys() | state.resting.keys()
    workers = [item for item in workers if item.info.machine not in closed]
    state.short.clear()
    this = Round(state, workers, RoomIndex(workers), now_s)
    for job in list(state.jobs.values()):
        _expand_due(state, job, wall_s)
    if not workers:
        return
    for job in sort_jobs(state, wall_s):
        if this.placed >= STARTS_MOST:
            break
        if job.placed_version == job.version:
            continue
        waiting = 0
        for occurrence in sorted(job.expanded):
            for number in range(len(job.job.steps)):
                if job.ready(occurrence, number):
                    waiting += _place_step(this, job, occurrence, number)
        if not waiting:
            # Nothing to do for it until one of its runs ends.
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


def _place_step(this: Round, job: LiveJob, occurrence: int, number: int) -> int:
    """Place what can be placed of a step; return how many tasks still wait."""
    tasks = job.step_tasks(occurrence, number)
    step = job.job.steps[number]
    unserved = [task for task in tasks if not task.settled and not task.runs]
    waiting = [task for task in unserved if this.now_s >= task.not_before_s]
    if not waiting:
        return len(unserved)
    if step.gang:
        if len(waiting) == len(tasks) and not any(task.runs for task in tasks):
            _place_gang(this, tasks)
        return sum(1 for task in waiting if not task.runs)
    need = (step.need, step.label, step.fills)
    if need in this.full and not step.lasting:
        return len(unserved)
    for done, task in enumerate(waiting):
        if not _allowed(this.state, task, step.occupies):
            return len(unserved) - done
        worker = choose_worker(this, task, {})
        if worker is None:
            if not step.spread and not task.avoid:
                this.full.add(need)
            return len(unserved) - done
        _start(this, task, worker, task.last_run + 1)
    return len(unserved) - len(waiting)


def _start(this: Round, task: Task, worker: Worker, number: int) -> None:
    this.state.add_run(task, worker, number, this.now_s)
    this.rooms.update(worker)
    this.placed += 1
    this.state.note(
        "placed",
        task=task.name,
        run=number,
        worker=worker.worker_id,
        room_cpu_m=worker.room.cpu_m,
        version=task.job.version,
    )


def _place_gang(this: Round, tasks: list[Task]) -> None:
    step = tasks[0].step
    if not _allowed(this.state, tasks[0], step.occupies.times(len(tasks))):
        return
    for rack in _racks(this) if step.same_rack else [""]:
        taken: dict[str, tuple[Resources, int]] = {}
        chosen = []
        for task in tasks:
            worker = choose_worker(this, task, taken, rack)
            if worker is None:
                break
            held, count = taken.get(worker.worker_id, (Resources(), 0))
            taken[worker.worker_id] = (held + step.need, count + 1)
            chosen.append(worker)
        if len(chosen) == len(tasks):
            number = max(task.last_run for task in tasks) + 1
            for task, worker in zip(tasks, chosen, strict=True):
                _start(this, task, worker, number)
            return


def _racks(this: Round) -> list[str]:
    room: dict[str, int] = {}
    for worker in this.workers:
        for label in worker.info.labels:
            room[label] = room.get(label, 0) + worker.room.cpu_m
    # Last, any rack: slower, but better than not at all.
    return [*sorted(room, key=lambda label: -room[label]), ""]


def _allowed(state: PoolState, task: Task, need: Resources) -> bool:
    team = task.job.job.team
    if team not in state.limited:
        return True
    # A new holder, or a new limit, has no allowance until one is stored.
    allowance = state.allowances.get(team)
    if allowance is not None and (state.team_used[team] + need).within(allowance):
        return True
    state.short[team] = state.short.get(team, Resources()) + need
    return False


def choose_worker(
    this: Round,
    task: Task,
    taken: dict[str, tuple[Resources, int]],
    rack: str = "",
) -> Worker | None:
    """Return the best worker for a task, or None if none has room.

    Args:
        this: The round.
        task: The task.
        taken: Room and number of tasks set aside by other members of its gang.
        rack: Rack that the worker must be in; empty for any.
    """
    if task.step.lasting:
        fitting = (
            worker
            for worker in this.workers
            if _may_run(this, task, worker, taken, rack)
        )
        return min(
            fitting,
            key=lambda worker: lasting_score(this.state, task, worker),
            default=None,
        )
    best = None
    fewest: tuple = ()
    for worker in this.rooms.tightest(task.step.occupies.cpu_m):
        if not _may_run(this, task, worker, taken, rack):
            continue
        found = flaws(task, worker)
        if not any(found):
            # The tightest fit keeps room for wide tasks, and machines free.
            return worker
        if best is None or found < fewest:
            best, fewest = worker, found
    return best


def _may_run(
    this: Round,
    task: Task,
    worker: Worker,
    taken: dict[str, tuple[Resources, int]],
    rack: str,
) -> bool:
    step = task.step
    held, count = taken.get(worker.worker_id, (Resources(), 0))
    if not (step.occupies + held).fits(worker.room):
        return False
    if step.label and step.label not in worker.info.labels:
        return False
    if rack and rack not in worker.info.labels:
        return False
    if worker.trust.on_trial and worker.runs:
        return False
    if step.spread and count + beside(task, worker) >= step.spread:
        return False
    if task.job.job.queue in this.state.advice:
        name = step_of(task.name)
        if not this.state.permits.allows(name, worker.worker_id, this.now_s):
            this.state.permits.wanted.add(name)
            return False
    return True
