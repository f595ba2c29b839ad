"""The workers that a machine had one after the other."""

from ...state.work import RunRecord
from .crashes import note_crash, resolve_lapsed
from .messages import WorkerInfo
from .run import RunState
from .state import PoolState
from .worker import Worker


def get_or_add_worker(state: PoolState, record: RunRecord) -> Worker:
    """Return the worker of a run; add it if the directory does not list it yet."""
    worker_id = record.worker_id
    worker = state.workers.get(worker_id)
    if worker is None:
        info = WorkerInfo(worker_id, record.machine, state.pool, "", record.born_ms)
        worker = Worker(info, state.rules, state.claimed_s)
        worker.present = False
        state.workers[worker_id] = worker
    return worker


def end_previous_workers(state: PoolState, info: WorkerInfo, now_s: float) -> None:
    """End the runs of the earlier workers of a worker's machine."""
    resolve_lapsed(state, info, now_s)
    for worker in _previous_workers(state, info):
        note_crash(state, worker, worker.runs.values(), now_s)
        for run in list(worker.runs.values()):
            if run.state is not RunState.RECORDING:
                state.lose_run(run, "machine has a new worker", now_s)
        worker.present = False


def note_machine_left(state: PoolState, info: WorkerInfo) -> None:
    """Record that a machine has a worker of another pool.

    The directory may list the machine's earlier workers for some seconds more.
    """
    for worker in _previous_workers(state, info):
        worker.present = False


def _previous_workers(state: PoolState, info: WorkerInfo) -> list[Worker]:
    if not info.machine:
        return []
    return [
        worker
        for worker in state.workers.values()
        if worker.info.machine == info.machine and worker.info.born_ms < info.born_ms
    ]
