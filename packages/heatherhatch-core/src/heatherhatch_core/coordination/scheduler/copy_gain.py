"""Estimates what a second run of a task gains for its job, and what it costs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...state.resources import Resources
from .copy_estimates import Estimates
from .ordering import MAX_LATE_FACTOR, objective_s
from .run import Run
from .state import PoolState
from .task import Task

COPY_OVERHEAD_S = 0.1  # to store, order and report the copy
MAX_COPIES_PER_TASK = 2  # a task that is slow a third time is slow by itself


@dataclass(frozen=True, slots=True)
class Straggler:
    """A task for which a copy is considered.

    Attributes:
        task: The task.
        run: Its only run.
        ran_s: Age of the run, seconds.
        rest_s: Expected rest of the run, seconds.
        fresh_s: Expected length of a fresh run, seconds.
        gain_s: Expected time by which a copy brings the end of the job forward,
            seconds.
        threshold_s: Gain that a copy must exceed, seconds.
        late: True if a copy can change how late the job is.
        silent: True if the worker of the run does not answer or has left.
    """

    task: Task
    run: Run
    ran_s: float
    rest_s: float
    fresh_s: float
    gain_s: float
    threshold_s: float
    late: bool
    silent: bool


def may_be_copied(task: Task) -> bool:
    """Return whether a task may get a second run beside the one that it has."""
    step = task.step
    if not step.speculative or step.gang or step.lasting or step.fills:
        return False
    if len(task.runs) != 1 or task.done or task.is_suspect:
        return False
    if task.copies >= MAX_COPIES_PER_TASK:
        return False
    if task.job.job.terms.attempts - task.failures < 2:
        return False
    run = next(iter(task.runs.values()))
    # The age of a run says nothing about its rest if it resumed from a checkpoint.
    return not run.stopping and (run.whole or not task.checkpoint)


def find_stragglers(state: PoolState, now_s: float, wall_s: float) -> list[Straggler]:
    """Return the tasks whose copies would bring the end of their job forward.

    Args:
        state: State of the pool.
        now_s: Monotonic time, seconds.
        wall_s: Seconds since the epoch.
    """
    known: dict[tuple[str, int], Estimates] = {}
    overdue: dict[tuple[str, int], Estimates] = {}
    for worker in state.workers.values():
        for run in worker.runs.values():
            task = run.task
            if task is None or not may_be_copied(task) or task.job.phase.final:
                continue
            key = (task.name.job_id, task.name.occurrence)
            if key in overdue:
                continue
            if key not in known:
                known[key] = Estimates(state, task.job, task.name.occurrence, now_s)
            if known[key].is_overdue(run):
                overdue[key] = known[key]
    return [
        straggler
        for estimates in overdue.values()
        for straggler in _stragglers(estimates, wall_s)
    ]


def _stragglers(estimates: Estimates, wall_s: float) -> list[Straggler]:
    state, job, occurrence = estimates.state, estimates.job, estimates.occurrence
    path_s = _memo(estimates.path_after_s)
    chosen: list[tuple[int, Task]] = []
    # All stragglers of a job are judged together: a copy of one alone brings nothing
    # forward while another one is open.
    others_end_s = 0.0
    for number, task in estimates.open_tasks():
        rest_s = estimates.task_rest_s(number, task)
        excess_s = rest_s - estimates.fresh_s(number)
        if excess_s > COPY_OVERHEAD_S and may_be_copied(task):
            chosen.append((number, task))
        else:
            others_end_s = max(others_end_s, rest_s + path_s(number))
    due_s = job.due_s(occurrence)
    objective = objective_s(state, job, occurrence)
    found = []
    for number, task in chosen:
        run = next(iter(task.runs.values()))
        rest_s = estimates.task_rest_s(number, task)
        fresh_s = estimates.fresh_s(number)
        end_s = wall_s + rest_s + path_s(number)
        copy_end_s = wall_s + fresh_s + path_s(number)
        late = (
            end_s > due_s + objective
            and copy_end_s <= due_s + MAX_LATE_FACTOR * objective
        )
        # Without a copy, the pool works for the rest; with one, for two fresh runs. So
        # a gain of more than a fresh run saves work. A smaller one throws work away,
        # which costs others as much as the pool is used; only a caller who gets the
        # job less late gains from that.
        price = used_share(state, task.step.occupies) if late else 1.0
        found.append(
            Straggler(
                task,
                run,
                estimates.age_s(run),
                rest_s,
                fresh_s,
                min(rest_s - fresh_s, rest_s + path_s(number) - others_end_s),
                COPY_OVERHEAD_S + price * fresh_s,
                late,
                estimates.is_silent(run),
            )
        )
    return found


def _memo(function: Callable[[int], float]) -> Callable[[int], float]:
    known: dict[int, float] = {}

    def call(number: int) -> float:
        if number not in known:
            known[number] = function(number)
        return known[number]

    return call


def used_share(state: PoolState, need: Resources) -> float:
    """Return the used share of the pool's scarcest resource that a need has."""
    capacity, used = pool_capacity(state)
    shares = [
        amount_used / max(1, amount)
        for wanted, amount, amount_used in (
            (need.cpu_m, capacity.cpu_m, used.cpu_m),
            (need.memory_mb, capacity.memory_mb, used.memory_mb),
            (need.accelerators, capacity.accelerators, used.accelerators),
        )
        if wanted
    ]
    return min(1.0, max(shares, default=0.0))


def pool_capacity(state: PoolState) -> tuple[Resources, Resources]:
    """Return the capacity of the present workers, and what runs occupy of it."""
    capacity = used = Resources()
    for worker in state.workers.values():
        if worker.present:
            capacity = capacity + worker.info.capacity
            used = used + worker.used
    return capacity, used
