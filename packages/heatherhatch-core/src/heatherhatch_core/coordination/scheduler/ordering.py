"""The order in which jobs get workers."""

from ...state.work import Phase
from .live import LiveJob
from .state import PoolState

LATE_FACTOR = 3.0  # up to so many times the objective a late job is worth something
ROUGHNESS = 1.2  # by so much a chain may take longer than is expected of it
HANDLING_S = 0.1  # time to store, order and report the tasks of a chain
KEY_S = 0.1  # a place in the queue is good for so long, unless a step is done
ON_TIME, LATE, OVERDUE = 0, 1, 2


def sort_jobs(state: PoolState, wall_s: float) -> list[LiveJob]:
    """Return the jobs that may start tasks, the most pressing first."""
    jobs = [job for job in state.jobs.values() if not job.phase.final]
    stale = [job for job in jobs if wall_s - job.order_key_s >= KEY_S]
    over = teams_over_share(state, jobs) if stale else frozenset()
    for job in stale:
        job.order_key = _key(state, job, wall_s, job.job.team in over)
        job.order_key_s = wall_s
    jobs.sort(key=lambda job: job.order_key)
    return jobs


def chain_s(state: PoolState, job: LiveJob, occurrence: int, left: bool) -> float:
    """Return the longest chain of expected run times of an occurrence.

    Args:
        state: The pool.
        job: The job.
        occurrence: Number of the occurrence.
        left: True to count only the steps that are not done.
    """
    open_steps = job.open_steps.get(occurrence, set())
    ends: list[float] = []
    for number, step in enumerate(job.job.steps):
        begin = max((ends[other] for other in step.after if other < number), default=0)
        length = state.times.expect(job.job.queue, number, step.estimate_s)
        if left and number not in open_steps:
            length = 0.0
        ends.append(begin + length)
    return max(ends, default=0.0)


def objective_s(state: PoolState, job: LiveJob, occurrence: int) -> float:
    """Return how long an occurrence may take to be on time, seconds."""
    terms = job.job.terms
    return terms.stretch * chain_s(state, job, occurrence, False) + terms.target_s


def late(job: LiveJob) -> bool:
    """Tell whether a job was found to be late when it last got its place."""
    return bool(job.order_key) and job.order_key[0] > ON_TIME


def teams_over_share(state: PoolState, jobs: list[LiveJob]) -> frozenset[str]:
    """Return the teams that use more than their share of the pool.

    The pool is divided by weight between the teams that have jobs here.
    """
    teams = {job.job.team for job in jobs}
    if len(teams) < 2:
        return frozenset()
    weights = {team: state.weights.get(team, 1.0) for team in teams}
    total = sum(weights.values())
    capacity = sum(
        worker.info.capacity.cpu_m
        for worker in state.workers.values()
        if worker.present
    )
    return frozenset(
        team
        for team, weight in weights.items()
        if state.team_used[team].cpu_m * total > capacity * weight
    )


def _key(state: PoolState, job: LiveJob, wall_s: float, over: bool) -> tuple:
    priority = job.job.terms.priority
    if any(step.lasting for step in job.job.steps):
        return (-1, priority, job.job.accepted_s, job.job.job_id)
    occurrence = min(job.expanded, default=0)
    due_s = job.due_s(occurrence)
    objective = objective_s(state, job, occurrence)
    left = chain_s(state, job, occurrence, True)
    if wall_s + left * ROUGHNESS + HANDLING_S <= due_s + objective:
        lateness = ON_TIME
    elif wall_s + left <= due_s + LATE_FACTOR * objective:
        lateness = LATE
    else:
        lateness = OVERDUE
    slack = due_s + objective - left
    waits = job.phase is not Phase.RUNNING
    # What a team has begun is finished; beyond its share nothing more is begun
    # as long as others have something that can be on time.
    turn = waits if lateness else waits and over
    return (lateness, priority, turn, slack, job.job.job_id)
