"""Sorts the jobs by urgency, for placement."""

from ...state.work import Phase
from .job_claims import free_cores, job_claim
from .learning import expected_length_s
from .live import LiveJob
from .state import PoolState

MAX_LATE_FACTOR = 3.0  # a job later than this multiple of its objective has no value
ESTIMATE_MARGIN_FACTOR = 1.2  # a chain may take this much longer than expected
CHAIN_OVERHEAD_S = 0.1  # to store, order and report the tasks of a chain
ORDER_KEY_TTL_S = 0.1  # a sort key is reused for this long, unless a step is done
LASTING, ON_TIME, LATE, OVERDUE = -1, 0, 1, 2
# What a job that goes before another one has, by the element of the sort key.
ORDER_REASONS = (
    "lateness",
    "priority",
    "begun or within share",
    "less slack",
    "identifier",
)


def sort_jobs(state: PoolState, wall_s: float, now_s: float) -> list[LiveJob]:
    """Return the jobs that are not final, the most urgent first.

    Args:
        state: State of the pool.
        wall_s: Seconds since the epoch.
        now_s: Monotonic time, seconds.
    """
    jobs = [job for job in state.jobs.values() if not job.phase.final]
    stale = [job for job in jobs if wall_s - job.order_key_s >= ORDER_KEY_TTL_S]
    for job in stale:
        job.order_key = _order_key(state, job, wall_s, now_s)
        job.order_key_s = wall_s
    if stale and state.rules.gates.recent_shares:
        claims = [job.claim for job in jobs if job.claim is not None]
        if state.competition.divide(claims, free_cores(state), now_s):
            over = sorted(state.competition.over)
            state.note("shares", over=over, **_share_inputs(state, over))
    over = state.competition.over
    jobs.sort(key=lambda job: _sort_key(job, over))
    return jobs


def find_order_reason(state: PoolState, ahead: LiveJob, job: LiveJob) -> str:
    """Return why a job goes before another one, by their last sort keys."""
    over = state.competition.over
    keys = zip(_sort_key(ahead, over), _sort_key(job, over), strict=True)
    index = next((at for at, (one, other) in enumerate(keys) if one != other), -1)
    if index == 3 and job.order_key[0] == LASTING:
        return "accepted earlier"
    return ORDER_REASONS[index]


def _sort_key(job: LiveJob, over: frozenset[str]) -> tuple:
    lateness, priority, not_started, *rest = job.order_key
    # Within a priority, late jobs that have started go before those that have not,
    # and a team over its share finishes the jobs that it has started but starts no
    # more while other teams have jobs that can be on time.
    deferred = not_started and (lateness > ON_TIME or job.job.team in over)
    return (lateness, priority, deferred, *rest)


def _share_inputs(state: PoolState, over: list[str]) -> dict:
    used = state.competition.recent.core_s
    return {
        "core_s": [round(used.get(team, 0.0), 1) for team in over],
        "all_core_s": round(sum(used.values()), 1),
        "teams": len(used),
    }


def critical_path_s(
    state: PoolState, job: LiveJob, occurrence: int, open_only: bool
) -> float:
    """Return the expected duration of the critical path of an occurrence, seconds.

    Args:
        state: State of the pool.
        job: Job of the occurrence.
        occurrence: Number of the occurrence.
        open_only: True to count only the steps that are not done.
    """
    open_steps = job.open_steps.get(occurrence, set())
    ends: list[float] = []
    for number, step in enumerate(job.job.steps):
        start = max((ends[other] for other in step.after if other < number), default=0)
        length = expected_length_s(state, job, occurrence, number)
        if open_only and number not in open_steps:
            length = 0.0
        ends.append(start + length)
    return max(ends, default=0.0)


def objective_s(state: PoolState, job: LiveJob, occurrence: int) -> float:
    """Return the time within which an occurrence counts as on time, seconds."""
    terms = job.job.terms
    return (
        terms.stretch * critical_path_s(state, job, occurrence, False) + terms.target_s
    )


def is_late(job: LiveJob) -> bool:
    """Return True if a job was late when its sort key was last computed."""
    return bool(job.order_key) and job.order_key[0] > ON_TIME


def _order_key(state: PoolState, job: LiveJob, wall_s: float, now_s: float) -> tuple:
    priority = job.job.terms.priority
    if any(step.lasting for step in job.job.steps):
        job.claim = None
        return (LASTING, priority, False, job.job.accepted_s, job.job.job_id)
    occurrence = min(job.expanded, default=0)
    due_s = job.due_s(occurrence)
    objective = objective_s(state, job, occurrence)
    remaining_s = critical_path_s(state, job, occurrence, True)
    margin_s = remaining_s * ESTIMATE_MARGIN_FACTOR + CHAIN_OVERHEAD_S
    job.begin_by_s = due_s + objective - margin_s
    if wall_s <= job.begin_by_s:
        lateness = ON_TIME
    elif wall_s + remaining_s <= due_s + MAX_LATE_FACTOR * objective:
        lateness = LATE
    else:
        lateness = OVERDUE
    slack = due_s + objective - remaining_s
    job.claim = job_claim(state, job, lateness == ON_TIME, now_s)
    not_started = job.phase is not Phase.RUNNING
    return (lateness, priority, not_started, slack, job.job.job_id)
