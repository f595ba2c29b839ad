"""Counts the crashes of workers against the tasks that may have caused them.

A worker that crashes says nothing about the cause. Each task with a run on it is
counted; a crash that no other run can have caused is counted separately. A task is
given up on the second such crash, or on the first one once three machines crashed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .live import LiveJob
from .outcomes import gang_members
from .run import Run, RunState
from .task import Task
from .worker import Worker

if TYPE_CHECKING:
    from .messages import WorkerInfo
    from .state import PoolState

SETTLED_S = 0.5  # a run that is alive this long after its start did not crash by it
MAX_SOLE_CRASHES = 2  # number of crashes without another cause
MAX_CRASHES = 3  # number of machines that crashed, once with no other cause
MAX_SHARED_CRASHES = 5  # number of crashes in any case
PROVEN_S = 10.0  # a lasting run that is alive this long clears its task
LAPSED_MEMORY_S = 60.0  # a machine that is away for longer was lost for good
MAX_LOGGED_TASKS = 20  # in the log line of a crash


@dataclass(frozen=True, slots=True)
class LapsedRuns:
    """Runs whose lease expired while their worker was silent.

    Attributes:
        worker: The worker.
        runs: The runs.
        counted: Tasks whose lapses include these runs.
        at_s: When the lease expired, monotonic seconds.
    """

    worker: Worker
    runs: tuple[Run, ...]
    counted: tuple[Task, ...]
    at_s: float


def is_settled(run: Run, worker: Worker) -> bool:
    """Return whether an answer of the worker shows that a run outlived its start."""
    return run.begun_s + SETTLED_S <= worker.answered_s


def note_crash(
    state: PoolState, worker: Worker, runs: Iterable[Run], now_s: float
) -> None:
    """Count a crash of a worker against the tasks whose runs may have caused it.

    Args:
        state: State of the pool.
        worker: The worker, with what was known of it before the crash.
        runs: Runs that may have been alive on it.
        now_s: Monotonic time, seconds.
    """
    present = [
        run
        for run in runs
        if run.state is not RunState.RECORDING and not run.crash_noted
    ]
    # A machine that the system itself takes down has no runs left.
    if not present or worker.info.draining:
        return
    for run in present:
        run.crash_noted = True
    blamed = [run for run in present if _is_blamed(state, run, worker)]
    soles = [_is_sole_cause(run, present, worker) for run in blamed]
    for run, sole in zip(blamed, soles, strict=True):
        for member in gang_members(run.task):
            _count(state, member, run, sole, is_settled(run, worker))
    state.note(
        "worker crashed",
        worker=worker.worker_id,
        machine=worker.info.machine,
        runs=len(present),
        tasks=[run.name for run in blamed[:MAX_LOGGED_TASKS]],
        sole=sum(soles),
    )
    for run in blamed:
        job = run.task.job
        if not job.phase.final and _is_given_up(run.task):
            _give_up(state, job, run.task, now_s)


def note_lapsed(
    state: PoolState, worker: Worker, runs: tuple[Run, ...], now_s: float
) -> None:
    """Remember runs that are lost until it is known whether their worker crashed."""
    if runs and worker.info.machine:
        if worker.info.machine in state.lapsed:
            _forget_lapsed(state, worker.info.machine)
        counted = [run.task for run in runs if _is_blamed(state, run, worker)]
        lapsed = LapsedRuns(worker, runs, tuple(counted), now_s)
        state.lapsed[worker.info.machine] = lapsed
        for task in counted:
            task.lapses += 1
            state.suspects[task.name] = task


def forget_old_lapsed(state: PoolState, now_s: float) -> None:
    """Forget the runs on machines that have been away for long: these are lost."""
    for machine, lapsed in list(state.lapsed.items()):
        if now_s - lapsed.at_s > LAPSED_MEMORY_S:
            _forget_lapsed(state, machine)


def resolve_lapsed(state: PoolState, info: WorkerInfo, now_s: float) -> None:
    """Count a crash if a machine whose worker was silent is back with another one."""
    lapsed = state.lapsed.get(info.machine)
    if lapsed is None:
        return
    if info.born_ms > lapsed.worker.info.born_ms:
        _forget_lapsed(state, info.machine)
        note_crash(state, lapsed.worker, lapsed.runs, now_s)


def note_answered(state: PoolState, worker: Worker) -> None:
    """Forget the runs that a worker lost while it was silent: it did not crash."""
    lapsed = state.lapsed.get(worker.info.machine)
    if lapsed is not None and lapsed.worker is worker:
        _forget_lapsed(state, worker.info.machine)


def clear_proven(state: PoolState, run: Run, now_s: float) -> None:
    """Clear a lasting task that has been alive for long since its last crash."""
    task = run.task
    if task.crashes and run.succeeded and now_s - run.begun_s > PROVEN_S:
        task.crashes = task.sole_crashes = 0
        task.crashed_machines.clear()
        state.suspects.pop(task.name, None)
        state.touch(task.job)


def _forget_lapsed(state: PoolState, machine: str) -> None:
    for task in state.lapsed.pop(machine).counted:
        task.lapses -= 1


def _is_blamed(state: PoolState, run: Run, worker: Worker) -> bool:
    task = run.task
    if task is None or task.settled:
        return False
    if task.step.lasting and is_settled(run, worker):
        return False  # over its long life it meets many crashes of others
    job = state.jobs.get(task.job.job.job_id)
    return job is task.job and not job.phase.final


def _is_sole_cause(run: Run, present: list[Run], worker: Worker) -> bool:
    if worker.unknown_runs or run.machine in run.task.crashed_machines:
        return False  # the machine may be at fault
    others = [other for other in present if not _same_cause(other, run)]
    if not all(_is_clear(other) for other in others):
        return False
    if run.task.crashes >= MAX_CRASHES and all(other.succeeded for other in others):
        return True  # it was alone on purpose, so the time since its start is no matter
    # A run whose start got no answer may never have been there.
    started = run.begun_s < float("inf") and not is_settled(run, worker)
    return started and all(is_settled(other, worker) for other in others)


def _same_cause(other: Run, run: Run) -> bool:
    if other.task is None:
        return False
    return other.task in gang_members(run.task)


def _is_clear(run: Run) -> bool:
    return run.task is not None and not run.task.crashes


def _count(
    state: PoolState, task: Task, run: Run, sole: bool, was_settled: bool
) -> None:
    task.crashed_machines.add(run.machine)
    if task.crashed_run == run.number:
        return  # another member of the gang was on a worker that crashed
    task.crashed_run = run.number
    task.crashed_late = was_settled
    task.crashes += 1
    task.sole_crashes += sole
    state.suspects[task.name] = task
    state.touch(task.job)


def _is_given_up(task: Task) -> bool:
    return (
        task.sole_crashes >= MAX_SOLE_CRASHES
        or (task.sole_crashes and len(task.crashed_machines) >= MAX_CRASHES)
        or task.crashes >= MAX_SHARED_CRASHES
    )


def _give_up(state: PoolState, job: LiveJob, task: Task, now_s: float) -> None:
    name = f"{task.name.occurrence}.{task.name.step}.{task.name.index}"
    reason = f"task {name} crashed {task.crashes} workers"
    state.note("task given up", task=task.name, crashes=task.crashes, reason=reason)
    job.fail(reason)
    state.retire(job, now_s)
