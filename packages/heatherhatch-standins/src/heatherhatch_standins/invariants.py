"""Checks of the invariants against recorded changes, requests and starts.

State machines, end-to-end tests and the demo all use these functions. Each function
returns one message for each violation.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from heatherhatch_core.state.changes import Change, apply_change
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Team, WorkerState

from .ledger import Start

LEAVING_GRACE_S = 3.0
INVOLUNTARY_STATES = (WorkerState.FAILED, WorkerState.LOST)


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that a caller sent and the last answer to it.

    Attributes:
        request_id: Unique id of the request; retries use the same id.
        idempotent: True if its class of work is idempotent.
        body: Body of the request, which the backend server has to return.
        status: HTTP status of the last answer, 0 if there was none.
        answered_id: Request id in the answer.
        answer: Body of the answer.
        not_run: True if the answer says that the request was not run.
        unanswered: Earlier attempts whose connection broke without an answer.
    """

    request_id: str
    idempotent: bool
    body: bytes
    status: int
    answered_id: str
    answer: bytes
    not_run: bool
    unanswered: int = 0


@dataclass(frozen=True, slots=True)
class Interval:
    """A time span in which a worker must not get new work.

    Attributes:
        worker_id: Id of the worker.
        start_s, end_s: Start and end of the span, in seconds since the epoch.
    """

    worker_id: str
    start_s: float
    end_s: float


def configurations(changes: Iterable[Change]) -> Iterator[Configuration]:
    """Yield the configuration after each change of a complete log."""
    config = Configuration()
    for change in changes:
        config = apply_change(config, change)
        yield config


def budget_violations(changes: Iterable[Change]) -> list[str]:
    """Check that no voluntary change took a pool below its availability budget."""
    found = []
    config = Configuration()
    for change in changes:
        before = config
        config = apply_change(config, change)
        if _is_involuntary(change):
            continue
        for pool in config.pools.values():
            serving = len(config.serving_workers(pool.name))
            served_before = len(before.serving_workers(pool.name))
            if pool.name in before.pools and serving < min(
                served_before, pool.min_available
            ):
                found.append(
                    f"change {change.seq}: pool {pool.name} has {serving}"
                    f" of {pool.min_available}"
                )
    return found


def one_pool_violations(changes: Iterable[Change]) -> list[str]:
    """Check that after each change every worker is in exactly one existing pool."""
    return [
        f"change {config.seq}: worker {name} is in pool {config.pool_of(name)!r}"
        for config in configurations(changes)
        for name in config.workers
        if config.pool_of(name) not in config.pools
    ]


def limit_violations(peaks: Mapping[str, int], teams: Iterable[Team]) -> list[str]:
    """Check that no team ever had more requests running than its limit.

    Args:
        peaks: Peak number of concurrent units, by team.
        teams: Teams with limits that were in force for the whole record.
    """
    return [
        f"team {team.name}: {peaks[team.name]} running, limit {team.limit}"
        for team in teams
        if peaks.get(team.name, 0) > team.limit
    ]


def answer_violations(sent: Iterable[Sent]) -> list[str]:
    """Check that each caller got the complete answer to its own request."""
    return [
        f"request {item.request_id}: got the answer to {item.answered_id!r},"
        f" {len(item.answer)} bytes, expected {len(item.body)}"
        for item in sent
        if item.status == 200
        and (item.answer != item.body or item.answered_id != item.request_id)
    ]


def refusal_violations(sent: Iterable[Sent], starts: Iterable[Start]) -> list[str]:
    """Check that requests that were refused as not run did not run.

    For a request with an idempotency key the refusal covers all attempts. Only
    idempotent requests are sent without a key. For them the refusal covers its own
    attempt: an earlier attempt whose answer was lost may have run.
    """
    ran = Counter(start.request_id for start in starts)
    return [
        f"request {item.request_id}: refused as not run, but ran"
        f" (idempotent {item.idempotent}, status {item.status},"
        f" {item.unanswered} attempts without an answer)"
        for item in sent
        if item.not_run
        and ran[item.request_id] > (item.unanswered if item.idempotent else 0)
    ]


def duplicate_run_violations(
    sent: Iterable[Sent], starts: Iterable[Start]
) -> list[str]:
    """Check that each non-idempotent request ran at most once."""
    counts = Counter(start.request_id for start in starts)
    return [
        f"request {item.request_id}: ran {counts[item.request_id]} times"
        for item in sent
        if not item.idempotent and counts[item.request_id] > 1
    ]


def leaving_violations(
    starts: Iterable[Start], worker_of: Mapping[str, str], away: Iterable[Interval]
) -> list[str]:
    """Check that no backend server got new work after its worker stopped serving.

    Starts in the first `LEAVING_GRACE_S` seconds are allowed.

    Args:
        starts: Starts of requests at backend servers.
        worker_of: Worker id by name of the backend server.
        away: Spans in which workers did not serve.
    """
    spans: dict[str, list[Interval]] = {}
    for item in away:
        spans.setdefault(item.worker_id, []).append(item)
    found = []
    for start in starts:
        for item in spans.get(worker_of.get(start.backend, ""), ()):
            if item.start_s + LEAVING_GRACE_S < start.at_s < item.end_s:
                late = start.at_s - item.start_s
                found.append(
                    f"{item.worker_id}: new work {late:.1f} s after it stopped serving"
                )
    return found


def away_intervals(changes: Iterable[Change]) -> list[Interval]:
    """Return the spans in which workers did not serve, from a complete log."""
    since: dict[str, float] = {}
    found = []
    for change in changes:
        for item in change.edit.assignments:
            if item.state is not WorkerState.SERVING:
                since.setdefault(item.worker_id, change.at_s)
            elif item.worker_id in since:
                start = since.pop(item.worker_id)
                found.append(Interval(item.worker_id, start, change.at_s))
    found += [Interval(name, start, float("inf")) for name, start in since.items()]
    return found


def job_violations(starts: Iterable[tuple[str, int]], done: Iterable[str]) -> list[str]:
    """Check that no attempt of a job was started twice and all done jobs were started.

    Args:
        starts: Job id and attempt number of each start at a worker.
        done: Ids of the acknowledged jobs that are recorded as done.
    """
    counts = Counter(starts)
    found = [
        f"job {job_id}: attempt {attempt} started {count} times"
        for (job_id, attempt), count in counts.items()
        if count > 1
    ]
    started = {job_id for job_id, _ in counts}
    found += [f"job {job_id}: done but never started" for job_id in set(done) - started]
    return found


def _is_involuntary(change: Change) -> bool:
    return any(item.state in INVOLUNTARY_STATES for item in change.edit.assignments)
