"""Pools of one team with a limit: real schedulers and grants, in virtual time."""

import random
from dataclasses import dataclass, field

from heatherhatch_core.coordination.scheduler import (
    Rules,
    Scheduler,
    StartOrder,
    StopOrder,
    WorkerInfo,
)
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import (
    FleetConfiguration,
    Pool,
    Queue,
    Team,
)
from heatherhatch_core.state.resources import NO_RESOURCES, Resources
from heatherhatch_core.state.work import Job, Schedule, Step, Terms
from heatherhatch_daemon.pools import (
    left_parts,
    limit_turns,
    limit_wait_log,
    part_targets,
)
from heatherhatch_daemon.pools.capacity import DEFAULT_CAPACITY
from heatherhatch_daemon.pools.fleet_records import as_part
from heatherhatch_daemon.pools.free_roles import FreeRoles
from heatherhatch_daemon.pools.left_parts import LeftParts
from heatherhatch_daemon.pools.pool_grants import PoolGrants
from heatherhatch_daemon.pools.record_watchers import PlanWatcher
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect
from pool_model import ModelWorker

TEAM = "red"
STEP_S = 0.05
POLL_S = 0.25  # an instance reads the grants of the others this often
CAPACITY = Resources(16_000, 16_000, 8)  # of each worker
CLAIM_KEY = "claims/pool/x"


@dataclass(slots=True)
class LimitedPool:
    """One pool with its scheduler, its workers and its part of the limit.

    Attributes:
        scheduler: The pool's scheduler.
        grants: Acquires and releases its part of the limit.
        workers: Workers by identifier.
        ends_s: When each run ends by itself, by task and number.
        held: True while nothing runs the pool.
    """

    scheduler: Scheduler
    grants: PoolGrants
    workers: dict[str, ModelWorker]
    ends_s: dict = field(default_factory=dict)
    held: bool = False


class LimitedPools:
    """Pools whose team has a limit, on two instances that read the store with a delay.

    Args:
        monkeypatch: Fixture of pytest.
        names: Names of the pools.
        limit: Limit of the team.
        seed: Seed of the order in which the pools act.
        workers: Workers of each pool.
        capacity: Capacity of each worker.

    Attributes:
        now_s: The time, seconds.
        bound: The limit, or the former one while runs from before still exceed it.
        exceeded: Uses of the team above that bound.
        waiting_s: How long each job has had nothing running while its team used under
            half of the limit, seconds.
        longest_idle_s: The longest such time of each job, seconds.
    """

    def __init__(
        self,
        monkeypatch,
        names,
        limit,
        seed=0,
        workers=3,
        capacity=CAPACITY,
    ):
        self.now_s = 1000.0
        self.random = random.Random(seed)
        self.roles = FreeRoles("n0", DEFAULT_CAPACITY)
        self.store = MemoryStore(lambda: 0.0)
        for module in (limit_turns, limit_wait_log, part_targets, left_parts):
            monkeypatch.setattr(module, "now_s", lambda: self.now_s)
        self.watchers = [PlanWatcher(self.store), PlanWatcher(self.store)]
        self.read_s = [0.0, 0.0]
        self.names = tuple(names)
        self.removed = frozenset()
        self.limit = self.bound = limit
        self.run_s = {}
        self.needs = {}
        self.exceeded = []
        self.waiting_s = {}
        self.longest_idle_s = {}
        self.pools = {
            name: self._pool(name, self.watchers[index % 2], workers, capacity)
            for index, name in enumerate(self.names)
        }
        self.configure(limit)

    def _pool(self, name, watcher, workers, capacity):
        scheduler = Scheduler(name, Rules(), self.now_s)
        grants = PoolGrants(
            self.store,
            watcher,
            name,
            lambda: Expect(CLAIM_KEY, 0),
            scheduler,
            LeftParts(self.roles, Rules().unfenced_s),
        )
        pool = LimitedPool(scheduler, grants, {})
        for number in range(workers):
            info = WorkerInfo(
                f"{name}-{number}",
                f"m-{name}-{number}",
                name,
                capacity=capacity,
                born_ms=1,
                data_centre="dc",
            )
            pool.workers[info.worker_id] = ModelWorker(info)
            scheduler.update_worker(info, self.now_s)
        return pool

    def replace_holder(self, name):
        """Let a new holder restore a pool from its stored jobs."""
        former = self.pools[name]
        index = self.names.index(name)
        pool = self._pool(name, self.watchers[index % 2], 0, CAPACITY)
        pool.workers = former.workers
        pool.ends_s = former.ends_s
        pool.scheduler.configure(self.config)
        for worker in pool.workers.values():
            pool.scheduler.update_worker(worker.info, self.now_s)
        for live in former.scheduler.state.jobs.values():
            if not live.phase.final:
                pool.scheduler.add_job(live.job, live.progress(), self.now_s)
        self.pools[name] = pool

    def configure(self, limit):
        """Apply a configuration with another limit."""
        self.limit = limit
        self.config = FleetConfiguration(
            1,
            tuple(Queue(name, "h", f"/{name}/", name) for name in self.names),
            tuple(Pool(name) for name in self.names if name not in self.removed),
            (Team(TEAM, limit=limit),),
        )
        for pool in self.pools.values():
            pool.scheduler.configure(self.config)

    def submit(self, pool, job_id, need, run_s=1.0, count=1, team=TEAM, **step):
        """Submit a job of one step."""
        row = Step(count=count, need=need, estimate_s=run_s, **step)
        terms = Terms(3, 0, 1.6, 0.6)
        job = Job(
            job_id, pool, pool, team, "run", (row,), Schedule(), self.now_s, terms
        )
        self.run_s[job_id] = run_s
        self.needs[job_id] = need if team == TEAM else NO_RESOURCES
        self.pools[pool].scheduler.add_job(job, None, self.now_s)

    def used(self):
        """Return what the workers run for the team."""
        return sum(map(self.used_in, self.pools), NO_RESOURCES)

    def used_in(self, name):
        """Return what the workers of a pool run for the team."""
        pool = self.pools[name]
        return sum(
            (
                self.needs[task.job_id]
                for worker in pool.workers.values()
                for task, _number in worker.runs
            ),
            NO_RESOURCES,
        )

    def step(self):
        """Let 50 ms pass."""
        self.now_s += STEP_S
        for index, watcher in enumerate(self.watchers):
            if self.now_s - self.read_s[index] >= POLL_S:
                self.read_s[index] = self.now_s
                self._read(watcher)
        order = list(self.pools)
        self.random.shuffle(order)
        for name in order:
            if not self.pools[name].held:
                self._step_pool(self.pools[name])
        used = self.used()
        if used.within(self.limit):
            self.bound = self.limit
        elif not used.within(self.bound):
            self.exceeded.append((round(self.now_s, 2), used))
        self._note_idle(used)

    def run(self, seconds, until=lambda: False):
        """Let time pass; return whether a condition was met by then."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.step()
            if until():
                return True
        return False

    def has_begun(self, job_id):
        """Return whether a worker has taken a run of a job."""
        return not any(
            job_id in pool.scheduler.state.jobs
            and not pool.scheduler.state.jobs[job_id].began
            for pool in self.pools.values()
        )

    def open_jobs(self):
        """Return the jobs that fit into the limit and have not ended."""
        return [
            job_id
            for pool in self.pools.values()
            for job_id, job in pool.scheduler.state.jobs.items()
            if not job.phase.final and self._is_owed(pool, job.job.steps[0])
        ]

    def _is_owed(self, pool, step):
        """Return whether the limit and twice the workers have room for a step."""
        count = step.count if step.gang else 1
        places = (
            step.need.times_in(worker.info.capacity) for worker in pool.workers.values()
        )
        return step.need.times(count).within(self.limit) and sum(places) >= 2 * count

    def _read(self, watcher):
        entry = self.store.get(f"grants/{TEAM}")
        if entry is not None:
            watcher.update_grant(entry)

    def _step_pool(self, pool):
        for (worker_id, task, number), end_s in list(pool.ends_s.items()):
            worker = pool.workers[worker_id]
            if (task, number) not in worker.runs:
                del pool.ends_s[worker_id, task, number]
            elif self.now_s >= end_s:
                del pool.ends_s[worker_id, task, number]
                worker.end(task, number)
        for worker_id, worker in pool.workers.items():
            acked = pool.scheduler.state.workers[worker_id].acked
            report = worker.report(acked)
            pool.scheduler.handle_report(worker_id, report, self.now_s, self.now_s)
        pool.scheduler.decide(self.now_s, self.now_s)
        self._flush(pool)
        try:
            pool.grants.step(self.config)
        except StoreError:
            raise AssertionError("a failure of the store was not handled") from None

    def _flush(self, pool):
        for write in pool.scheduler.take_writes(self.now_s):
            pool.scheduler.stored(write.job_id, write.version, self.now_s)
        for order in pool.scheduler.take_orders():
            worker = pool.workers[order.worker_id]
            if isinstance(order, StartOrder):
                result = worker.start(order)
                pool.scheduler.handle_start_result(order, result, self.now_s)
                end_s = self.now_s + self.run_s[order.task.job_id]
                pool.ends_s[order.worker_id, order.task, order.number] = end_s
            elif isinstance(order, StopOrder):
                worker.stop(order.task, order.number)
                pool.scheduler.handle_stop_result(order, True, self.now_s)

    def _note_idle(self, used):
        is_under_half = all(
            2 * amount < limit
            for amount, limit in zip(as_part(used), as_part(self.limit), strict=True)
            if limit
        )
        for pool in self.pools.values():
            for job_id, job in pool.scheduler.state.jobs.items():
                idle = (
                    not job.phase.final
                    and not any(task.runs for task in job.tasks.values())
                    and self._is_owed(pool, job.job.steps[0])
                )
                waited_s = self.waiting_s.get(job_id, 0.0) + STEP_S
                self.waiting_s[job_id] = waited_s if idle and is_under_half else 0.0
                longest_s = self.longest_idle_s.get(job_id, 0.0)
                self.longest_idle_s[job_id] = max(longest_s, self.waiting_s[job_id])
