"""Explains where the scheduler would run a job now, and why.

It runs the scheduler's own decisions on a state that the caller discards afterwards.
"""

from collections import Counter
from dataclasses import dataclass, replace

from ..competition.rejection import path_length_s
from .backlog import pool_backlog
from .learning import expected_length_s
from .live import LiveJob
from .ordering import LASTING, LATE, ON_TIME, OVERDUE, find_order_reason, sort_jobs
from .placement import MAX_PLACEMENTS_PER_ROUND, expand_due_jobs, place_tasks
from .placement_round import PlacementRound, find_exclusion
from .state import PoolState
from .task import Task
from .worker import Worker
from .worker_choice import CAPACITY, find_obstacle

HIGH_FRACTION = 0.9  # of the run times, for the late one of the two expected ends
TOO_SMALL = "too small"
DRAINING = "draining"
NOT_LISTED = "not in the directory"
NOT_USABLE = "gets no new runs"
LATENESS_NAMES = {
    LASTING: "lasting",
    ON_TIME: "on time",
    LATE: "late",
    OVERDUE: "overdue",
}


@dataclass(frozen=True, slots=True)
class StepExplanation:
    """What one step of a job can expect now.

    Attributes:
        step: Number of the step.
        tasks: Number of its tasks.
        starts: Number of its tasks that start now, after the jobs before it in line.
        workers: Workers on which they start.
        takes: Number of workers that would take one of its tasks now, before any
            waiting job is placed.
        ruled_out: Number of the other workers, by the first reason.
        expected_s: Expected run time of a task, seconds; 0 if it is lasting.
        high_s: Time within which nine of ten runs end, seconds; 0 if it is lasting.
    """

    step: int
    tasks: int
    starts: int
    workers: tuple[str, ...]
    takes: int
    ruled_out: dict[str, int]
    expected_s: float
    high_s: float


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """What a job can expect now.

    Attributes:
        lateness: Class of lateness.
        slack_s: How long it may wait and be on time, seconds; None if it is lasting.
        position: Place in line among the open jobs of the pool; 1 is the first.
        open_jobs: Number of the other open jobs.
        before: Number of the jobs that go before it, by reason.
        limited: True if the limit of its team keeps tasks from starting.
        begin_s: When its first task is expected to start, seconds from now; None if
            that is not known.
        end_s: When its last task is expected to end, seconds from now; None if that
            is not known.
        high_end_s: The same if its tasks take as long as one of ten does at least.
        steps: Its steps.
    """

    lateness: str
    slack_s: float | None
    position: int
    open_jobs: int
    before: dict[str, int]
    limited: bool
    begin_s: float | None
    end_s: float | None
    high_end_s: float | None
    steps: tuple[StepExplanation, ...]


def explain_job(
    state: PoolState, job_id: str, now_s: float, wall_s: float, running: float | None
) -> JobExplanation:
    """Return what a job of the pool that has not begun can expect now.

    This places tasks in the state, which is of no use afterwards.

    Args:
        state: State of the pool.
        job_id: Identifier of the job.
        now_s: Monotonic time, seconds.
        wall_s: Seconds since the epoch.
        running: What the runs of the pool have still to do, core-seconds; None to
            count each as just begun.
    """
    job = state.jobs[job_id]
    expand_due_jobs(state, wall_s)
    line = sort_jobs(state, wall_s, now_s)
    ahead = line[: line.index(job)]
    before = Counter(find_order_reason(state, other, job) for other in ahead)
    wait_s = _wait_s(state, ahead, running)
    is_due = bool(job.expanded)
    due_in_s = max(0.0, job.due_s(0) - wall_s)
    job.expand(0)
    placement = PlacementRound(state, now_s)
    ruled_out = [
        _rule_out(placement, job.step_tasks(0, number)[0])
        for number in range(len(job.job.steps))
    ]
    if is_due:
        _place_all(state, now_s, wall_s)
    steps = tuple(
        _explain_step(state, job, number, reasons)
        for number, reasons in enumerate(ruled_out)
    )
    is_lasting = job.claim is None
    is_limited = job.job.team in state.allowance_shortfall
    begin_s = None
    if any(step.starts for step in steps):
        begin_s = 0.0
    elif not is_limited and not is_lasting and all(map(_waits_for_capacity, steps)):
        # With nothing to wait for, another reason keeps its tasks from starting.
        begin_s = max(wait_s, due_in_s) or None
    return JobExplanation(
        LATENESS_NAMES[job.order_key[0]],
        None if is_lasting else round(job.order_key[3] - wall_s, 3),
        len(ahead) + 1,
        len(line) - 1,
        dict(before),
        is_limited,
        None if begin_s is None else round(begin_s, 3),
        _end_s(state, job, begin_s, [step.expected_s for step in steps]),
        _end_s(state, job, begin_s, [step.high_s for step in steps]),
        steps,
    )


def _wait_s(state: PoolState, ahead: list[LiveJob], running: float | None) -> float:
    """Return how long the runs and the jobs ahead keep the pool busy, seconds."""
    cores = pool_backlog(state, 0.0).cores
    if cores <= 0:
        return 0.0
    if running is None:
        claims = [item.claim for item in state.jobs.values() if item.claim is not None]
        running = sum(claim.running for claim in claims)
    waiting = sum(item.claim.waiting for item in ahead if item.claim is not None)
    return (running + waiting) / cores


def _rule_out(placement: PlacementRound, task: Task) -> Counter[str]:
    """Count the workers by why they take no run of a task; empty if they take one."""
    usable = {worker.worker_id for worker in placement.workers}
    return Counter(
        _obstacle(placement, task, worker, worker.worker_id in usable)
        for worker in placement.state.workers.values()
    )


def _obstacle(
    placement: PlacementRound, task: Task, worker: Worker, is_usable: bool
) -> str:
    if is_usable:
        found = find_obstacle(placement, task, worker, {})
        if found == CAPACITY and not task.step.occupies.fits(worker.info.capacity):
            return TOO_SMALL
        return found
    if not worker.present:
        return NOT_LISTED
    found = find_exclusion(placement.state, worker)
    if found:
        return found
    return DRAINING if worker.info.draining else NOT_USABLE


def _place_all(state: PoolState, now_s: float, wall_s: float) -> None:
    """Place tasks as the next rounds would, if nothing else happened."""
    while True:
        before = _count_runs(state)
        place_tasks(state, now_s, wall_s)
        if _count_runs(state) - before < MAX_PLACEMENTS_PER_ROUND:
            return


def _count_runs(state: PoolState) -> int:
    return sum(len(worker.runs) for worker in state.workers.values())


def _explain_step(
    state: PoolState, job: LiveJob, number: int, reasons: Counter[str]
) -> StepExplanation:
    step = job.job.steps[number]
    placed = [
        run.worker_id
        for task in job.step_tasks(0, number)
        for run in task.runs.values()
    ]
    expected_s = high_s = 0.0
    if not step.lasting:
        expected_s = expected_length_s(state, job, 0, number)
        high_s = state.run_times.quantile(
            HIGH_FRACTION, job.job.queue, number, step.estimate_s, job.job.team
        )
    return StepExplanation(
        number,
        step.count,
        len(placed),
        tuple(sorted(set(placed))),
        reasons.pop("", 0),
        dict(reasons),
        round(expected_s, 3),
        round(max(high_s, expected_s), 3),
    )


def _waits_for_capacity(step: StepExplanation) -> bool:
    """Return whether a worker would take a task of a step once it has capacity."""
    return bool(step.takes) or CAPACITY in step.ruled_out


def _end_s(
    state: PoolState, job: LiveJob, begin_s: float | None, lengths_s: list[float]
) -> float | None:
    """Return when a job is expected to end, by the lengths of its steps."""
    if begin_s is None or job.claim is None:
        return None
    steps = tuple(
        replace(step, estimate_s=length_s)
        for step, length_s in zip(job.job.steps, lengths_s, strict=True)
    )
    work = sum(
        step.count * step.occupies.cpu_m / 1000.0 * step.estimate_s for step in steps
    )
    # A job with more tasks than the pool has cores for takes longer than its path.
    cores = pool_backlog(state, 0.0).cores
    at_least_s = work / cores if cores > 0 else 0.0
    return round(begin_s + max(path_length_s(steps), at_least_s), 3)
