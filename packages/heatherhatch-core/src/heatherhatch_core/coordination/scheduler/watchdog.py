"""Looks after runs: lost workers, stops without effect, runs that stand still."""

from .live import Run, RunState
from .messages import Ending
from .state import PoolState
from .worker import Worker

OVERDUE_FACTOR = 4.0  # a run this many times its expected time stands still
OVERDUE_LEAST_S = 3.0  # but never before this; estimates of short tasks are rough
OVERDUE_MOST_S = 60.0  # bound after repeated restarts of one task
START_WORK_S = 4.0  # a lasting task that isn't at work by then is started anew


def watch_runs(state: PoolState, now_s: float) -> None:
    """End runs that are surely over, repeat stops, stop what stands still."""
    for worker in list(state.workers.values()):
        if not worker.present or worker.silent_since_s < now_s:
            _watch_silent(state, worker, now_s)
            continue
        for run in list(worker.runs.values()):
            _watch_run(state, worker, run, now_s)


def _watch_silent(state: PoolState, worker: Worker, now_s: float) -> None:
    if now_s < worker.lease_over_s():
        return
    for run in list(worker.runs.values()):
        if run.state is RunState.RECORDING:
            continue
        state.note("lease over", task=run.name, run=run.number, worker=worker.worker_id)
        state.end_run(run, Ending.LOST, "", now_s)
    if not worker.present and not worker.runs:
        del state.workers[worker.worker_id]


def _watch_run(state: PoolState, worker: Worker, run: Run, now_s: float) -> None:
    if run.stopping:
        state.stop_run(run, now_s)
        return
    if run.task is None or run.state is not RunState.ALIVE or run.task.step.gang:
        return
    if run.task.step.lasting:
        overdue = (
            not run.at_work
            and run.pace > 0
            and now_s - run.away_since_s > START_WORK_S
            and now_s - run.begun_s > START_WORK_S
        )
    else:
        overdue = now_s - run.begun_s > allowed_s(state, run)
    if not overdue:
        return
    worker.trust.bad(run.name.job_id, now_s)
    run.task.avoid.add(worker.worker_id)
    state.note(
        "run stands still",
        task=run.name,
        run=run.number,
        worker=worker.worker_id,
        for_s=round(now_s - run.begun_s, 2),
    )
    state.stop_run(run, now_s)


def allowed_s(state: PoolState, run: Run) -> float:
    """Return how long a run may take before it is taken to stand still."""
    task = run.task
    expected = state.times.expect(
        task.job.job.queue, task.name.step, task.step.estimate_s
    )
    factor = OVERDUE_FACTOR * 2 ** max(0, task.last_run - task.failures - 1)
    least = OVERDUE_LEAST_S * 2 ** max(0, task.last_run - task.failures - 1)
    return max(least, min(OVERDUE_MOST_S, factor * expected))
