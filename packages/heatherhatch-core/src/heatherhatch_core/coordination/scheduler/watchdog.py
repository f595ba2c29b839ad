"""Ends runs of lost workers, repeats stop orders and stops stalled runs."""

from .crashes import clear_proven, forget_old_lapsed, note_lapsed
from .learning import note_going
from .run import Run, RunState
from .state import PoolState
from .worker import Worker

# A worker that answers renewals is heard of every second; an older report of a run says
# nothing about it. Reports stop while the holder's claim cannot be confirmed.
MAX_REPORT_AGE_S = 1.5
# A run counts as stalled once it is longer than this fraction of such runs, where one
# in some tens may take seven times as long as the others.
STALL_QUANTILE = 0.998
STALL_FACTOR = 4.0  # lower bound, as a multiple of the expected time
# Upper bound: runs that really stood still count as long ones as well.
STALL_MAX_FACTOR = 16.0
STALL_MIN_S = 3.0  # lower bound, since estimates of short tasks are inaccurate
STALL_MAX_S = 60.0  # upper bound after repeated restarts of a task
LASTING_START_TIMEOUT_S = (
    4.0  # a lasting task below its pace for this long is restarted
)


def watch_runs(state: PoolState, now_s: float) -> None:
    """End runs whose lease has expired, repeat stops and stop stalled runs."""
    forget_old_lapsed(state, now_s)
    note_going(state, now_s)
    for worker in list(state.workers.values()):
        if not worker.present or worker.silent_since_s < now_s:
            _watch_silent(state, worker, now_s)
            continue
        for run in list(worker.runs.values()):
            _watch_run(state, worker, run, now_s)


def _watch_silent(state: PoolState, worker: Worker, now_s: float) -> None:
    if now_s < worker.lease_expiry_s():
        return
    runs = [run for run in worker.runs.values() if run.state is not RunState.RECORDING]
    note_lapsed(state, worker, tuple(runs), now_s)
    for run in runs:
        state.lose_run(run, "lease over", now_s)
    if not (worker.present or worker.runs or worker.starts_in_doubt(now_s)):
        del state.workers[worker.worker_id]


def _watch_run(state: PoolState, worker: Worker, run: Run, now_s: float) -> None:
    if run.stopping:
        state.stop_run(run, now_s)
        return
    if run.task is None or run.state is not RunState.ALIVE or run.task.step.gang:
        return
    if now_s - worker.clock_at_s > MAX_REPORT_AGE_S:
        return
    if run.task.step.lasting:
        clear_proven(state, run, now_s)
        stalled = (
            now_s - run.slow_since_s > LASTING_START_TIMEOUT_S
            and now_s - run.begun_s > LASTING_START_TIMEOUT_S
        )
    else:
        run_s = now_s - run.begun_s
        # The time-out is never shorter than STALL_MIN_S, and slow to compute.
        stalled = run_s > STALL_MIN_S and run_s > run_timeout_s(state, run)
    if not stalled:
        return
    worker.quarantine.record_failure(run.name.job_id, now_s)
    run.task.avoid.add(worker.worker_id)
    state.note(
        "run stands still",
        task=run.name,
        run=run.number,
        worker=worker.worker_id,
        for_s=round(now_s - run.begun_s, 2),
    )
    run.task.outrun_s = max(run.task.outrun_s, now_s - run.begun_s)
    state.stop_run(run, now_s)


def run_timeout_s(state: PoolState, run: Run) -> float:
    """Return the time after which a run counts as stalled, seconds."""
    task = run.task
    job = task.job.job
    kind = (job.queue, task.name.step, task.step.estimate_s, job.team)
    expected_s = state.run_times.expect(*kind)
    longest_s = state.run_times.quantile(STALL_QUANTILE, *kind)
    limit_s = min(
        STALL_MAX_FACTOR * expected_s, max(STALL_FACTOR * expected_s, longest_s)
    )
    # A copy is no restart.
    restarts = max(0, task.last_run - task.failures - task.copies - 1)
    growth = 2**restarts
    return max(growth * STALL_MIN_S, min(STALL_MAX_S, growth * limit_s))
