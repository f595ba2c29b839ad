"""Chooses workers for jobs within one round of decisions."""

from ..state.configuration import Configuration
from ..state.jobs import Job, Usage
from .dispatch import Dispatch
from .placement import LEAVE_MARGIN_S, Room, clamp, place
from .team_accounts import TeamAccounts


class JobPlacer:
    """Finds workers for one job after another and takes their room.

    Args:
        dispatch: Live jobs and what is known of workers.
        config: Configuration in force.
        rooms: What is free, by pool and worker.
        accounts: Accounts of the teams.
        now_s: Monotonic seconds.
        wall_s: Seconds since the epoch.

    Attributes:
        full: Needs that found no room in this round, by pool.
        held, held_for: Workers kept free, and the pools for which it was done.
        ranked: Workers that fit a need, the best one last.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        config: Configuration,
        rooms: dict[str, dict[str, Room]],
        accounts: TeamAccounts,
        now_s: float,
        wall_s: float,
    ):
        self.dispatch = dispatch
        self.config = config
        self.rooms = rooms
        self.accounts = accounts
        self.now_s = now_s
        self.wall_s = wall_s
        self.full: dict[str, list[Usage]] = {}
        self.held: set[str] = set()
        self.held_for: set[str] = set()
        self.ranked: dict[tuple[str, Usage], list[Room]] = {}

    def place(self, job: Job) -> tuple[str, ...]:
        """Return workers for a job's whole gang and take them; empty if none."""
        work_class = self.config.classes.get(job.spec.work_class)
        if work_class is None or work_class.pool in self.dispatch.held_pools:
            return ()
        pool = self.rooms.get(work_class.pool, {})
        need = clamp(self.dispatch.need_of(job), pool.values())
        if self._is_hopeless(need, work_class.pool):
            return ()
        able = self._candidates(job, work_class.pool, need)
        run = self.dispatch.need_of(job, work_class.on_time_share)
        whole = Usage(need.cpus, need.memory_mb, need.accelerators, run.run_s)
        workers = place(whole, job.spec, able, self.wall_s)
        if workers:
            self._take(job, need, pool, workers)
        elif _is_plain(job):
            self.full.setdefault(work_class.pool, []).append(need)
        return workers

    def hold_for(self, job: Job, units: int) -> None:
        """Keep workers free for a job, once in a round for each pool.

        Args:
            job: Next job of a team that found no room in its turn.
            units: Units that the team may still start.
        """
        work_class = self.config.classes.get(job.spec.work_class)
        if work_class is None or work_class.pool in self.held_for:
            return
        if job.spec.gang > units or work_class.pool in self.dispatch.held_pools:
            return
        self.held_for.add(work_class.pool)
        pool = self.rooms.get(work_class.pool, {})
        need = clamp(self.dispatch.need_of(job), pool.values())
        able = sorted(
            self._able(job, pool),
            key=lambda room: (room.shortage(need), room.worker.worker_id),
        )
        self.held.update(room.worker.worker_id for room in able[: job.spec.gang])

    def _is_hopeless(self, need: Usage, pool: str) -> bool:
        return any(_at_least(need, other) for other in self.full.get(pool, ()))

    def _take(
        self, job: Job, need: Usage, pool: dict[str, Room], workers: tuple[str, ...]
    ) -> None:
        for worker_id in workers:
            pool[worker_id].take(need)
            self.dispatch.quarantine.began(worker_id, job.job_id)
        self.accounts.use(job, need)

    def _candidates(self, job: Job, pool: str, need: Usage) -> list[Room]:
        # Jobs of one need are many: their workers are ranked once in a round and
        # taken in that order, each until it is full.
        if not _is_plain(job):
            return self._able(job, self.rooms.get(pool, {}))
        key = (pool, need)
        if key not in self.ranked:
            self.ranked[key] = self._rank(job, pool, need)
        ranked = self.ranked[key]
        while ranked and not self._takes(ranked[-1], need):
            ranked.pop()
        return ranked[-1:]

    def _rank(self, job: Job, pool: str, need: Usage) -> list[Room]:
        able = self._able(job, self.rooms.get(pool, {}))
        return sorted(
            (room for room in able if room.fits(need)),
            key=lambda room: (room.left_over(need), room.worker.worker_id),
            reverse=True,
        )

    def _takes(self, room: Room, need: Usage) -> bool:
        admitted = self._admits(room.worker.worker_id)
        soon = room.leaves_s <= self.wall_s + LEAVE_MARGIN_S
        return admitted and not soon and room.fits(need)

    def _able(self, job: Job, pool: dict[str, Room]) -> list[Room]:
        # A job keeps away from workers on which it failed while there are others.
        fresh = pool.keys() - set(job.failed_on)
        names = fresh if len(fresh) >= job.spec.gang else pool.keys()
        return [pool[name] for name in names if self._admits(name)]

    def _admits(self, worker_id: str) -> bool:
        return worker_id not in self.held and self.dispatch.admits(
            worker_id, self.now_s
        )


def _is_plain(job: Job) -> bool:
    # Plain jobs of one need may go wherever any other of them may.
    return job.spec.gang == 1 and not job.failed_on and job.spec.checkpoints


def _at_least(need: Usage, other: Usage) -> bool:
    # What is no smaller than a need that found no room finds none either.
    return (
        need.cpus >= other.cpus
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
    )
