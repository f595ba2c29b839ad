"""Moves lasting tasks out of evacuated data centres, one of each step at a time."""

from collections import Counter, defaultdict

from .evacuated import KeptCapacity
from .placement_round import PlacementRound
from .run import Run, RunState
from .state import PoolState
from .step_absence import count_siblings_away
from .worker import Worker
from .worker_choice import choose_worker

# Time for which capacity is kept for a task that is being moved; longer than a lease
# takes to lapse if the worker does not answer the stop.
KEEP_S = 6.0
INTERVAL_S = 0.2  # between two searches for destinations, which cost processor time

# Why a run stays in an evacuated data centre, as operators read it. The first two are
# of runs that do not last.
ENDS_BY_ITSELF = "ends by itself"
BEING_STOPPED = "is being stopped"
REASONS_OF_OTHERS = (ENDS_BY_ITSELF, BEING_STOPPED)
BEING_MOVED = "is being moved"
GANG = "belongs to a gang"
NO_ANSWER = "its worker does not answer"
SIBLINGS_AWAY = "others of its step are not running"
SIBLING_MOVES = "another of its step is being moved"
NO_ALLOWANCE = "its team is over its limit"
NO_CAPACITY = "no other worker has capacity"


def relocate_lasting_tasks(state: PoolState, now_s: float) -> None:
    """Stop the lasting runs that may leave evacuated data centres now.

    The capacity of another worker is kept for each of them until it runs there.
    """
    evacuated = state.evacuated
    _release_capacity(state, now_s)
    if not evacuated:
        evacuated.staying = {}
        return
    if now_s - evacuated.searched_s < INTERVAL_S:
        return
    evacuated.searched_s = now_s
    staying: dict[str, Counter[str]] = defaultdict(Counter)
    left = [worker for worker in state.workers.values() if evacuated.covers(worker)]
    placement = None
    stuck: dict[tuple, str] = {}
    for worker in left:
        counts = staying[worker.info.data_centre]
        counts[BEING_STOPPED] += len(worker.unknown_runs)
        for run in list(worker.runs.values()):
            reason = _reason_to_stay(state, worker, run) or stuck.get(run.name[:3])
            if not reason:
                placement = placement or PlacementRound(state, now_s)
                reason = _move(state, placement, run, now_s)
                if reason != BEING_MOVED:
                    stuck[run.name[:3]] = reason  # the tasks of a step are alike
            counts[reason] += 1
    evacuated.staying = {name: dict(+counts) for name, counts in staying.items()}


def _reason_to_stay(state: PoolState, worker: Worker, run: Run) -> str:
    """Return why a run must stay for now; empty if it may be stopped."""
    task = run.task
    lasting = task is not None and task.step.lasting
    if task is None or run.stopping:
        return BEING_MOVED if lasting else BEING_STOPPED
    step = task.step
    if not step.lasting:
        return ENDS_BY_ITSELF
    if step.gang:
        # The end of one member ends all of them.
        return GANG
    if run.state is not RunState.ALIVE or worker.silent_since_s < float("inf"):
        return NO_ANSWER
    if any(name[:3] == task.name[:3] for name in state.evacuated.kept):
        return SIBLING_MOVES
    return SIBLINGS_AWAY if _are_siblings_away(state, run) else ""


def _are_siblings_away(state: PoolState, run: Run) -> bool:
    step = run.task.step
    if step.may_miss:
        return count_siblings_away(state, run) >= step.may_miss
    # A step without a limit on stopped tasks still moves one by one, but slow tasks do
    # not count: all workers of the data centre may have turned cold.
    tasks = run.task.job.step_tasks(run.name.occurrence, run.name.step)
    return not all(
        any(item.state is RunState.ALIVE and not item.stopping for item in runs)
        for runs in (task.runs.values() for task in tasks)
    )


def _move(state: PoolState, placement: PlacementRound, run: Run, now_s: float) -> str:
    task = run.task
    if not _may_run_again(state, task.job.job.team):
        return NO_ALLOWANCE
    worker = choose_worker(placement, task, {})
    if worker is None:
        return NO_CAPACITY
    kept = KeptCapacity(task, worker.worker_id, run.held, now_s + KEEP_S)
    state.evacuated.kept[task.name] = kept
    state.note(
        "run moved",
        task=run.name,
        run=run.number,
        worker=run.worker_id,
        data_centre=state.workers[run.worker_id].info.data_centre,
        to=worker.worker_id,
        room_cpu_m=worker.free.cpu_m,
    )
    state.stop_run(run, now_s)
    return BEING_MOVED


def _may_run_again(state: PoolState, team: str) -> bool:
    """Return whether a team's limit leaves room for a run again once it has ended."""
    allowance = state.allowances.get(team)
    return team not in state.limits or (
        allowance is not None and state.team_used[team].within(allowance)
    )


def _release_capacity(state: PoolState, now_s: float) -> None:
    """Release the capacity kept for tasks that run again or cannot run there."""
    for name, kept in list(state.evacuated.kept.items()):
        worker = state.workers.get(kept.worker_id)
        if (
            now_s >= kept.until_s
            or kept.task.job.phase.final
            or any(not run.stopping for run in kept.task.runs.values())
            or worker is None
            or state.evacuated.covers(worker)
            or worker.info.machine in {**state.draining, **state.finishing}
            or not worker.is_usable(now_s)
        ):
            del state.evacuated.kept[name]
