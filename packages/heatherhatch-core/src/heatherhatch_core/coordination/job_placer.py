"""Placement of jobs on workers within one dispatch round."""

from ..state.configuration import Configuration
from ..state.jobs import Job, Usage
from .attempts import may_start
from .dispatch import Dispatch
from .placement import LEAVE_MARGIN_S, FreeCapacity, clamp, place
from .team_accounts import TeamAccounts

ISOLATION_S = 10.0  # nothing starts beside a job that may crash its worker


class JobPlacer:
    """Places one job after another and deducts what each uses.

    Args:
        dispatch: Live jobs and the state of workers.
        config: Configuration in force.
        free: Free capacity, by pool and worker.
        accounts: Accounts of the teams.
        now_s: Monotonic seconds.
        wall_s: Seconds since the epoch.

    Attributes:
        unplaceable: Needs that fit on no worker in this round, by pool.
        reserved, reserved_pools: Workers reserved in this round, and the pools in
            which this was done.
        busy: Workers that run a job.
        isolated: Workers that get no other job, as the one that they run may crash
            them and has not run for long.
        ranked: Workers that fit a need, by pool and need, best fit last.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        config: Configuration,
        free: dict[str, dict[str, FreeCapacity]],
        accounts: TeamAccounts,
        now_s: float,
        wall_s: float,
    ):
        self.dispatch = dispatch
        self.config = config
        self.free = free
        self.accounts = accounts
        self.now_s = now_s
        self.wall_s = wall_s
        self.unplaceable: dict[str, list[Usage]] = {}
        self.reserved: set[str] = set()
        self.reserved_pools: set[str] = set()
        self.ranked: dict[tuple[str, Usage], list[FreeCapacity]] = {}
        self.busy: set[str] = set()
        self.isolated: set[str] = set()
        for item in dispatch.running.values():
            self._note_workers(item.job, item.job.workers)

    def place(self, job: Job) -> tuple[str, ...]:
        """Place a job's whole gang; return its workers, or an empty tuple."""
        work_class = self.config.classes.get(job.spec.work_class)
        if work_class is None or work_class.pool in self.dispatch.paused_pools:
            return ()
        if not may_start(job):
            return ()
        pool = self.free.get(work_class.pool, {})
        need = clamp(self.dispatch.estimated_usage(job), pool.values())
        if self._is_unplaceable(need, work_class.pool):
            return ()
        eligible = self._candidates(job, work_class.pool, need)
        run_estimate = self.dispatch.estimated_usage(job, work_class.on_time_share)
        full_need = Usage(
            need.cpus, need.memory_mb, need.accelerators, run_estimate.run_s
        )
        workers = place(full_need, job.spec, eligible, self.wall_s)
        if workers:
            self._assign(job, need, pool, workers)
        elif _is_interchangeable(job):
            self.unplaceable.setdefault(work_class.pool, []).append(need)
        return workers

    def reserve_for(self, job: Job, units: int) -> None:
        """Reserve workers for a job, at most once for each pool in a round.

        Args:
            job: Next job of the team that is first in order but found no capacity.
            units: Units that the team may still start.
        """
        work_class = self.config.classes.get(job.spec.work_class)
        if work_class is None or work_class.pool in self.reserved_pools:
            return
        if job.spec.gang > units or work_class.pool in self.dispatch.paused_pools:
            return
        self.reserved_pools.add(work_class.pool)
        pool = self.free.get(work_class.pool, {})
        need = clamp(self.dispatch.estimated_usage(job), pool.values())
        eligible = sorted(
            self._eligible(job, pool),
            key=lambda capacity: (capacity.shortage(need), capacity.worker.worker_id),
        )
        self.reserved.update(
            capacity.worker.worker_id for capacity in eligible[: job.spec.gang]
        )

    def _is_unplaceable(self, need: Usage, pool: str) -> bool:
        return any(
            _is_at_least(need, other) for other in self.unplaceable.get(pool, ())
        )

    def _assign(
        self,
        job: Job,
        need: Usage,
        pool: dict[str, FreeCapacity],
        workers: tuple[str, ...],
    ) -> None:
        for worker_id in workers:
            pool[worker_id].take(need)
            self._note_workers(job, (worker_id,))
            self.dispatch.quarantine.record_start(worker_id, job.job_id)
        self.accounts.add_use(job, need)

    def _candidates(self, job: Job, pool: str, need: Usage) -> list[FreeCapacity]:
        # Many jobs have the same need, so their workers are ranked once in a round
        # and used in that order, each until it is full.
        if not _is_interchangeable(job):
            return self._eligible(job, self.free.get(pool, {}))
        key = (pool, need)
        if key not in self.ranked:
            self.ranked[key] = self._rank(job, pool, need)
        ranked = self.ranked[key]
        while ranked and not self._can_take(ranked[-1], need):
            ranked.pop()
        return ranked[-1:]

    def _rank(self, job: Job, pool: str, need: Usage) -> list[FreeCapacity]:
        eligible = self._eligible(job, self.free.get(pool, {}))
        return sorted(
            (capacity for capacity in eligible if capacity.fits(need)),
            key=lambda capacity: (capacity.left_over(need), capacity.worker.worker_id),
            reverse=True,
        )

    def _can_take(self, capacity: FreeCapacity, need: Usage) -> bool:
        admitted = self._admits(capacity.worker.worker_id)
        leaves_soon = capacity.drain_at_s <= self.wall_s + LEAVE_MARGIN_S
        return admitted and not leaves_soon and capacity.fits(need)

    def _eligible(self, job: Job, pool: dict[str, FreeCapacity]) -> list[FreeCapacity]:
        # A job avoids the workers on which it failed, if enough others remain.
        untried = pool.keys() - {*job.failed_on, *job.crashed_on}
        candidates = untried if len(untried) >= job.spec.gang else pool.keys()
        idle = candidates - self.busy
        if job.is_suspect and len(idle) >= job.spec.gang:
            candidates = idle
        return [pool[name] for name in candidates if self._admits(name)]

    def _admits(self, worker_id: str) -> bool:
        if worker_id in self.reserved or worker_id in self.isolated:
            return False
        return self.dispatch.admits(worker_id, self.now_s)

    def _note_workers(self, job: Job, workers: tuple[str, ...]) -> None:
        self.busy.update(workers)
        started_s = job.started_s or self.wall_s
        if job.is_suspect and self.wall_s - started_s < ISOLATION_S:
            self.isolated.update(workers)


def _is_interchangeable(job: Job) -> bool:
    # Such jobs with the same need fit on the same workers, so that a ranking and a
    # failed placement hold for all of them.
    tried = job.failed_on or job.crashed_on
    return job.spec.gang == 1 and not tried and job.spec.checkpoints


def _is_at_least(need: Usage, other: Usage) -> bool:
    # A need that is at least as large as one that did not fit does not fit either.
    return (
        need.cpus >= other.cpus
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
    )
