"""Drains machines, within the number of tasks that each step may miss."""

from .run import Run, RunState
from .state import PoolState
from .worker import Worker

FINISH_GRACE_S = 4.0  # time for a run without checkpoints to end by itself
STOP_MARGIN_S = 0.1  # a worker's timers may be late when it stops a run
CHECKPOINT_MARGIN_S = 0.5  # stop for a checkpoint this long before a worker leaves


def step_evacuation(
    state: PoolState, drain_started_s: dict[str, float], now_s: float
) -> None:
    """Stop the runs that have to leave draining workers now.

    Args:
        state: State of the pool.
        drain_started_s: Start of the drain of each machine, monotonic seconds.
            Updated in place; the caller keeps it between calls.
        now_s: Monotonic time, seconds.
    """
    for machine in list(drain_started_s):
        if machine not in state.draining:
            del drain_started_s[machine]
    # Runs on workers that leave by themselves stop in any case, so that they count as
    # away when it is decided which others may stop.
    for worker in sorted(
        state.workers.values(), key=lambda item: not item.info.draining
    ):
        machine = worker.info.machine
        if machine in state.draining:
            since_s = drain_started_s.setdefault(machine, now_s)
        elif worker.info.draining:
            since_s = now_s
        else:
            continue
        for run in list(worker.runs.values()):
            if not run.stopping and _must_stop(
                state, worker, run, now_s - since_s, now_s
            ):
                state.note(
                    "run moved", task=run.name, run=run.number, worker=worker.worker_id
                )
                state.stop_run(run, now_s)


def cleared_machines(state: PoolState) -> dict[str, int]:
    """Return the drained machines of this pool, with the numbers of the requests.

    A machine is drained if no run and no end that is not stored is left on it.
    """
    busy = set()
    known = set()
    for worker in state.workers.values():
        if worker.present and worker.fenced:
            known.add(worker.info.machine)
        if worker.runs or worker.unknown_runs or worker.unacked_ends:
            # If the worker goes down, ends that are not stored are lost.
            busy.add(worker.info.machine)
    # Requests may also name machines of other pools; these are left out.
    requested = {**state.finishing, **state.draining}
    return {name: requested[name] for name in requested if name in known - busy}


def _must_stop(
    state: PoolState, worker: Worker, run: Run, waited_s: float, now_s: float
) -> bool:
    if run.task is None or run.state is RunState.RECORDING:
        return True
    step = run.task.step
    if step.lasting:
        if not step.may_miss or worker.info.draining:
            return True
        return count_siblings_away(state, run) < step.may_miss
    if worker.info.draining and worker.info.machine not in state.draining:
        left_s = worker.leaves_at_s - now_s
        return step.checkpoints and left_s < CHECKPOINT_MARGIN_S
    return step.checkpoints or waited_s > FINISH_GRACE_S


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
