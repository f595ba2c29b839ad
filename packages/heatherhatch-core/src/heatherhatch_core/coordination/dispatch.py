"""The dispatcher's view of all live jobs, and what it decides to start."""

import dataclasses
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.jobs import Job, JobState, Usage
from .job_queue import BACKFILL_DEPTH, JobQueue, Lane, TeamShares
from .placement import LEAVE_MARGIN_S, LeavingAt, Room, clamp, lacking, place, rooms_of
from .quarantine import Quarantine
from .sizes import Estimator

UsableUnits = Callable[[str], int]
STARTS_PER_ROUND = 256
SILENT_S = 10.0


@dataclass(frozen=True, slots=True)
class Start:
    """A decision to start a job.

    Attributes:
        job: The job as it waits.
        workers: Workers for its whole gang.
    """

    job: Job
    workers: tuple[str, ...]


@dataclass(slots=True)
class Live:
    """A live job and what was seen of it.

    Attributes:
        job: The job as recorded.
        revision: Store revision of the record.
        seen: Usage reported lately, None before the first report.
        begun_s: Round in which it started to run, monotonic seconds; None
            before it was counted.
        charged: What its team was charged for it so far.
    """

    job: Job
    revision: int
    seen: Usage | None = None
    begun_s: float | None = None
    charged: float = 0.0


class Dispatch:
    """Holds every live job and decides which starts next, and where.

    It is told of records by ``put`` and ``drop``; ``starts`` decides. It owns
    no socket and no clock.

    Args:
        now_s: Monotonic seconds.

    Attributes:
        live, running: Live and running jobs by id.
        queue: Jobs that wait.
        shares: What each team was served.
        estimator: Learned sizes.
        quarantine: Workers that fail what they start.
        silent_until: When a worker that did not answer is tried again.
        held_pools: Pools that make way for urgent work; nothing starts there.
    """

    def __init__(self, now_s: float):
        self.live: dict[str, Live] = {}
        self.running: dict[str, Live] = {}
        self.queue = JobQueue()
        self.shares = TeamShares()
        self.round_s = now_s
        self.left: list[Live] = []
        self.estimator = Estimator()
        self.quarantine = Quarantine()
        self.silent_until: dict[str, float] = {}
        self.held_pools: frozenset[str] = frozenset()

    def note_silent(self, worker_id: str, now_s: float) -> None:
        """Note that a worker does not answer; nothing starts there for a while."""
        self.silent_until[worker_id] = now_s + SILENT_S

    def admits(self, worker_id: str, now_s: float) -> bool:
        """Tell whether a job may start on a worker."""
        if now_s < self.silent_until.get(worker_id, now_s):
            return False
        return self.quarantine.admits(worker_id, now_s)

    def put(self, job: Job, revision: int) -> None:
        """Note a record of a live job."""
        known = self.live.get(job.job_id)
        if known is not None and known.revision >= revision:
            return
        live = Live(job, revision)
        still = known is not None and known.job.attempt == job.attempt
        if still and job.state is known.job.state:
            live = dataclasses.replace(known, job=job, revision=revision)
        else:
            self._leave(job.job_id)
        self.live[job.job_id] = live
        self.queue.remove(job.job_id)
        if job.state is JobState.QUEUED:
            self.queue.add(job)
        elif job.state is JobState.RUNNING:
            self.running[job.job_id] = live

    def drop(self, job_id: str) -> None:
        """Forget a job that is not live any more."""
        self._leave(job_id)
        self.live.pop(job_id, None)
        self.queue.remove(job_id)

    def _leave(self, job_id: str) -> None:
        # What ran since the last round is charged in the next one.
        live = self.running.pop(job_id, None)
        if live is not None:
            self.left.append(live)

    def units(self) -> Counter:
        """Return the running units of each team."""
        counts: Counter = Counter()
        for live in self.running.values():
            counts[live.job.team] += live.job.units
        return counts

    def need_of(self, job: Job, run_part: float = 0.5) -> Usage:
        """Return what each member of a job's gang is thought to use."""
        return self.estimator.estimate(job.team, job.spec, run_part)

    def remaining_s(self, job: Job, now_s: float, run_part: float = 0.5) -> float:
        """Return the estimated seconds until a job ends, once it runs.

        Args:
            job: A waiting or running job.
            now_s: Seconds since the epoch.
            run_part: Part of the jobs that must end within the time.
        """
        left = self.need_of(job, run_part).run_s * (1 - job.progress)
        if job.state is JobState.RUNNING:
            left -= now_s - job.started_s
        return max(0.0, left)

    def stuck(self, config: Configuration) -> list[tuple[Job, str]]:
        """Return the waiting jobs that can never run, with what is lacking."""
        answers: dict[tuple, str] = {}
        found = []
        for job in self.queue.jobs():
            spec = job.spec
            key = (spec.work_class, spec.accelerators, spec.gang)
            if key not in answers:
                work_class = config.classes.get(spec.work_class)
                answers[key] = (
                    lacking(spec, work_class.pool, config)
                    if work_class is not None
                    else f"class {spec.work_class!r} does not exist"
                )
            if answers[key]:
                found.append((job, answers[key]))
        return found

    def starts(
        self,
        config: Configuration,
        leaving_at: LeavingAt,
        usable: UsableUnits,
        now_s: float,
        wall_s: float,
    ) -> list[Start]:
        """Decide what starts now.

        Args:
            config: Configuration in force.
            leaving_at: When a worker leaves, seconds since the epoch, or None.
            usable: Units that a team may still start.
            now_s: Monotonic seconds.
            wall_s: Seconds since the epoch.
        """
        rooms = rooms_of(config, leaving_at)
        rounds = _Round(self, config, rooms, now_s, wall_s)
        rounds.count_running()
        self.round_s = now_s
        return rounds.decide(usable)


class _Round:
    """One round of decisions over one picture of the fleet."""

    def __init__(self, dispatch, config, rooms, now_s, wall_s):
        self.dispatch: Dispatch = dispatch
        self.config: Configuration = config
        self.rooms: dict[str, dict[str, Room]] = rooms
        self.now_s: float = now_s
        self.wall_s: float = wall_s
        self.totals = _totals(rooms)
        self.full: dict[str, list[Usage]] = {}
        self.heads: dict[Lane, list[Job]] = {}
        self.held: set[str] = set()
        self.held_for: set[str] = set()
        self.ranked: dict[tuple[str, Usage], list[Room]] = {}

    def count_running(self) -> None:
        """Take what runs out of the rooms and put it on the teams' accounts."""
        dispatch = self.dispatch
        shares = dispatch.shares
        shares.clear_use()
        for team in self.config.teams.values():
            shares.set_share(team.name, team.share)
        waiting = dispatch.queue.teams()
        shares.set_active(
            waiting | {live.job.team for live in dispatch.running.values()}
        )
        by_worker = {
            key: room for pool in self.rooms.values() for key, room in pool.items()
        }
        for live in dispatch.left:
            self._charge(live)
        dispatch.left.clear()
        for live in dispatch.running.values():
            need = self._charge(live)
            shares.use(live.job.team, self._part(need, live.job))
            for worker_id in live.job.workers:
                if worker_id in by_worker:
                    by_worker[worker_id].take(need)

    def decide(self, usable: UsableUnits) -> list[Start]:
        """Return the starts of this round."""
        found: list[Start] = []
        lanes = {
            team: self.dispatch.queue.lanes_of(team)
            for team in self.dispatch.queue.teams()
        }
        left = {team: usable(team) for team in lanes}
        while lanes and len(found) < STARTS_PER_ROUND:
            team = min(lanes, key=lambda item: (self.dispatch.shares.turn(item), item))
            start = self._next(list(lanes[team]), left[team])
            if start is None:
                self._hold_for(lanes.pop(team), left[team])
                continue
            found.append(start)
            left[team] -= start.job.spec.gang
        return found

    def _charge(self, live: Live) -> Usage:
        # The whole time is charged anew with what is known now, so that a wrong
        # estimate does no lasting harm.
        need = live.seen or self.dispatch.need_of(live.job)
        if live.begun_s is None:
            live.begun_s = self.dispatch.round_s
        whole = self._part(need, live.job) * (self.now_s - live.begun_s)
        self.dispatch.shares.charge(live.job.team, whole - live.charged)
        live.charged = whole
        return need

    def _next(self, lanes: list[Lane], units: int) -> Start | None:
        while lanes:
            lane = min(lanes, key=self._order)
            start = self._start_in(lane, units)
            if start is not None:
                return start
            lanes.remove(lane)
        return None

    def _hold_for(self, lanes: list[Lane], units: int) -> None:
        # The team whose turn it is found no room. Workers are kept free for its
        # next job, or small jobs of others would fill every hole for ever.
        lane = min(lanes, key=self._order)
        work_class = self.config.classes.get(lane[1])
        waiting = self._waiting(lane)
        if not waiting or work_class is None or work_class.pool in self.held_for:
            return
        job = waiting[0]
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

    def _waiting(self, lane: Lane) -> list[Job]:
        if lane not in self.heads:
            first = self.dispatch.queue.first(lane, STARTS_PER_ROUND + BACKFILL_DEPTH)
            self.heads[lane] = list(first)
        return self.heads[lane]

    def _order(self, lane: Lane) -> tuple[bool, float]:
        # Jobs that can't meet their target any more don't hold up those that can.
        work_class = self.config.classes.get(lane[1])
        waiting = self._waiting(lane)
        if not waiting or work_class is None:
            return True, float("inf")
        job = waiting[0]
        run_s = self.dispatch.remaining_s(job, self.wall_s, work_class.on_time_share)
        latest = job.submitted_s + work_class.target_s - run_s
        return latest < self.wall_s, latest

    def _start_in(self, lane: Lane, units: int) -> Start | None:
        waiting = self._waiting(lane)
        for job in waiting[:BACKFILL_DEPTH]:
            if job.cancel or job.spec.gang > units:
                continue
            workers = self._place(job)
            if workers:
                waiting.remove(job)
                return Start(job, workers)
        return None

    def _place(self, job: Job) -> tuple[str, ...]:
        work_class = self.config.classes.get(job.spec.work_class)
        if work_class is None or work_class.pool in self.dispatch.held_pools:
            return ()
        pool = self.rooms.get(work_class.pool, {})
        need = clamp(self.dispatch.need_of(job), pool.values())
        if any(
            _at_least(need, job, other) for other in self.full.get(work_class.pool, ())
        ):
            return ()
        able = self._candidates(job, work_class.pool, need)
        run = self.dispatch.need_of(job, work_class.on_time_share)
        workers = place(
            Usage(need.cpus, need.memory_mb, need.accelerators, run.run_s),
            job.spec,
            able,
            self.wall_s,
        )
        if not workers:
            if not job.failed_on and job.spec.gang == 1 and job.spec.checkpoints:
                self.full.setdefault(work_class.pool, []).append(need)
            return ()
        for worker_id in workers:
            pool[worker_id].take(need)
            self.dispatch.quarantine.began(worker_id, job.job_id)
        self.dispatch.shares.use(job.team, self._part(need, job))
        return workers

    def _candidates(self, job: Job, pool: str, need: Usage) -> list[Room]:
        # Jobs of one need are many: their workers are ranked once in a round and
        # taken in that order, each until it is full.
        if job.spec.gang > 1 or job.failed_on or not job.spec.checkpoints:
            return self._able(job, self.rooms.get(pool, {}))
        key = (pool, need)
        if key not in self.ranked:
            able = self._able(job, self.rooms.get(pool, {}))
            fitting = [room for room in able if room.fits(need)]
            fitting.sort(
                key=lambda room: (room.left_over(need), room.worker.worker_id),
                reverse=True,
            )
            self.ranked[key] = fitting
        ranked = self.ranked[key]
        while ranked and not self._takes(ranked[-1], need):
            ranked.pop()
        return ranked[-1:]

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

    def _part(self, need: Usage, job: Job) -> float:
        return job.spec.gang * max(
            need.cpus / self.totals.cpus,
            need.memory_mb / self.totals.memory_mb,
            need.accelerators / self.totals.accelerators,
        )


def _totals(rooms: dict[str, dict[str, Room]]) -> Usage:
    workers = [room.worker for pool in rooms.values() for room in pool.values()]
    return Usage(
        max(1, sum(worker.cpus for worker in workers)),
        max(1, sum(worker.memory_mb for worker in workers)),
        max(1, sum(worker.accelerators for worker in workers)),
    )


def _at_least(need: Usage, job: Job, other: Usage) -> bool:
    # What is no smaller than a need that found no room finds none either.
    return (
        need.cpus >= other.cpus
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
    )
