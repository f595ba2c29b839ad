"""The dispatcher of long jobs: one node at a time starts and follows them."""

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
from .attempt_ends import AttemptEnds, controls_of
from .claim import Claim
from .follower import Follower
from .job_commits import JobCommits
from .job_feed import JobFeed
from .job_ledger import JobLedger
from .job_reader import JobReader
from .job_records import JobRecords, Update, job_of
from .job_relief import JobRelief
from .job_starter import JobStarter
from .task import Task
from .task_follower import Attempt, TaskFollower

PERIOD_S = 0.25
WORKER_CALLS = 64
LEARN_JOBS = 500
GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class DispatcherPorts:
    """What a dispatcher asks of the rest of the node.

    Attributes:
        drain_time: When a worker leaves for maintenance, seconds since the
            epoch, or None.
        pressure: Urgent work that waits for a pool, as a part of what it holds.
        store_lost_everywhere: True while every node is known to be without the
            store, so that none can have taken this node's claim.
        grace_s: Longest time for which ``store_lost_everywhere`` may lag the truth.
        pause: Lets the rest of the node run between two decisions.
    """

    drain_time: DrainTime = lambda _worker_id: None
    pressure: Callable[[str], float] = lambda _pool: 0.0
    store_lost_everywhere: Callable[[], bool] = lambda: False
    grace_s: float = GAP_S
    pause: Callable[[], None] = lambda: None


class Dispatcher(Task):
    """Starts queued jobs and follows running ones while it holds the claim.

    Every decision is made from the store's records alone, so that the next
    holder goes on from wherever this one was. Every write is conditional on
    the claim and on the job's revision.

    Args:
        claim: The claim of the dispatcher.
        records: Job records in the store.
        feed: Changes of the records.
        ledger: Grant records of the teams.
        follower: Source of the configuration and of this node's standing.
        tasks: Exchanges with workers.
        ports: What else the dispatcher asks of the node.
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
        tasks: TaskFollower,
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
        self.seen_s = float("-inf")
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
        self.relief = JobRelief(tasks, follower, self._attempt, ports.pressure)
        self.ends = AttemptEnds(tasks, follower, ports.drain_time, wall_clock)

    @property
    def config(self) -> Configuration:
        """The configuration in force on this node."""
        return self.follower.config

    def step(self) -> None:
        """Do one round: renew, read, follow, settle, start."""
        self._note_outage()
        try:
            if not self.claim.keep():
                return
            if self.term != self.claim.revision:
                self._take_over()
            self.reader.read(self.dispatch)
            self._follow()
            self._settle()
            self.starter.start(self.dispatch)
        except StoreError:
            # What runs, runs on; nothing is started or requeued.
            self._follow()
            raise

    def finish(self) -> None:
        """Hand over at once."""
        self.feed.stop()
        try:
            self.claim.release()
        except StoreError:
            return

    def may_renew(self) -> bool:
        """Tell whether this node may start or renew tasks at this moment.

        It may while its claim surely holds. It may go on once the store is
        gone for every node, as long as that has been so without a gap since
        the claim held: then nobody can have taken it.
        """
        self._note_outage()
        return self.claim.holds() or self.outage

    def waiting(self) -> Counter:
        """Return the units that wait, by team and class; empty on other nodes."""
        counts: Counter = Counter()
        if self.claim.holds():
            for job in self.dispatch.queue.jobs():
                counts[job.team, job.spec.work_class] += job.spec.gang
        return counts

    def _note_outage(self) -> None:
        now = self.clock()
        gone = self.ports.store_lost_everywhere()
        unbroken = now - self.seen_s < self.ports.grace_s
        held = self.claim.holds()
        self.outage = gone and (held or (self.outage and unbroken))
        self.seen_s = now

    def _take_over(self) -> None:
        self.dispatch = Dispatch(self.clock())
        self.tasks.forget_all()
        self.relief.forget_all()
        self.feed.stop()
        ended = self.records.store.range(ENDED_PREFIX, "", LEARN_JOBS).entries
        for entry in ended:
            self._learn(job_of(entry))
        self.ledger.refresh(force=True)
        self.term = self.claim.revision

    def _follow(self) -> None:
        by_worker: dict[str, list[Attempt]] = {}
        for live in self.dispatch.running.values():
            attempt = self._attempt(live.job)
            for worker_id in live.job.workers:
                if not attempt.ended_on(worker_id):
                    by_worker.setdefault(worker_id, []).append(attempt)
        self.tasks.sync_due(by_worker, self._controls(by_worker))
        for live in self.dispatch.running.values():
            live.reported_usage = _reported_usage(live, self._attempt(live.job))

    def _attempt(self, job: Job) -> Attempt:
        return self.tasks.adopt(job, self.claim.claimed_s, self.ports.grace_s)

    def _controls(self, worker_ids) -> dict[str, str]:
        return controls_of(self.config, worker_ids)

    def _settle(self) -> None:
        self.relief.step(self.dispatch)
        updates = []
        for live in list(self.dispatch.running.values()):
            relief = self.relief.of(live.job)
            attempt = self._attempt(live.job)
            after = self.ends.next_state(self.dispatch, live.job, attempt, relief)
            if after is not None:
                updates.append(Update(live.job, live.revision, after))
        for update in self.commits.record(self.dispatch, updates):
            self._note_end(update)
        self.tasks.forget_others(
            (live.job.job_id, live.job.attempt)
            for live in self.dispatch.running.values()
        )

    def _note_end(self, update: Update) -> None:
        job = update.before
        for worker_id in job.workers:
            if update.after.state is JobState.DONE:
                if self.dispatch.quarantine.succeeded(worker_id):
                    log(Event.WORKER_TRUSTED, worker=worker_id)
            else:
                self.dispatch.quarantine.record_no_result(worker_id, job.job_id)
        self._learn(update.after)
        self.relief.forget(job)

    def _learn(self, job: Job) -> None:
        if job.state is JobState.DONE:
            self.dispatch.estimator.observe(job)


def open_dispatcher(
    records: JobRecords,
    follower: Follower,
    settings: JobSettings,
    ports: DispatcherPorts,
) -> Dispatcher:
    """Return the dispatcher of a node, with all that belongs to it."""
    store, clock = records.store, records.clock
    claim = Claim(
        store,
        settings.claim_s,
        settings.look_s,
        ports.grace_s,
        follower.may_accept,
        clock,
    )
    tasks = TaskFollower(HttpWorkerControl(), settings.lease_s, clock, run_side_by_side)
    return Dispatcher(
        claim,
        records,
        JobFeed(store, clock),
        JobLedger(store, clock),
        follower,
        tasks,
        ports,
        PERIOD_S,
        time.time,
    )


def run_side_by_side(calls: list[Callable[[], None]]) -> None:
    """Run calls in greenlets, a bounded number at a time, until all have ended."""
    pool = Pool(WORKER_CALLS)
    for call in calls:
        pool.spawn(call)
    pool.join()


def _reported_usage(live: ActiveJob, attempt: Attempt) -> Usage | None:
    reports = [item for item in attempt.reports.values() if item.memory_mb]
    if not reports:
        return live.reported_usage
    return Usage(
        max(item.cpus for item in reports),
        max(item.memory_mb for item in reports),
        live.job.spec.accelerators,
    )
