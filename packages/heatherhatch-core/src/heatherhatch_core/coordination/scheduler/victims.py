"""Tells which runs may be stopped for urgent jobs."""

from ..competition.preemption import MAX_PREEMPTIONS
from .live import LiveJob
from .run import Run, RunState


def may_stop(run: Run, urgent: LiveJob) -> bool:
    """Return whether a run may be stopped for an urgent job.

    Lasting tasks, gangs, suspects, tasks with several runs and tasks that were
    preempted often enough are never stopped.
    """
    task = run.task
    if task is None or run.state is not RunState.ALIVE or run.stopping:
        return False
    step = task.step
    job = task.job
    return (
        step.checkpoints
        and not (step.lasting or step.gang or step.fills)
        and job.claim is not None
        and job.job.terms.priority > urgent.job.terms.priority
        and len(task.runs) == 1
        and task.preemptions < MAX_PREEMPTIONS
        and not task.is_suspect
    )
