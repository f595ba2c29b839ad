"""Long jobs that make way for urgent work, pool by pool."""

from collections.abc import Callable

from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.preemption import (
    THROTTLED_SHARE,
    PoolPreemption,
    PreemptionLevel,
)
from heatherhatch_core.state.jobs import Job

from ..events import Event, log
from .attempt_ends import controls_of
from .follower import Follower
from .task_follower import Attempt, TaskFollower


class JobRelief:
    """Throttles running jobs of pools in which urgent work waits.

    Args:
        tasks: Exchanges with workers.
        follower: Source of the configuration.
        adopt: Returns the attempt of a running job.
        pressure: Urgent work that waits for a pool, as a part of what it holds.

    Attributes:
        levels: How far each pool makes way.
        throttled: Ids of the jobs that every worker was told to throttle.
    """

    def __init__(
        self,
        tasks: TaskFollower,
        follower: Follower,
        adopt: Callable[[Job], Attempt],
        pressure: Callable[[str], float],
    ):
        self.tasks = tasks
        self.follower = follower
        self.adopt = adopt
        self.pressure = pressure
        self.clock = tasks.clock
        self.levels: dict[str, PoolPreemption] = {}
        self.throttled: set[str] = set()

    def step(self, dispatch: Dispatch) -> None:
        """Set every pool's level anew and throttle or unthrottle its jobs.

        Args:
            dispatch: Live jobs; its ``paused_pools`` is set.
        """
        now = self.clock()
        for pool in self.follower.config.pools:
            before = self.levels.get(pool, PoolPreemption())
            after = before.step(self.pressure(pool), now)
            self.levels[pool] = after
            if after.level is not before.level:
                log(Event.JOBS_RELIEVED, pool=pool, level=after.level.value)
        dispatch.paused_pools = frozenset(
            pool
            for pool, item in self.levels.items()
            if item.level is not PreemptionLevel.NONE
        )
        for live in list(dispatch.running.values()):
            self._throttle(live.job)

    def of(self, job: Job) -> PoolPreemption:
        """Return how far the pool of a job makes way."""
        return self.levels.get(self._pool_of(job), PoolPreemption())

    def forget(self, job: Job) -> None:
        """Forget a job that does not run any more."""
        self.throttled.discard(job.job_id)

    def forget_all(self) -> None:
        """Forget which jobs are throttled, as a new holder of the claim does."""
        self.throttled.clear()

    def _throttle(self, job: Job) -> None:
        level = self.of(job).level
        wanted = level is not PreemptionLevel.NONE
        if wanted == (job.job_id in self.throttled):
            return
        attempt = self.adopt(job)
        share = THROTTLED_SHARE if wanted else 1.0
        controls = controls_of(self.follower.config, job.workers).values()
        arrived = [self.tasks.throttle(attempt, item, share) for item in controls]
        if not all(arrived):
            return
        if wanted:
            self.throttled.add(job.job_id)
        else:
            self.throttled.discard(job.job_id)

    def _pool_of(self, job: Job) -> str:
        work_class = self.follower.config.classes.get(job.spec.work_class)
        return work_class.pool if work_class is not None else ""
