"""Ranks the workers that have enough free capacity for a task."""

from .spread import SiblingCounts
from .state import PoolState
from .task import Task
from .worker import Worker


def count_siblings(task: Task, worker: Worker) -> int:
    """Return how many runs of the same step and occurrence are on a worker."""
    name = task.name
    return sum(
        1
        for other, _number in worker.runs
        if other[:3] == (name.job_id, name.occurrence, name.step)
    )


def penalties(task: Task, worker: Worker) -> tuple[bool, bool, bool]:
    """Return the reasons against a worker, the most serious first.

    Returns:
        Whether the task must avoid the worker, whether the worker is outside the
        rack that holds the data, and whether it is still slow after its start.
    """
    step = task.step
    remote = bool(step.rack) and step.rack not in worker.info.labels
    avoided = (
        worker.worker_id in task.avoid or worker.info.machine in task.crashed_machines
    )
    return (avoided, remote, worker.info.warmup_left_s > 0)


def lasting_score(
    state: PoolState, task: Task, worker: Worker, siblings: SiblingCounts
) -> tuple:
    """Return the sort key of a worker for a lasting task; lower is better.

    A task that is started in the wrong data centre stays there, while one on a machine
    that is due or cold is moved later or becomes fast.
    """
    avoided, _remote, cold = penalties(task, worker)
    due = worker.info.machine in state.maintenance_due
    return (
        avoided,
        siblings.in_data_centre(worker),
        due,
        cold,
        *_colocation_score(task, worker, siblings),
        worker.worker_id,
    )


def _colocation_score(task: Task, worker: Worker, siblings: SiblingCounts) -> tuple:
    step = task.step
    in_rack = siblings.in_rack(worker)
    rack_full = siblings.is_rack_full(worker)
    if step.tail_target_ms or step.fills:
        # Serving tasks and filler tasks slow each other down.
        return (rack_full, len(worker.runs), in_rack, -worker.free.cpu_m)
    # Pack lasting tasks on few machines, but with at most half of a step on each, and
    # in each rack if the step may miss tasks.
    holds_half = count_siblings(task, worker) >= (step.count + 1) // 2
    lasting = any(
        run.task is not None and run.task.step.lasting for run in worker.runs.values()
    )
    return (rack_full, holds_half, not lasting, in_rack, worker.free.cpu_m)
