"""Processes the answers of workers to orders."""

from .messages import Ending, StartOrder, StartResult, StopOrder
from .permits import step_name
from .run import RunState
from .state import PoolState


def handle_start_result(
    state: PoolState, order: StartOrder, result: StartResult, now_s: float
) -> None:
    """Process the answer to a start order."""
    worker = state.workers.get(order.worker_id)
    run = worker.runs.get((order.task, order.number)) if worker else None
    if run is None:
        if worker is not None and result is StartResult.UNKNOWN:
            # A stop has ended the run, perhaps on an earlier incarnation.
            worker.note_unanswered(order.task, order.number, now_s)
            state.orders.append(StopOrder(worker.worker_id, order.task, order.number))
        return
    state.note(
        "start answered",
        task=order.task,
        run=order.number,
        worker=order.worker_id,
        born_ms=run.born_ms,
        result=result.value,
        **worker.lease_details(now_s),
        first=result is StartResult.STARTED and run.is_first,
    )
    if result is StartResult.STARTED:
        state.note_begun(run)
        if run.state is not RunState.ALIVE:
            run.state = RunState.ALIVE
            run.expected_from_s = now_s
        run.begun_s = min(run.begun_s, now_s)
        run.whole = not order.checkpoint
        worker.answered_s = now_s
        worker.refusals = 0
        return
    if result is StartResult.UNKNOWN:
        worker.note_unanswered(order.task, order.number, now_s)
        if run.state is RunState.ORDERED:
            run.state = RunState.DOUBTFUL
            run.task.avoid.add(worker.worker_id)
        return
    if run.state is RunState.ALIVE:
        return
    if result is StartResult.NO_PERMIT:
        state.permits.discard(step_name(order.task), order.worker_id)
    elif result in (StartResult.UNWELL, StartResult.NO_ROOM):
        worker.back_off(now_s)
    state.end_run(run, Ending.LOST, "", now_s)


def handle_stop_result(
    state: PoolState, order: StopOrder, answered: bool, now_s: float
) -> None:
    """Process the answer to a stop order; unanswered orders are repeated later."""
    worker = state.workers.get(order.worker_id)
    run = worker.runs.get((order.task, order.number)) if worker else None
    if run is not None and answered:
        run.stop_acked_s = min(run.stop_acked_s, now_s)
