"""Which of the workers that have room suits a task best."""

from .live import Task
from .state import PoolState
from .worker import Worker


def beside(task: Task, worker: Worker) -> int:
    """Return how many tasks of the same step and occurrence are on a worker."""
    name = task.name
    return sum(
        1
        for other, _number in worker.runs
        if other[:3] == (name.job_id, name.occurrence, name.step)
    )


def flaws(task: Task, worker: Worker) -> tuple[bool, bool, bool]:
    """Return what speaks against a worker, the worst first."""
    step = task.step
    remote = bool(step.rack) and step.rack not in worker.info.labels
    return (worker.worker_id in task.avoid, remote, worker.info.cold_s > 0)


def lasting_score(state: PoolState, task: Task, worker: Worker) -> tuple:
    """Return how well a worker suits a lasting task; less is better."""
    avoided, _remote, cold = flaws(task, worker)
    due = worker.info.machine in state.maintenance_due
    return (avoided, due, cold, *_company(task, worker), worker.worker_id)


def _company(task: Task, worker: Worker) -> tuple:
    step = task.step
    if step.tail_target_ms or step.fills:
        # Tasks that serve, and those that fill, slow each other down.
        return (len(worker.runs), -worker.room.cpu_m)
    # Few machines are kept busy, but none holds more than half of a step.
    crowded = beside(task, worker) >= (step.count + 1) // 2
    lasting = any(
        run.task is not None and run.task.step.lasting for run in worker.runs.values()
    )
    return (crowded, not lasting, worker.room.cpu_m)
