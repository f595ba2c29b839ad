"""Drains machines and data centres, within the tasks that each step may miss."""

from .relocation import relocate_lasting_tasks
from .run import Run, RunState
from .state import PoolState
from .step_absence import count_siblings_away
from .worker import Worker

FINISH_GRACE_S = 4.0  # time for a run without checkpoints to end by itself
CHECKPOINT_MARGIN_S = 0.5  # stop for a checkpoint this long before a worker leaves


def step_evacuation(
    state: PoolState,
    drain_started_s: dict[str, float],
    now_s: float,
    may_place: bool,
) -> None:
    """Stop the runs that have to leave draining workers or may leave evacuated ones.

    Args:
        state: State of the pool.
        drain_started_s: Start of the drain of each machine, monotonic seconds.
            Updated in place; the caller keeps it between calls.
        now_s: Monotonic time, seconds.
        may_place: Whether tasks may be started now. Otherwise no run is moved out of
            an evacuated data centre, since it could not start elsewhere.
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
    if may_place:
        relocate_lasting_tasks(state, now_s)


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
