"""Paces tasks that fill, so that the tasks that serve beside them keep their target."""

from .live import FULL_PACE, Run, RunState
from .messages import PaceOrder
from .state import PoolState
from .worker import Worker

HIGH = 0.9  # of the target: above it what fills is paced down
LOW = 0.65  # of the target: below it what fills may work more
CUT = 0.5  # what is left of the pace after one look above HIGH
RAISE = 10  # percent points that one look below LOW gives back
SETTLE_S = 0.7  # the figures look back half a second, and a pace takes 0.1 s


def pace_fillers(state: PoolState, now_s: float) -> None:
    """Set the pace of what fills by the response tails of what serves."""
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
            _pace(state, worker, fillers, strain(alive), now_s)


def strain(runs: list[Run]) -> float:
    """Return the worst response tail, as a part of its target; 0 without any."""
    return max(
        (
            run.figure / run.task.step.tail_target_ms
            for run in runs
            if run.task.step.tail_target_ms and run.at_work
        ),
        default=0.0,
    )


def _pace(
    state: PoolState, worker: Worker, fillers: list[Run], worst: float, now_s: float
) -> None:
    for run in fillers:
        if now_s - run.pace_set_s < SETTLE_S:
            continue
        pace = run.pace
        if worst > 1.0:
            pace = 0
        elif worst > HIGH:
            pace = int(pace * CUT)
        elif worst < LOW:
            pace = min(FULL_PACE, pace + RAISE)
        if pace == run.pace:
            continue
        state.note(
            "paced",
            task=run.name,
            run=run.number,
            worker=worker.worker_id,
            percent=pace,
            strain=round(worst, 2),
        )
        run.pace = pace
        run.pace_set_s = now_s
        state.orders.append(PaceOrder(worker.worker_id, run.name, run.number, pace))
