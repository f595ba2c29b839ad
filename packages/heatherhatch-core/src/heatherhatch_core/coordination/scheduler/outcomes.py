"""Applies the end of a run to its task, its job and its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .learning import learn_from_step
from .messages import Ending
from .run import Run
from .task import Task

if TYPE_CHECKING:
    from .state import PoolState

LASTING_BACKOFF_STEP_S = 0.25  # added to the retry delay with each further failure
LASTING_BACKOFF_MAX_S = 2.0  # well below the 6 s within which the task must run again


def apply_run_end(
    state: PoolState, run: Run, ending: Ending, checkpoint: str, now_s: float
) -> None:
    """Update task, job and worker after a run has ended."""
    task = run.task
    if checkpoint:
        save_checkpoint(task, checkpoint)
    _record_outcome(state, run, ending, now_s)
    if task.copy_number:
        _note_copy_outcome(state, run, ending, now_s)
    if task.step.lasting:
        _lasting_ended(task, ending, run, now_s)
    elif ending is Ending.DONE:
        _done(state, task, now_s)
    elif ending is Ending.FAILED:
        _failed(run, task)
    if task.step.gang and ending is not Ending.DONE:
        _break_gang(state, task, run.number, now_s)


def gang_members(task: Task) -> list[Task]:
    """Return the tasks of the same gang, or only the task if it has none."""
    if not task.step.gang:
        return [task]
    return task.job.step_tasks(task.name.occurrence, task.name.step)


def save_checkpoint(task: Task, checkpoint: str) -> None:
    """Record the last checkpoint of a task.

    A checkpoint of one gang member is valid for all, and all must resume from it.
    """
    for member in gang_members(task):
        member.checkpoint = checkpoint


def _record_outcome(state: PoolState, run: Run, ending: Ending, now_s: float) -> None:
    worker = state.workers.get(run.worker_id)
    if worker is None or run.stopping:
        return
    if ending is Ending.DONE:
        worker.record_success()
    elif ending is Ending.FAILED:
        _record_failure(state, run, now_s)


def _record_failure(state: PoolState, run: Run, now_s: float) -> None:
    worker = state.workers.get(run.worker_id)
    if worker and worker.quarantine.record_failure(run.name.job_id, now_s):
        state.note(
            "worker distrusted",
            worker=worker.worker_id,
            pause_s=worker.quarantine.pause_s,
        )


def _note_copy_outcome(
    state: PoolState, run: Run, ending: Ending, now_s: float
) -> None:
    """Log what became of the two runs of a task when the first of them has ended."""
    task = run.task
    if run.number != task.copy_number:
        outcome = "lost" if ending is Ending.DONE else "only one left"
    elif ending is Ending.DONE:
        outcome = "won"
        for outrun in task.runs.values():
            # As for a run that stalled: a slow worker fails most of its last runs so.
            _record_failure(state, outrun, now_s)
    else:
        outcome = "given up" if run.stopping else "failed"
    state.note(
        "copy ended",
        task=run.name,
        run=task.copy_number,
        outcome=outcome,
        ended_run=run.number,
        worker=run.worker_id,
        ending=ending.value,
    )
    task.copy_number = 0


def _done(state: PoolState, task: Task, now_s: float) -> None:
    for member in gang_members(task):
        member.done = True
    for copy in list(task.runs.values()):
        if not task.step.gang:
            task.outrun_s = max(task.outrun_s, now_s - copy.begun_s)
            state.release_run(copy, now_s)
    learn_from_step(state, task)
    task.job.note_done(task)


def _failed(run: Run, task: Task) -> None:
    task.avoid.add(run.worker_id)
    if run.number == task.failed_run:
        return  # another member of the gang has failed in the same run
    for member in gang_members(task):
        member.failures += 1
        member.failed_run = run.number
    if task.failures >= task.job.job.terms.attempts:
        name = f"{task.name.occurrence}.{task.name.step}.{task.name.index}"
        task.job.fail(f"task {name} failed {task.failures} times")


def _lasting_ended(task: Task, ending: Ending, run: Run, now_s: float) -> None:
    task.away_since_s = now_s
    if ending is Ending.FAILED:
        task.failures += 1
        task.avoid = {run.worker_id}
        pause_s = LASTING_BACKOFF_STEP_S * min(task.failures - 1, 8)
        task.not_before_s = now_s + min(pause_s, LASTING_BACKOFF_MAX_S)


def _break_gang(state: PoolState, task: Task, number: int, now_s: float) -> None:
    job = task.job
    if (task.name.occurrence, task.name.step, 0) not in job.tasks:
        return
    for member in gang_members(task):
        run = member.runs.get(number)
        if run is not None:
            state.release_run(run, now_s)
