"""The dispatcher of long jobs: one node at a time starts and follows them."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from gevent.pool import Pool

from heatherhatch_core.coordination import attempts
from heatherhatch_core.coordination.dispatch import Dispatch, Live, Start
from heatherhatch_core.coordination.placement import LeavingAt
from heatherhatch_core.coordination.relief import (
    THROTTLED_SHARE,
    Level,
    PoolRelief,
)
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.jobs import (
    ENDED_PREFIX,
    JOBS_PREFIX,
    Job,
    JobState,
    Usage,
)

from ..events import Event, log
from ..settings import JobSettings
from ..transport.store import Transaction
from ..transport.workers import HttpWorkerControl, TaskReport, TaskState
from .attempt_ends import AttemptEnds, controls_of
from .claim import Claim
from .follower import Follower
from .job_feed import JobFeed
from .job_ledger import JobLedger
from .job_records import BATCH_JOBS, PAGE_JOBS, JobRecords, Update, job_of
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
        leaving_at: When a worker leaves for maintenance, seconds since the
            epoch, or None.
        pressure: Urgent work that waits for a pool, as a part of what it holds.
        store_gone: True while every node is known to be without the store, so
            that none can have taken this node's claim.
        grace_s: Longest time for which ``store_gone`` may lag the truth.
    """

    leaving_at: LeavingAt = lambda _worker_id: None
    pressure: Callable[[str], float] = lambda _pool: 0.0
    store_gone: Callable[[], bool] = lambda: False
    grace_s: float = GAP_S


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
        self.relief: dict[str, PoolRelief] = {}
        self.throttled: set[str] = set()
        self.tasks.may_renew = self.may_renew
        self.ends = AttemptEnds(tasks, follower, ports.leaving_at, wall_clock)

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
            self._read()
            self._follow()
            self._settle()
            self._start()
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
        gone = self.ports.store_gone()
        unbroken = now - self.seen_s < self.ports.grace_s
        held = self.claim.holds()
        self.outage = gone and (held or (self.outage and unbroken))
        self.seen_s = now

    def _take_over(self) -> None:
        self.dispatch = Dispatch(self.clock())
        self.tasks.forget_all()
        self.throttled.clear()
        self.feed.stop()
        ended = self.records.store.range(ENDED_PREFIX, "", LEARN_JOBS).entries
        for entry in ended:
            self._learn(job_of(entry))
        self.ledger.refresh(force=True)
        self.term = self.claim.revision

    def _read(self) -> None:
        if self.feed.must_list:
            self._list()
        for event in self.feed.take():
            job_id = event.entry.key.removeprefix(JOBS_PREFIX)
            if event.deleted:
                self.dispatch.drop(job_id)
            else:
                self.dispatch.put(job_of(event.entry), event.entry.revision)

    def _list(self) -> None:
        # A record written between two pages is seen again by the watch, which
        # starts from the first page's revision.
        first = self.records.store.range(JOBS_PREFIX, "", PAGE_JOBS)
        entries = list(first.entries)
        if len(entries) == PAGE_JOBS:
            for page in self.records.pages(JOBS_PREFIX, entries[-1].key):
                entries += page
        listed = {entry.key.removeprefix(JOBS_PREFIX): entry for entry in entries}
        for job_id in self.dispatch.live.keys() - listed.keys():
            self.dispatch.drop(job_id)
        for entry in entries:
            self.dispatch.put(job_of(entry), entry.revision)
        self.feed.watch_from(first.revision)

    def _follow(self) -> None:
        by_worker: dict[str, list[Attempt]] = {}
        for live in self.dispatch.running.values():
            attempt = self._attempt(live.job)
            for worker_id in live.job.workers:
                if not attempt.ended_on(worker_id):
                    by_worker.setdefault(worker_id, []).append(attempt)
        self.tasks.sync_due(by_worker, self._controls(by_worker))
        for live in self.dispatch.running.values():
            live.seen = _seen(live, self._attempt(live.job))

    def _attempt(self, job: Job) -> Attempt:
        return self.tasks.adopt(job, self.claim.claimed_s, self.ports.grace_s)

    def _controls(self, worker_ids) -> dict[str, str]:
        return controls_of(self.config, worker_ids)

    def _settle(self) -> None:
        self._relieve()
        updates = []
        for live in list(self.dispatch.running.values()):
            relief = self.relief.get(self._pool_of(live.job), PoolRelief())
            attempt = self._attempt(live.job)
            after = self.ends.next_state(self.dispatch, live.job, attempt, relief)
            if after is not None:
                updates.append(Update(live.job, live.revision, after))
        for update in self._commit_all(updates):
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
                self.dispatch.quarantine.left(worker_id, job.job_id)
        self._learn(update.after)
        self.throttled.discard(job.job_id)

    def _learn(self, job: Job) -> None:
        if job.state is JobState.DONE:
            self.dispatch.estimator.observe(job)

    def _relieve(self) -> None:
        now = self.clock()
        for pool in self.config.pools:
            before = self.relief.get(pool, PoolRelief())
            after = before.step(self.ports.pressure(pool), now)
            self.relief[pool] = after
            if after.level is not before.level:
                log(Event.JOBS_RELIEVED, pool=pool, level=after.level.value)
        self.dispatch.held_pools = frozenset(
            pool for pool, item in self.relief.items() if item.level is not Level.NONE
        )
        for live in list(self.dispatch.running.values()):
            self._throttle(live.job)

    def _throttle(self, job: Job) -> None:
        level = self.relief.get(self._pool_of(job), PoolRelief()).level
        wanted = level is not Level.NONE
        if wanted == (job.job_id in self.throttled):
            return
        attempt = self._attempt(job)
        share = THROTTLED_SHARE if wanted else 1.0
        controls = self._controls(job.workers).values()
        arrived = [self.tasks.throttle(attempt, item, share) for item in controls]
        if not all(arrived):
            return
        if wanted:
            self.throttled.add(job.job_id)
        else:
            self.throttled.discard(job.job_id)

    def _pool_of(self, job: Job) -> str:
        work_class = self.config.classes.get(job.spec.work_class)
        return work_class.pool if work_class is not None else ""

    def _start(self) -> None:
        if not self.dispatch.queue or not self.follower.has_standing():
            return
        self.ledger.refresh()
        starts = self.dispatch.starts(
            self.config,
            self.ports.leaving_at,
            self._usable,
            self.clock(),
            self.wall_clock(),
        )
        able = [item for item in starts if self._has_readings(item)]
        for item in starts:
            if item not in able:
                self._not_started(item.job.job_id, item.workers)
        now = self.wall_clock()
        updates = []
        for item in able:
            revision = self.dispatch.live[item.job.job_id].revision
            after = attempts.start(item.job, item.workers, now)
            updates.append(Update(item.job, revision, after))
        recorded = self._commit_all(updates)
        kept = {update.after.job_id for update in recorded}
        for update in updates:
            if update.after.job_id not in kept:
                self._not_started(update.after.job_id, update.after.workers)
        self.tasks.run_all(
            [lambda job=update.after: self._send(job) for update in recorded]
        )
        self._say_stuck()

    def _usable(self, team: str) -> int:
        return self.ledger.usable(self.config, team)

    def _has_readings(self, start: Start) -> bool:
        controls = self._controls(start.workers)
        for worker_id in start.workers:
            known = self.tasks.known.get(worker_id)
            if known and self.clock() - known.answered_s < self.tasks.lease_s:
                continue
            if not self.tasks.sync(worker_id, controls[worker_id], []):
                self.dispatch.note_silent(worker_id, self.clock())
                return False
        return True

    def _not_started(self, job_id: str, workers: tuple[str, ...]) -> None:
        for worker_id in workers:
            self.dispatch.quarantine.left(worker_id, job_id)

    def _send(self, job: Job) -> None:
        attempt = self._attempt(job)
        controls = self._controls(job.workers)
        for worker_id in job.workers:
            if not self.tasks.start(job, worker_id, controls[worker_id]):
                self.dispatch.note_silent(worker_id, self.clock())
                # The round that follows ends the attempt everywhere.
                report = TaskReport(job.job_id, job.attempt, TaskState.UNKNOWN)
                attempt.note(worker_id, report)
                return

    def _say_stuck(self) -> None:
        updates = []
        for job, text in self.dispatch.stuck(self.config):
            detail = f"can't run: {text}"
            if job.detail != detail and len(updates) < BATCH_JOBS:
                revision = self.dispatch.live[job.job_id].revision
                after = attempts.requeue(job, detail)
                updates.append(Update(job, revision, after))
        self._commit_all(updates)

    def _commit_all(self, updates: list[Update]) -> list[Update]:
        """Record updates and return those that took effect."""
        done: list[Update] = []
        teams: dict[str, list[Update]] = {}
        for update in updates:
            teams.setdefault(update.before.team, []).append(update)
        for team, items in teams.items():
            for first in range(0, len(items), BATCH_JOBS):
                done += self._commit(team, items[first : first + BATCH_JOBS])
        return done

    def _commit(self, team: str, updates: list[Update]) -> list[Update]:
        delta = sum(item.after.units - item.before.units for item in updates)
        try:
            expects, puts = self.ledger.change(self.config, team, delta)
        except HeatherhatchError:
            expects = None
        if expects is not None:
            expects = (self.claim.expect, *expects)
            transaction = self.records.transaction(updates, expects, puts)
            if self._transact(transaction, updates, puts):
                return updates
        # One stale record is enough to fail all, so halves are tried apart.
        self.ledger.refresh(force=True)
        if len(updates) == 1:
            return []
        half = len(updates) // 2
        first = self._commit(team, updates[:half])
        return first + self._commit(team, updates[half:])

    def _transact(self, transaction: Transaction, updates, puts) -> bool:
        outcome = self.records.store.transact(transaction)
        if not outcome.succeeded:
            return False
        self.ledger.written(puts, outcome.revision)
        for update in updates:
            if update.after.ended:
                self.dispatch.drop(update.after.job_id)
            else:
                self.dispatch.put(update.after, outcome.revision)
        return True


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


def _seen(live: Live, attempt: Attempt) -> Usage | None:
    reports = [item for item in attempt.reports.values() if item.memory_mb]
    if not reports:
        return live.seen
    return Usage(
        max(item.cpus for item in reports),
        max(item.memory_mb for item in reports),
        live.job.spec.accelerators,
    )
