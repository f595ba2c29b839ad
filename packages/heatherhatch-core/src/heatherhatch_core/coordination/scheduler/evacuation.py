"""Empties machines that shall go, within what each step may miss."""

from .live import Run, RunState
from .state import PoolState
from .worker import Worker

FINISH_S = 4.0  # a run that can't be resumed gets this long to end by itself
STOP_SPARE_S = 0.6  # time to hear all workers after a takeover
LEAVE_SPARE_S = 0.5  # a checkpoint is taken this long before a worker leaves


def step_evacuation(state: PoolState, begun_s: dict[str, float], now_s: float) -> None:
    """Stop what has to leave the workers that are to be emptied.

    Args:
        state: The pool.
        begun_s: Since when each machine is being emptied; kept by the caller.
        now_s: Monotonic time.
    """
    for machine in list(begun_s):
        if machine not in state.vacating:
            del begun_s[machine]
    for worker in state.workers.values():
        machine = worker.info.machine
        if machine in state.vacating:
            since_s = begun_s.setdefault(machine, now_s)
        elif worker.info.draining:
            since_s = begun_s.setdefault(worker.worker_id, now_s)
        else:
            begun_s.pop(worker.worker_id, None)
            continue
        for run in list(worker.runs.values()):
            if not run.stopping and _shall_stop(
                state, worker, run, now_s - since_s, now_s
            ):
                state.note(
                    "run moved", task=run.name, run=run.number, worker=worker.worker_id
                )
                state.stop_run(run, now_s)


def cleared_machines(state: PoolState) -> dict[str, int]:
    """Return the machines of this pool to be emptied on which nothing is left."""
    busy = set()
    known = set()
    for worker in state.workers.values():
        if worker.present and worker.fenced:
            known.add(worker.info.machine)
        if worker.runs or worker.strays or worker.pending:
            # Ends that are not stored are lost with the worker's life.
            busy.add(worker.info.machine)
    # Machines of other pools are none of this pool's business.
    asked = {**state.resting, **state.vacating}
    return {name: asked[name] for name in asked if name in known - busy}


def _shall_stop(
    state: PoolState, worker: Worker, run: Run, waited_s: float, now_s: float
) -> bool:
    if run.task is None or run.state is RunState.RECORDING:
        return True
    step = run.task.step
    if step.lasting:
        if not step.may_miss or worker.info.draining:
            return True
        return others_away(run) < step.may_miss and not _may_be_stopping(state, now_s)
    if worker.info.draining and worker.info.machine not in state.vacating:
        left_s = worker.info.leaves_s - waited_s
        return step.checkpoints and left_s < LEAVE_SPARE_S
    return step.checkpoints or waited_s > FINISH_S


def _may_be_stopping(state: PoolState, now_s: float) -> bool:
    """Tell whether stops that a former holder ordered may still have to show."""
    return now_s < state.claimed_s + state.rules.stop_s + STOP_SPARE_S


def others_away(run: Run) -> int:
    """Return how many other tasks of a lasting run's step are not at work."""
    job = run.task.job
    name = run.task.name
    return sum(
        1
        for other in job.step_tasks(name.occurrence, name.step)
        if other is not run.task
        and not any(item.at_work and not item.stopping for item in other.runs.values())
    )
