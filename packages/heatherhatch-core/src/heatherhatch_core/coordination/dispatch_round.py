"""One round of decisions: which waiting jobs start now, and where."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.jobs import Job
from .dispatch import Dispatch
from .job_placer import JobPlacer
from .job_queue import BACKFILL_DEPTH, Lane
from .placement import LeavingAt, rooms_of
from .team_accounts import TeamAccounts

UsableUnits = Callable[[str], int]
STARTS_PER_ROUND = 256


@dataclass(frozen=True, slots=True)
class Start:
    """A decision to start a job.

    Attributes:
        job: The job as it waits.
        workers: Workers for its whole gang.
    """

    job: Job
    workers: tuple[str, ...]


class DispatchRound:
    """Decides over one picture of the fleet; ``steps`` goes through the round.

    Args:
        dispatch: Live jobs.
        config: Configuration in force.
        leaving_at: When a worker leaves, seconds since the epoch, or None.
        now_s: Monotonic seconds.
        wall_s: Seconds since the epoch.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        config: Configuration,
        leaving_at: LeavingAt,
        now_s: float,
        wall_s: float,
    ):
        rooms = rooms_of(config, leaving_at)
        accounts = TeamAccounts(dispatch, rooms, now_s)
        accounts.count_running(config)
        self.dispatch = dispatch
        self.config = config
        self.wall_s = wall_s
        self.placer = JobPlacer(dispatch, config, rooms, accounts, now_s, wall_s)
        self.heads: dict[Lane, list[Job]] = {}

    def starts(self, usable: UsableUnits) -> list[Start]:
        """Return all starts of this round.

        Args:
            usable: Units that a team may still start.
        """
        return [item for item in self.steps(usable) if item is not None]

    def steps(self, usable: UsableUnits) -> Iterator[Start | None]:
        """Yield each start, and None whenever a team is found to start no more.

        The caller may let others run between two steps, as long as nobody else
        changes the live jobs meanwhile.

        Args:
            usable: Units that a team may still start.
        """
        shares, queue = self.dispatch.shares, self.dispatch.queue
        lanes = {team: queue.lanes_of(team) for team in queue.teams()}
        left = {team: usable(team) for team in lanes}
        count = 0
        while lanes and count < STARTS_PER_ROUND:
            team = min(lanes, key=lambda item: (shares.turn(item), item))
            start = self._next(list(lanes[team]), left[team])
            if start is None:
                self._hold_for(lanes.pop(team), left[team])
            else:
                left[team] -= start.job.spec.gang
                count += 1
            yield start

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
        waiting = self._waiting(min(lanes, key=self._order))
        if waiting:
            self.placer.hold_for(waiting[0], units)

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
            workers = self.placer.place(job)
            if workers:
                waiting.remove(job)
                return Start(job, workers)
        return None
