"""One dispatch round: which waiting jobs start now, and on which workers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.jobs import Job
from .dispatch import Dispatch
from .job_placer import JobPlacer
from .job_queue import BACKFILL_DEPTH, Lane
from .placement import DrainTime, worker_capacities
from .team_accounts import TeamAccounts

UsableUnits = Callable[[str], int]
MAX_STARTS_PER_ROUND = 256


@dataclass(frozen=True, slots=True)
class Start:
    """A decision to start a job.

    Attributes:
        job: The waiting job.
        workers: One worker for each member of its gang.
    """

    job: Job
    workers: tuple[str, ...]


class DispatchRound:
    """Decides which jobs start, from one snapshot of the fleet.

    Args:
        dispatch: Live jobs.
        config: Configuration in force.
        drain_time: Returns when a worker must be drained, seconds since the epoch,
            or None.
        now_s: Monotonic seconds.
        wall_s: Seconds since the epoch.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        config: Configuration,
        drain_time: DrainTime,
        now_s: float,
        wall_s: float,
    ):
        free = worker_capacities(config, drain_time)
        accounts = TeamAccounts(dispatch, free, now_s)
        accounts.count_running(config)
        self.dispatch = dispatch
        self.config = config
        self.wall_s = wall_s
        self.placer = JobPlacer(dispatch, config, free, accounts, now_s, wall_s)
        self.waiting_by_lane: dict[Lane, list[Job]] = {}

    def starts(self, usable: UsableUnits) -> list[Start]:
        """Return all starts of this round.

        Args:
            usable: Returns the units that a team may still start.
        """
        return [item for item in self.steps(usable) if item is not None]

    def steps(self, usable: UsableUnits) -> Iterator[Start | None]:
        """Yield each start, and None for each team that can start no more jobs.

        The caller may yield control between two steps, as long as the live jobs do
        not change meanwhile.

        Args:
            usable: Returns the units that a team may still start.
        """
        shares, queue = self.dispatch.shares, self.dispatch.queue
        lanes = {team: queue.lanes_of(team) for team in queue.teams()}
        units_left = {team: usable(team) for team in lanes}
        count = 0
        while lanes and count < MAX_STARTS_PER_ROUND:
            team = min(lanes, key=lambda item: (shares.weighted_use(item), item))
            start = self._next_start(list(lanes[team]), units_left[team])
            if start is None:
                self._reserve_for(lanes.pop(team), units_left[team])
            else:
                units_left[team] -= start.job.spec.gang
                count += 1
            yield start

    def _next_start(self, lanes: list[Lane], units: int) -> Start | None:
        while lanes:
            lane = min(lanes, key=self._urgency)
            start = self._start_in(lane, units)
            if start is not None:
                return start
            lanes.remove(lane)
        return None

    def _reserve_for(self, lanes: list[Lane], units: int) -> None:
        # The team that is next in order found no free capacity. Workers are reserved
        # for its next job; otherwise small jobs of other teams would take all
        # capacity that becomes free, and a large job would starve.
        waiting = self._waiting(min(lanes, key=self._urgency))
        if waiting:
            self.placer.reserve_for(waiting[0], units)

    def _waiting(self, lane: Lane) -> list[Job]:
        if lane not in self.waiting_by_lane:
            first = self.dispatch.queue.first(
                lane, MAX_STARTS_PER_ROUND + BACKFILL_DEPTH
            )
            self.waiting_by_lane[lane] = list(first)
        return self.waiting_by_lane[lane]

    def _urgency(self, lane: Lane) -> tuple[bool, float]:
        # Lanes are ordered by the latest start that meets the target. Jobs that can
        # no longer meet it come after those that can.
        work_class = self.config.classes.get(lane[1])
        waiting = self._waiting(lane)
        if not waiting or work_class is None:
            return True, float("inf")
        job = waiting[0]
        run_s = self.dispatch.remaining_s(job, self.wall_s, work_class.on_time_share)
        latest_start_s = job.submitted_s + work_class.target_s - run_s
        return latest_start_s < self.wall_s, latest_start_s

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
