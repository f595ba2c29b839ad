"""Builds what the jobs of a pool ask for, in core-seconds."""

import math

from ..competition.recent_shares import Claim
from .learning import expected_length_s
from .live import LiveJob
from .run import Run
from .state import PoolState
from .task import Task


def job_claim(state: PoolState, job: LiveJob, on_time: bool, now_s: float) -> Claim:
    """Return what a job asks of its pool.

    Args:
        state: State of the pool.
        job: The job.
        on_time: True if the job can still be on time.
        now_s: Monotonic time, seconds.
    """
    cores = running = waiting = waiting_cores = 0.0
    for occurrence in job.expanded:
        for number in job.open_steps[occurrence]:
            step = job.job.steps[number]
            if step.lasting or step.fills:
                continue
            length_s = expected_length_s(state, job, occurrence, number)
            step_cores = step.need.cpu_m / 1000.0
            ready = job.ready(occurrence, number)
            if not ready or not job.was_placed:
                # None of its tasks has a run, so they need not be looked at.
                waiting += step.count * step_cores * length_s
                waiting_cores += step.count * step_cores if ready else 0.0
                continue
            for task in job.step_tasks(occurrence, number):
                if task.runs:
                    cores += step_cores
                    running += step_cores * remaining_s(task, length_s, now_s)
                elif not task.settled:
                    waiting += step_cores * length_s
                    waiting_cores += step_cores
    return Claim(job.job.team, cores, running, waiting, waiting_cores, on_time)


def waiting_tasks(job: LiveJob, now_s: float) -> list[Task]:
    """Return the tasks of a job that could begin now and have no run."""
    return [
        task
        for occurrence in sorted(job.expanded)
        for number in sorted(job.open_steps[occurrence])
        if job.ready(occurrence, number) and not job.job.steps[number].fills
        for task in job.step_tasks(occurrence, number)
        if not task.settled and not task.runs and now_s >= task.not_before_s
    ]


def expected_s(state: PoolState, task: Task) -> float:
    """Return the expected run time of a task, seconds."""
    return expected_length_s(state, task.job, task.name.occurrence, task.name.step)


def ends_in_s(run: Run, length_s: float, now_s: float) -> float:
    """Return in how many seconds a run is expected to end; inf if it lasts.

    A run that has taken longer than expected is taken to go on for as long again as it
    has overrun.

    Args:
        run: The run.
        length_s: Expected run time of its task, seconds.
        now_s: Monotonic time, seconds.
    """
    if run.stopping:
        return 0.0
    if run.task is None or run.task.step.lasting:
        return math.inf
    return abs(length_s - max(0.0, now_s - run.begun_s))


def remaining_s(task: Task, length_s: float, now_s: float) -> float:
    """Return how long the runs of a task are expected to go on, seconds.

    Args:
        task: A task with runs.
        length_s: Expected run time of the task, seconds.
        now_s: Monotonic time, seconds.
    """
    begun_s = min(run.begun_s for run in task.runs.values())
    return max(0.0, length_s - max(0.0, now_s - begun_s))


def free_cores(state: PoolState) -> float:
    """Return the free capacity that new runs may use, cores."""
    closed = state.draining.keys() | state.finishing.keys()
    free_cpu_m = sum(
        worker.free.cpu_m
        for worker in state.evacuated.in_service(state.workers.values())
        if worker.info.machine not in closed and not worker.info.draining
    )
    return free_cpu_m / 1000.0
