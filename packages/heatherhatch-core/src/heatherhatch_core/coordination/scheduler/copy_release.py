"""Gives up copies for work that needs their capacity."""

from __future__ import annotations

from collections.abc import Iterable

from ...state.resources import NO_RESOURCES, Resources
from .placement_round import PlacementRound
from .run import Run, RunState
from .state import PoolState
from .task import Task
from .waiting_work import WaitingTask
from .worker import Worker


def copy_run(task: Task) -> Run | None:
    """Return the copy of a task, or None if it has none."""
    return task.runs.get(task.copy_number) if len(task.runs) > 1 else None


def give_up_copies(
    placement: PlacementRound, copied: Iterable[Task], waiting: list[WaitingTask]
) -> None:
    """Stop the copies that stand in the way of other work.

    Args:
        placement: The round, after tasks were placed.
        copied: Tasks with a copy.
        waiting: Tasks that wait for capacity and can still be on time.
    """
    state = placement.state
    # The newest copies have done the least work.
    copies = [
        run
        for run in (copy_run(task) for task in reversed(list(copied)))
        if run is not None and not run.stopping and _has_other_run(state, run)
    ]
    copies = _release_drained(placement, copies)
    copies = _release_for_limits(placement, copies)
    if waiting and copies:
        _release_for_waiting(placement, copies, waiting)


def _has_other_run(state: PoolState, copy: Run) -> bool:
    """Return whether the task goes on without its copy."""
    for run in copy.task.runs.values():
        worker = state.workers.get(run.worker_id)
        if (
            run is not copy
            and not run.stopping
            and run.state is RunState.ALIVE
            and worker is not None
            and worker.present
            and worker.silent_since_s == float("inf")
        ):
            return True
    return False


def _give_up(placement: PlacementRound, run: Run, reason: str) -> None:
    state = placement.state
    state.note(
        "copy given up",
        task=run.name,
        run=run.number,
        worker=run.worker_id,
        reason=reason,
        ran_s=round(max(0.0, placement.now_s - run.begun_s), 2),
    )
    state.release_run(run, placement.now_s)


def _release_drained(placement: PlacementRound, copies: list[Run]) -> list[Run]:
    """Give up the copies on workers that are to become empty; return the others."""
    state = placement.state
    kept = []
    for run in copies:
        worker = state.workers[run.worker_id]
        machine = worker.info.machine
        drains = machine in state.draining or machine in state.finishing
        if drains or worker.info.draining:
            _give_up(placement, run, "worker drains")
        else:
            kept.append(run)
    return kept


def _release_for_limits(placement: PlacementRound, copies: list[Run]) -> list[Run]:
    """Give up the copies of teams whose limit holds up other work; return the rest."""
    state = placement.state
    missing: dict[str, Resources] = {}
    kept = []
    for run in copies:
        team = run.task.job.job.team
        if team not in missing:
            missing[team] = _missing_allowance(state, team)
        if missing[team].fits(NO_RESOURCES):
            kept.append(run)
        else:
            _give_up(placement, run, "team limit")
            missing[team] = missing[team] - run.held
    return kept


def _missing_allowance(state: PoolState, team: str) -> Resources:
    """Return what a team lacks once its runs that are stopping are gone."""
    allowance = state.allowances.get(team)
    if team not in state.limits or allowance is None:
        return NO_RESOURCES
    stopping = NO_RESOURCES
    for worker in state.workers.values():
        for run in worker.runs.values():
            if run.stopping and run.task and run.task.job.job.team == team:
                stopping = stopping + run.held
    used = state.team_used[team] - stopping
    wanted = used + state.allowance_shortfall.get(team, NO_RESOURCES)
    return Resources(
        max(0, wanted.cpu_m - allowance.cpu_m) if allowance.cpu_m else 0,
        max(0, wanted.memory_mb - allowance.memory_mb) if allowance.memory_mb else 0,
        max(0, wanted.accelerators - allowance.accelerators)
        if allowance.accelerators
        else 0,
    )


def _release_for_waiting(
    placement: PlacementRound, copies: list[Run], waiting: list[WaitingTask]
) -> None:
    free = {worker.worker_id: _soon_free(worker) for worker in placement.workers}
    on_worker: dict[str, list[Run]] = {}
    for run in copies:
        if run.worker_id in free:
            on_worker.setdefault(run.worker_id, []).append(run)
    workers = {worker.worker_id: worker for worker in placement.workers}
    for task in waiting:
        host = next(
            (name for name, item in free.items() if task.fits(workers[name], item)), ""
        )
        if not host:
            host = _free_by_copies(placement, task, workers, free, on_worker)
        if host:
            free[host] = free[host] - task.need


def _free_by_copies(
    placement: PlacementRound,
    task: WaitingTask,
    workers: dict[str, Worker],
    free: dict[str, Resources],
    on_worker: dict[str, list[Run]],
) -> str:
    """Give up the copies of one worker that a task then fits; return the worker."""
    for name, runs in on_worker.items():
        gained = free[name]
        chosen = []
        for run in runs:
            if _rest_s(placement, run) <= task.slack_s:
                continue  # the task can wait until the copy has ended
            gained = gained + run.held
            chosen.append(run)
            if task.fits(workers[name], gained):
                for item in chosen:
                    _give_up(placement, item, "waiting work on time")
                    runs.remove(item)
                free[name] = gained
                return name
    return ""


def _rest_s(placement: PlacementRound, run: Run) -> float:
    job = run.task.job.job
    return placement.state.run_times.remaining(
        max(0.0, placement.now_s - run.begun_s),
        job.queue,
        run.name.step,
        run.task.step.estimate_s,
        job.team,
    )


def _soon_free(worker: Worker) -> Resources:
    """Return the free capacity of a worker once the runs that are stopping are gone."""
    free = worker.free
    for run in worker.runs.values():
        if run.stopping:
            free = free + run.held
    return free
