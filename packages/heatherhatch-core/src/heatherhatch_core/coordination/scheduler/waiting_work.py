"""Tasks that wait for capacity and can still be on time."""

from __future__ import annotations

from dataclasses import dataclass

from ...state.resources import Resources
from ...state.work import Step
from .live import LiveJob
from .ordering import (
    CHAIN_OVERHEAD_S,
    ESTIMATE_MARGIN_FACTOR,
    critical_path_s,
    is_late,
    objective_s,
)
from .placement_round import PlacementRound
from .state import PoolState
from .worker import Worker

MAX_WAITING_TASKS = 64  # more say no more about what a round lacks


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """A task that found no worker, of a job that can still be on time.

    Attributes:
        need: Resources that it reserves.
        label: Label that the worker must have; empty for any.
        slack_s: For how long it can wait and still be on time, seconds.
    """

    need: Resources
    label: str
    slack_s: float

    def fits(self, worker: Worker, free: Resources) -> bool:
        """Return whether a worker with this much free capacity can run the task."""
        if self.label and self.label not in worker.info.labels:
            return False
        return self.need.fits(free)


def waiting_tasks(placement: PlacementRound, wall_s: float) -> list[WaitingTask]:
    """Return the tasks that wait for capacity and can still be on time."""
    found: list[WaitingTask] = []
    for job in placement.waiting:
        if is_late(job):
            continue
        if job.job.team in placement.state.allowance_shortfall:
            continue  # it waits for its limit, not for capacity
        for occurrence in job.expanded:
            slack_s = _slack_s(placement.state, job, occurrence, wall_s)
            for number, step in enumerate(job.job.steps):
                if not job.ready(occurrence, number):
                    continue
                if not step.gang and _has_room(placement, step):
                    continue  # it waits for something else, such as a permit
                found += [
                    WaitingTask(step.occupies, step.label, slack_s)
                    for task in job.step_tasks(occurrence, number)
                    if not task.settled
                    and not task.runs
                    and not task.is_suspect
                    and placement.now_s >= task.not_before_s
                ]
                if len(found) >= MAX_WAITING_TASKS:
                    return found
    return found


def _has_room(placement: PlacementRound, step: Step) -> bool:
    """Return whether a worker has room for a task that found no worker."""
    task = WaitingTask(step.occupies, step.label, 0.0)
    return any(
        task.fits(worker, worker.free)
        for worker in placement.free_index.iter_best_fit(step.occupies.cpu_m)
    )


def _slack_s(state: PoolState, job: LiveJob, occurrence: int, wall_s: float) -> float:
    if any(step.lasting for step in job.job.steps):
        return 0.0
    latest_s = job.due_s(occurrence) + objective_s(state, job, occurrence)
    left_s = critical_path_s(state, job, occurrence, True)
    return latest_s - wall_s - left_s * ESTIMATE_MARGIN_FACTOR - CHAIN_OVERHEAD_S
