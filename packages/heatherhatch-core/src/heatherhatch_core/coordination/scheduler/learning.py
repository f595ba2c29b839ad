"""Passes the ends of runs to the learned run times."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..run_times import RunSeen
from .live import LiveJob
from .messages import Ending
from .run import Run
from .task import Task

if TYPE_CHECKING:
    from .state import PoolState

# Ends that say nothing about the length of the run: a failure may come at any moment,
# and a run of a gang ends with the others.
UNINFORMATIVE = (Ending.FAILED, Ending.BROKEN, Ending.ALONE)

GOING_PERIOD_S = 1.0  # short against the runs that matter, which are long
NOTED_SHARE = (
    0.005  # a run is noted if fewer than this share were expected to be longer
)


def learn_from_end(state: PoolState, run: Run, ending: Ending, now_s: float) -> None:
    """Learn from a run that has ended.

    A run counts as "at least this long" if it did not end by itself, if its start is
    not known, or if it resumed from a checkpoint. So do runs that the watchdog stopped,
    since a task that takes long would otherwise be stopped again and again.
    """
    task = run.task
    if task.step.lasting or ending in UNINFORMATIVE:
        return
    run_s = _known_until_s(state, run, ending, now_s) - run.begun_s
    if run_s <= 0:
        return
    exact = ending is Ending.DONE and run.whole
    if exact and not task.done:
        task.ran_s = run_s
        _note_length(task)
    seen = _seen(run, run_s)
    if not exact:
        state.run_times.learn_at_least(*seen)
        return
    expected_s = state.run_times.expect(*seen[:3], seen.team)
    if state.run_times.learn(*seen) < NOTED_SHARE:
        state.note(
            "run took long",
            task=task.name,
            queue=seen.queue,
            worker=run.worker_id,
            estimate_s=seen.estimate_s,
            expected_s=round(expected_s, 3),
            run_s=round(run_s, 3),
        )


def mean_length_s(
    state: PoolState, job: LiveJob, number: int, age_s: float = 0.0
) -> float:
    """Return the mean time that tasks of a step still run, seconds.

    Sums of work need it: a few long runs raise the mean far above the median.

    Args:
        state: State of the pool.
        job: Job of the step.
        number: Number of the step.
        age_s: How long the tasks have run so far, seconds.
    """
    estimate_s = job.job.steps[number].estimate_s
    kind = (job.job.queue, number, estimate_s, job.job.team)
    known = (job.job.queue, number) in state.run_times.kinds
    if not known or not state.rules.gates.learned_run_times:
        # Without any run, nothing is known beyond the estimate.
        return max(0.0, estimate_s - age_s)
    return state.run_times.remaining(age_s, *kind)


def learn_from_step(state: PoolState, task: Task) -> None:
    """Learn how the tasks of a step differ, if this was the last one to end."""
    siblings = task.job.step_tasks(task.name.occurrence, task.name.step)
    if all(item.done and item.ran_s for item in siblings):
        state.run_times.learn_siblings(
            task.job.job.queue,
            task.name.step,
            [item.ran_s for item in siblings],
            [item.outrun_s for item in siblings if item.outrun_s],
        )


def expected_length_s(
    state: PoolState, job: LiveJob, occurrence: int, number: int
) -> float:
    """Return the expected run time of the tasks of one step of a job, seconds.

    The tasks of the step that have finished count more than its queue.
    """
    step = job.job.steps[number]
    if not state.rules.gates.learned_run_times:
        return step.estimate_s
    expected_s = state.run_times.expect(
        job.job.queue, number, step.estimate_s, job.job.team
    )
    known = job.lengths_s.get((occurrence, number))
    return state.run_times.blend(expected_s, *known) if known else expected_s


def _note_length(task: Task) -> None:
    key = (task.name.occurrence, task.name.step)
    mean_s, count = task.job.lengths_s.get(key, (task.ran_s, 0))
    part = 1 / (count + 1)
    task.job.lengths_s[key] = (mean_s * (task.ran_s / mean_s) ** part, count + 1)


def note_going(state: PoolState, now_s: float) -> None:
    """Pass the runs that are still going to the learned run times."""
    if now_s - state.run_times.going_s < GOING_PERIOD_S:
        return
    runs = (
        run
        for worker in state.workers.values()
        if worker.present
        for run in worker.runs.values()
        if run.was_alive and run.task is not None and not run.task.step.lasting
    )
    state.run_times.set_going((_seen(run, now_s - run.begun_s) for run in runs), now_s)


def _seen(run: Run, run_s: float) -> RunSeen:
    job, step = run.task.job.job, run.task.step
    return RunSeen(
        job.queue, run.name.step, step.estimate_s, run_s, job.team, step.count
    )


def _known_until_s(state: PoolState, run: Run, ending: Ending, now_s: float) -> float:
    """Return until when a run is known to have been at work, monotonic seconds."""
    if ending is Ending.DONE:
        return now_s
    if ending in (Ending.LAPSED, Ending.LOST):
        worker = state.workers.get(run.worker_id)
        now_s = min(now_s, worker.answered_s) if worker else float("-inf")
    return min(now_s, run.stop_acked_s)
