"""Throttles filler tasks so that serving tasks on the same worker meet their target."""

from .messages import PaceOrder
from .run import FULL_PACE_PERCENT, Run, RunState
from .state import PoolState
from .worker import Worker

HIGH_TAIL_RATIO = 0.9  # tail over target above which filler tasks are throttled
LOW_TAIL_RATIO = 0.65  # tail over target below which filler tasks speed up
PACE_CUT_FACTOR = 0.5  # applied to the pace at each check above HIGH_TAIL_RATIO
PACE_STEP_PERCENT = 10  # percentage points added at each check below LOW_TAIL_RATIO
# Response tails cover the last half second, and a pace takes 0.1 s to apply.
PACE_SETTLE_S = 0.7


def pace_fillers(state: PoolState, now_s: float) -> None:
    """Set the pace of filler tasks by the response tails of serving tasks."""
    for worker in state.workers.values():
        if worker.silent_since_s < now_s:
            continue
        alive = [
            run
            for run in worker.runs.values()
            if run.task is not None and run.state is RunState.ALIVE
        ]
        fillers = [run for run in alive if run.task.step.fills and not run.stopping]
        if fillers:
            _pace(state, worker, fillers, worst_tail_ratio(alive), now_s)


def worst_tail_ratio(runs: list[Run]) -> float:
    """Return the highest ratio of response tail to target; 0 if there is none."""
    return max(
        (
            run.measurement / run.task.step.tail_target_ms
            for run in runs
            if run.task.step.tail_target_ms and run.at_work
        ),
        default=0.0,
    )


def _pace(
    state: PoolState, worker: Worker, fillers: list[Run], worst: float, now_s: float
) -> None:
    for run in fillers:
        if run.pace_set_s is not None and now_s - run.pace_set_s < PACE_SETTLE_S:
            continue
        pace = run.pace
        if worst > 1.0:
            pace = 0
        elif worst > HIGH_TAIL_RATIO:
            pace = int(pace * PACE_CUT_FACTOR)
        elif worst < LOW_TAIL_RATIO:
            pace = min(FULL_PACE_PERCENT, pace + PACE_STEP_PERCENT)
        if pace == run.pace and not _order_was_lost(run):
            continue
        state.note(
            "paced",
            task=run.name,
            run=run.number,
            worker=worker.worker_id,
            percent=pace,
            reported=run.percent,
            strain=round(worst, 2),
        )
        run.pace = pace
        run.pace_set_s = now_s
        state.orders.append(PaceOrder(worker.worker_id, run.name, run.number, pace))


def _order_was_lost(run: Run) -> bool:
    """Return True if a run does not work at the pace that was last ordered.

    A run that was given no pace may report less than its full pace: it starts.
    """
    if run.pace_set_s is None:
        return False
    # Only a report requested after the order had time to apply shows its effect.
    settled = run.expected_from_s - run.pace_set_s >= PACE_SETTLE_S
    return settled and run.percent != run.pace
