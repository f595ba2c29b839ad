"""Dispatcher of long jobs: one node at a time starts and monitors them."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from gevent.pool import Pool

from heatherhatch_core.coordination.active_job import ActiveJob
from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.placement import DrainTime
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.jobs import (
    ENDED_PREFIX,
    Job,
    JobState,
    Usage,
)

from ..events import Event, log
from ..settings import JobSettings
from ..transport.workers import HttpWorkerControl
from .attempt_ends import AttemptEnds, control_addresses
from .claim import Claim
from .follower import Follower
from .job_commits import JobCommits
from .job_feed import JobFeed
from .job_ledger import JobLedger
from .job_preemption import JobPreemption
from .job_reader import JobReader
from .job_records import JobRecords, Update, job_of
from .job_starter import JobStarter
from .task import Task
from .task_monitor import Attempt, TaskMonitor

DISPATCH_PERIOD_S = 0.25
MAX_WORKER_CALLS = 64
MAX_LEARNED_JOBS = 500
STORE_LOST_GRACE_S = 2.0


@dataclass(frozen=True, slots=True)
class DispatcherPorts:
    """Functions of the rest of the node that a dispatcher calls.

    Attributes:
        drain_time: Returns when a worker must be drained for maintenance, seconds
            since the epoch, or None.
        pressure: Returns the urgent work that waits for a pool, as a fraction of
            the pool's capacity.
        store_lost_everywhere: Returns True while every node is known to have lost
            the store, so that none can have acquired this node's claim.
        grace_s: Maximum seconds by which ``store_lost_everywhere`` may be out of
            date.
        pause: Yields to the other greenlets of the node between two decisions.
    """

    drain_time: DrainTime = lambda _worker_id: None
    pressure: Callable[[str], float] = lambda _pool: 0.0
    store_lost_everywhere: Callable[[], bool] = lambda: False
    grace_s: float = STORE_LOST_GRACE_S
    pause: Callable[[], None] = lambda: None


class Dispatcher(Task):
    """Starts queued jobs and monitors running ones while it holds the claim.

    Every decision is based on the records in the store alone, so that the next
    holder can continue wherever this one stopped. Every write is conditional on
    the claim and on the job's revision.

    Args:
        claim: The claim of the dispatcher.
        records: Job records in the store.
        feed: Watch on the job records.
        ledger: Grant records of the teams.
        follower: Source of the configuration and of this node's standing.
        tasks: Exchanges messages with workers about running tasks.
        ports: Functions of the rest of the node.
        period_s: Seconds between two rounds.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        claim: Claim,
        records: JobRecords,
        feed: JobFeed,
        ledger: JobLedger,
        follower: Follower,
        tasks: TaskMonitor,
        ports: DispatcherPorts,
        period_s: float,
        wall_clock: Callable[[], float],
    ):
        super().__init__("dispatcher", period_s, claim.clock)
        self.claim = claim
        self.records = records
        self.feed = feed
        self.ledger = ledger
        self.follower = follower
        self.tasks = tasks
        self.ports = ports
        self.wall_clock = wall_clock
        self.dispatch = Dispatch(claim.clock())
        self.term = 0
        self.outage = False
        self.outage_checked_s = float("-inf")
        self.tasks.may_renew = self.may_renew
        self.reader = JobReader(records, feed)
        self.commits = JobCommits(claim, records, ledger, follower)
        self.starter = JobStarter(
            self.commits,
            follower,
            tasks,
            self._attempt,
            ports.drain_time,
            wall_clock,
            ports.pause,
        )
        self.preemption = JobPreemption(tasks, follower, self._attempt, ports.pressure)
        self.ends = AttemptEnds(tasks, follower, ports.drain_time, wall_clock)

    @property
    def config(self) -> Configuration:
        """Configuration in force on this node."""
        return self.follower.config

    def step(self) -> None:
        """Run one round.

        Renew the claim, read the changes of jobs, sync with the workers, record
        the ends of attempts and start jobs.
        """
        self._update_outage()
        try:
            if not self.claim.renew_or_acquire():
                return
            if self.term != self.claim.revision:
                self._begin_term()
            self.reader.read(self.dispatch)
            self._sync_tasks()
            self._end_attempts()
            self.starter.start(self.dispatch)
        except StoreError:
            # Running tasks are still renewed, but nothing is started or requeued.
            self._sync_tasks()
            raise

    def finish(self) -> None:
        """Release the claim, so that another node can acquire it immediately."""
        self.feed.stop()
        try:
            self.claim.release()
        except StoreError:
            return

    def may_renew(self) -> bool:
        """Return whether this node may start or renew tasks now.

        It may while its claim is certainly valid. It may continue while every
        node has lost the store, if that has been so without interruption since
        the claim was valid, because then no node can have acquired the claim.
        """
        self._update_outage()
        return self.claim.holds() or self.outage

    def waiting(self) -> Counter:
        """Return the waiting units by team and class of work.

        The result is empty on nodes that do not hold the claim.
        """
        counts: Counter = Counter()
        if self.claim.holds():
            for job in self.dispatch.queue.jobs():
                counts[job.team, job.spec.work_class] += job.spec.gang
        return counts

    def _update_outage(self) -> None:
        now = self.clock()
        store_lost = self.ports.store_lost_everywhere()
        is_continuous = now - self.outage_checked_s < self.ports.grace_s
        holds_claim = self.claim.holds()
        self.outage = store_lost and (holds_claim or (self.outage and is_continuous))
        self.outage_checked_s = now

    def _begin_term(self) -> None:
        self.dispatch = Dispatch(self.clock())
        self.tasks.forget_all()
        self.preemption.forget_all()
        self.feed.stop()
        ended = self.records.store.range(ENDED_PREFIX, "", MAX_LEARNED_JOBS).entries
        for entry in ended:
            self._learn(job_of(entry))
        self.ledger.refresh(force=True)
        self.term = self.claim.revision

    def _sync_tasks(self) -> None:
        by_worker: dict[str, list[Attempt]] = {}
        for active_job in self.dispatch.running.values():
            attempt = self._attempt(active_job.job)
            for worker_id in active_job.job.workers:
                if not attempt.ended_on(worker_id):
                    by_worker.setdefault(worker_id, []).append(attempt)
        self.tasks.sync_due(by_worker, self._addresses_of(by_worker))
        for active_job in self.dispatch.running.values():
            active_job.reported_usage = _reported_usage(
                active_job, self._attempt(active_job.job)
            )

    def _attempt(self, job: Job) -> Attempt:
        return self.tasks.adopt(job, self.claim.claimed_s, self.ports.grace_s)

    def _addresses_of(self, worker_ids) -> dict[str, str]:
        return control_addresses(self.config, worker_ids)

    def _end_attempts(self) -> None:
        self.preemption.step(self.dispatch)
        updates = []
        for active_job in list(self.dispatch.running.values()):
            preemption = self.preemption.preemption_of(active_job.job)
            attempt = self._attempt(active_job.job)
            after = self.ends.next_state(
                self.dispatch, active_job.job, attempt, preemption
            )
            if after is not None:
                updates.append(Update(active_job.job, active_job.revision, after))
        for update in self.commits.record(self.dispatch, updates):
            self._record_end(update)
        self.tasks.keep_only(
            (active_job.job.job_id, active_job.job.attempt)
            for active_job in self.dispatch.running.values()
        )

    def _record_end(self, update: Update) -> None:
        job = update.before
        for worker_id in job.workers:
            if update.after.state is JobState.DONE:
                if self.dispatch.quarantine.succeeded(worker_id):
                    log(Event.WORKER_TRUSTED, worker=worker_id)
            else:
                self.dispatch.quarantine.record_no_result(worker_id, job.job_id)
        self._learn(update.after)
        self.preemption.forget(job)

    def _learn(self, job: Job) -> None:
        if job.state is JobState.DONE:
            self.dispatch.estimator.observe(job)


def open_dispatcher(
    records: JobRecords,
    follower: Follower,
    settings: JobSettings,
    ports: DispatcherPorts,
) -> Dispatcher:
    """Return a dispatcher together with the objects that it uses."""
    store, clock = records.store, records.clock
    claim = Claim(
        store,
        settings.claim_s,
        settings.look_s,
        ports.grace_s,
        follower.may_accept,
        clock,
    )
    tasks = TaskMonitor(HttpWorkerControl(), settings.lease_s, clock, run_concurrently)
    return Dispatcher(
        claim,
        records,
        JobFeed(store, clock),
        JobLedger(store, clock),
        follower,
        tasks,
        ports,
        DISPATCH_PERIOD_S,
        time.time,
    )


def run_concurrently(calls: list[Callable[[], None]]) -> None:
    """Run calls in greenlets, a bounded number at a time, and wait for all."""
    pool = Pool(MAX_WORKER_CALLS)
    for call in calls:
        pool.spawn(call)
    pool.join()


def _reported_usage(active_job: ActiveJob, attempt: Attempt) -> Usage | None:
    reports = [item for item in attempt.reports.values() if item.memory_mb]
    if not reports:
        return active_job.reported_usage
    return Usage(
        max(item.cpus for item in reports),
        max(item.memory_mb for item in reports),
        active_job.job.spec.accelerators,
    )
