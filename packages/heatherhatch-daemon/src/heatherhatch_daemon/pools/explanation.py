"""Explains to operators where a job would go now, and why, without sending it.

The scheduler of the pool is built from the records in the store as a new holder builds
it. Nothing is written.
"""

from dataclasses import dataclass

from heatherhatch_core.codec import decode_json
from heatherhatch_core.coordination.competition.rejection import MAX_REPORT_AGE_S
from heatherhatch_core.coordination.scheduler.explanation import (
    JobExplanation,
    explain_job,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.work import Job, Schedule, Step

from ..transport.store import PolledStore
from .arrival_check import ArrivalCheck
from .callers import Caller
from .clock import now_s, wall_s
from .fleet_records import PoolReport
from .keys import claim_key, pool_role, report_key
from .ports import OperatorRecords
from .scheduler_copy import ReadOnlyStore, load_scheduler

JOB_ID = "(new job)"  # no caller can choose it

UNKNOWN_SHARES = (
    "recent shares of the teams are in the holder's memory: a team over its share waits"
)
UNKNOWN_WORKERS = (
    "silent, quarantined and unhealthy workers are known to the holder only: each "
    "listed worker counts as sound"
)
UNKNOWN_RULES = "times of the settings file are taken to be the defaults"
UNKNOWN_PERMITS = "permits of the policy service are in the holder's memory"
FULL_RUNS = "without a recent report of the holder, each run counts as just begun"
NO_REPORT = "no recent report of the pool's holder: any job is accepted"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a job would go now, and why.

    Attributes:
        queue: Name of the queue.
        pool: Name of its pool.
        priority: Priority of the queue; 0 is the highest.
        stretch: Factor of the time objective.
        target_s: Time that the objective adds, seconds.
        attempts: Number of failed runs of a task after which the job fails.
        rejected: Why the job would be rejected on arrival; empty if it would not.
        retry_after_s: When a rejected caller is told to return, seconds.
        job: What the job can expect if it is accepted.
        notes: What is not known from outside, and records that cannot be read.
    """

    queue: str
    pool: str
    priority: int
    stretch: float
    target_s: float
    attempts: int
    rejected: str
    retry_after_s: float
    job: JobExplanation
    notes: tuple[str, ...]


class Explainer:
    """Explains one job.

    Args:
        store: The platform's store.
        records: Keys and decoders of the operators' and workers' records.
    """

    def __init__(self, store: PolledStore, records: OperatorRecords):
        self.store = ReadOnlyStore(store)
        self.records = records
        self.notes: list[str] = []

    def explain(
        self, queue: str, team: str, steps: tuple[Step, ...], schedule: Schedule
    ) -> Explanation:
        """Return where a job of a queue would go now, and why.

        Args:
            queue: Name of the queue.
            team: Name of the team that submits it; empty on a public queue.
            steps: Steps of the job.
            schedule: When they run.

        Raises:
            HeatherhatchError: ``NO_STANDING`` without a valid configuration,
                ``NOT_FOUND`` if it has no such queue or team, ``BAD_REQUEST`` if
                the queue needs a team.
            StoreError: If the store does not answer.
        """
        config = self._read_config()
        caller = _find_caller(config, queue, team)
        pool, terms = caller.queue.pool, caller.terms()
        wall = wall_s()
        job = Job(JOB_ID, queue, pool, team, "", steps, schedule, wall, terms)
        scheduler, problems = load_scheduler(self.store, self.records, config, pool)
        self.notes += problems
        report = self._read_report(pool)
        error = self._find_rejection(job, report)
        running = None
        if report is not None:
            running = sum(item.running for item in report.backlog.classes)
        else:
            self.notes.append(FULL_RUNS)
        self.notes += [UNKNOWN_SHARES, UNKNOWN_WORKERS, UNKNOWN_RULES]
        if caller.queue.permit_rules is not None:
            self.notes.append(UNKNOWN_PERMITS)
        scheduler.add_job(job, None, now_s())
        found = explain_job(scheduler.state, JOB_ID, now_s(), wall, running)
        return Explanation(
            queue,
            pool,
            terms.priority,
            terms.stretch,
            terms.target_s,
            terms.attempts,
            error.detail if error else "",
            round(error.retry_after_s or 0.0, 1) if error else 0.0,
            found,
            tuple(self.notes),
        )

    def _read_config(self) -> FleetConfiguration:
        entry = self.store.get(self.records.config_key)
        config = self.records.read_config(entry.value) if entry else None
        if config is None:
            raise HeatherhatchError(
                ErrorKind.NO_STANDING,
                f'"{self.records.config_key}" has no valid configuration',
            )
        return config

    def _read_report(self, pool: str) -> PoolReport | None:
        """Return the report of the pool's holder, if it is recent."""
        entry = self.store.get(report_key(pool))
        try:
            report = decode_json(entry.value, PoolReport) if entry else None
        except HeatherhatchError as error:
            self.notes.append(f'"{report_key(pool)}" cannot be read: {error.detail}')
            return None
        if report is None or abs(wall_s() - report.at_s) > MAX_REPORT_AGE_S:
            return None
        return report

    def _find_rejection(
        self, job: Job, report: PoolReport | None
    ) -> HeatherhatchError | None:
        """Return the answer that an instance would give instead of accepting a job."""
        claim = self.store.get(claim_key(pool_role(job.pool)))
        token = claim.revision if claim is not None else None
        if report is None or report.token != token:
            self.notes.append(NO_REPORT)
            return None
        check = ArrivalCheck(self.store, lambda _pool: token)
        check.note_report(report)
        return check.rejection(job)


def _find_caller(config: FleetConfiguration, queue: str, team: str) -> Caller:
    found = config.queue_named(queue)
    if found is None:
        raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no queue "{queue}"')
    if team and all(item.name != team for item in config.teams):
        raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no team "{team}"')
    if not team and not found.public:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, f'queue "{queue}" is not public: a team is needed'
        )
    return Caller(found, team)
