"""Counts the tasks of a step that may not be at work."""

from .run import Run
from .state import PoolState

STOP_MARGIN_S = 0.1  # a worker's timers may be late when it stops a run


def count_siblings_away(state: PoolState, run: Run) -> int:
    """Return how many other tasks of the step of a lasting run may not be at work."""
    job = run.task.job
    name = run.task.name
    return sum(
        1
        for other in job.step_tasks(name.occurrence, name.step)
        if other is not run.task
        and not any(_stays_at_work(state, item) for item in other.runs.values())
    )


def _stays_at_work(state: PoolState, run: Run) -> bool:
    """Return True if a run is at work and no holder has ordered it to stop.

    The last report says nothing about a worker that is silent or has left since. A
    worker lists a run until its stop is complete, and a former holder may have sent
    stop orders until the worker saw this holder's token. So a run that it placed
    counts only if the worker lists it after the last such stop must have ended.
    """
    if not run.at_work or run.stopping:
        return False
    worker = state.workers.get(run.worker_id)
    if worker is None or not worker.present or worker.silent_since_s < float("inf"):
        return False
    if not run.adopted:
        return True
    stops_end_s = worker.fenced_since_s + state.rules.stop_s + STOP_MARGIN_S
    return run.expected_from_s >= stops_end_s
