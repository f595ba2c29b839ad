"""Throttling and preemption of long jobs for urgent work, pool by pool."""

from collections.abc import Callable

from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.preemption import (
    THROTTLED_SHARE,
    PoolPreemption,
    PreemptionLevel,
)
from heatherhatch_core.state.jobs import Job

from ..events import Event, log
from .attempt_ends import control_addresses
from .follower import Follower
from .task_monitor import Attempt, TaskMonitor


class JobPreemption:
    """Sets the preemption level of each pool and throttles its running jobs.

    Args:
        tasks: Exchanges messages with workers about running tasks.
        follower: Source of the configuration.
        adopt: Returns the attempt of a running job.
        pressure: Returns the urgent work that waits for a pool, as a fraction of
            the pool's capacity.

    Attributes:
        levels: State of throttling and preemption, by pool.
        throttled: Ids of the jobs whose workers have all accepted the throttling.
    """

    def __init__(
        self,
        tasks: TaskMonitor,
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
        """Update the level of each pool, then throttle or unthrottle its jobs.

        Args:
            dispatch: State of all live jobs; its ``paused_pools`` is set.
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
        for active_job in list(dispatch.running.values()):
            self._throttle(active_job.job)

    def preemption_of(self, job: Job) -> PoolPreemption:
        """Return the state of throttling and preemption in the pool of a job."""
        return self.levels.get(self._pool_of(job), PoolPreemption())

    def forget(self, job: Job) -> None:
        """Forget a job that is no longer running."""
        self.throttled.discard(job.job_id)

    def forget_all(self) -> None:
        """Forget which jobs are throttled, after this node acquired the claim."""
        self.throttled.clear()

    def _throttle(self, job: Job) -> None:
        level = self.preemption_of(job).level
        must_throttle = level is not PreemptionLevel.NONE
        if must_throttle == (job.job_id in self.throttled):
            return
        attempt = self.adopt(job)
        share = THROTTLED_SHARE if must_throttle else 1.0
        addresses = control_addresses(self.follower.config, job.workers).values()
        accepted = [self.tasks.throttle(attempt, item, share) for item in addresses]
        if not all(accepted):
            return
        if must_throttle:
            self.throttled.add(job.job_id)
        else:
            self.throttled.discard(job.job_id)

    def _pool_of(self, job: Job) -> str:
        work_class = self.follower.config.classes.get(job.spec.work_class)
        return work_class.pool if work_class is not None else ""
