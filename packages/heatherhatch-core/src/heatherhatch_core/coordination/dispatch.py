"""The dispatcher's view of all live jobs, and what it decides to start."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.jobs import Job, JobState, Usage
from .job_queue import JobQueue, Lane, TeamShares
from .placement import LeavingAt, Room, clamp, lacking, place, rooms_of
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
    """

    job: Job
    revision: int
    seen: Usage | None = None


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
        self.shares = TeamShares(now_s)
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
        same = known is not None and known.job.attempt == job.attempt
        live = Live(job, revision, known.seen if same else None)
        self.live[job.job_id] = live
        self.running.pop(job.job_id, None)
        self.queue.remove(job.job_id)
        if job.state is JobState.QUEUED:
            self.queue.add(job)
        elif job.state is JobState.RUNNING:
            self.running[job.job_id] = live

    def drop(self, job_id: str) -> None:
        """Forget a job that is not live any more."""
        self.live.pop(job_id, None)
        self.running.pop(job_id, None)
        self.queue.remove(job_id)

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
        self.shares.advance(now_s)
        rooms = rooms_of(config, leaving_at)
        rounds = _Round(self, config, rooms, now_s, wall_s)
        rounds.count_running()
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
        for live in dispatch.running.values():
            need = live.seen or dispatch.need_of(live.job)
            shares.use(live.job.team, self._part(need, live.job))
            for worker_id in live.job.workers:
                if worker_id in by_worker:
                    by_worker[worker_id].take(need)

    def decide(self, usable: UsableUnits) -> list[Start]:
        """Return the starts of this round."""
        found: list[Start] = []
        lanes = {team: self._lanes(team) for team in self.dispatch.queue.teams()}
        left = {team: usable(team) for team in lanes}
        taken: set[str] = set()
        while lanes and len(found) < STARTS_PER_ROUND:
            team = min(lanes, key=lambda item: (self.dispatch.shares.turn(item), item))
            start = self._next(lanes[team], left[team], taken)
            if start is None:
                del lanes[team]
                continue
            found.append(start)
            taken.add(start.job.job_id)
            left[team] -= start.job.spec.gang
        return found

    def _lanes(self, team: str) -> list[Lane]:
        return self.dispatch.queue.lanes_of(team)

    def _next(self, lanes: list[Lane], units: int, taken: set[str]) -> Start | None:
        while lanes:
            candidates = [(self._order(lane, taken), lane) for lane in lanes]
            _, lane = min(candidates, key=lambda item: item[0])
            start = self._start_in(lane, units, taken)
            if start is not None:
                return start
            lanes.remove(lane)
        return None

    def _order(self, lane: Lane, taken: set[str]) -> tuple[bool, float]:
        # Jobs that can't meet their target any more don't hold up those that can.
        work_class = self.config.classes.get(lane[1])
        for job in self.dispatch.queue.first(lane, len(taken) + 1):
            if job.job_id in taken or work_class is None:
                continue
            part = work_class.on_time_share
            run_s = self.dispatch.remaining_s(job, self.wall_s, part)
            latest = job.submitted_s + work_class.target_s - run_s
            return latest < self.wall_s, latest
        return True, float("inf")

    def _start_in(self, lane: Lane, units: int, taken: set[str]) -> Start | None:
        for job in self.dispatch.queue.first(lane, len(taken) + 8):
            if job.job_id in taken or job.cancel or job.spec.gang > units:
                continue
            workers = self._place(job)
            if workers:
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
        able = self._able(job, pool)
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

    def _able(self, job: Job, pool: dict[str, Room]) -> list[Room]:
        # A job keeps away from workers on which it failed while there are others.
        fresh = pool.keys() - set(job.failed_on)
        names = fresh if len(fresh) >= job.spec.gang else pool.keys()
        admits = self.dispatch.admits
        return [pool[name] for name in names if admits(name, self.now_s)]

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
