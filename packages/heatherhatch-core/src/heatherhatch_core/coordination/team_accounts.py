"""Charges of running jobs to their teams, as fractions of the fleet."""

from ..state.configuration import Configuration
from ..state.jobs import Job, Usage
from .active_job import ActiveJob
from .dispatch import Dispatch
from .placement import FreeCapacity


class TeamAccounts:
    """Charges teams for their running jobs, once in each scheduling round.

    Args:
        dispatch: Live jobs, and the team shares that are charged.
        free: Free capacity of each worker of the fleet while no job runs, by
            pool and worker.
        now_s: Current monotonic time in seconds.
    """

    def __init__(
        self, dispatch: Dispatch, free: dict[str, dict[str, FreeCapacity]], now_s: float
    ):
        self.dispatch = dispatch
        self.free = free
        self.now_s = now_s
        self.totals = _total_capacity(free)

    def count_running(self, config: Configuration) -> None:
        """Subtract running jobs from the free capacity and charge their teams.

        Args:
            config: Configuration in force, which defines the teams' shares.
        """
        self._reset_accounts(config)
        for active_job in self.dispatch.recently_stopped:
            self._charge(active_job)
        self.dispatch.recently_stopped.clear()
        by_worker = {
            key: capacity
            for pool in self.free.values()
            for key, capacity in pool.items()
        }
        for active_job in self.dispatch.running.values():
            need = self._charge(active_job)
            self.add_use(active_job.job, need)
            for worker_id in active_job.job.workers:
                if worker_id in by_worker:
                    by_worker[worker_id].take(need)
        self.dispatch.round_s = self.now_s

    def add_use(self, job: Job, need: Usage) -> None:
        """Add the resources of a job to the current use of its team.

        Args:
            job: Job that runs or is about to start.
            need: Resources that each member of the job's gang uses.
        """
        self.dispatch.shares.add_use(job.team, self._dominant_share(need, job))

    def _reset_accounts(self, config: Configuration) -> None:
        shares = self.dispatch.shares
        shares.reset_use()
        for team in config.teams.values():
            shares.set_share(team.name, team.share)
        running = {active_job.job.team for active_job in self.dispatch.running.values()}
        shares.set_active(self.dispatch.queue.teams() | running)

    def _charge(self, active_job: ActiveJob) -> Usage:
        # The whole run time is charged again with the latest known need, so that the
        # effect of a wrong estimate does not last.
        need = active_job.reported_usage or self.dispatch.estimated_usage(
            active_job.job
        )
        if active_job.charged_from_s is None:
            active_job.charged_from_s = self.dispatch.round_s
        total = self._dominant_share(need, active_job.job) * (
            self.now_s - active_job.charged_from_s
        )
        self.dispatch.shares.charge(active_job.job.team, total - active_job.charged)
        active_job.charged = total
        return need

    def _dominant_share(self, need: Usage, job: Job) -> float:
        return job.spec.gang * max(
            need.cpus / self.totals.cpus,
            need.memory_mb / self.totals.memory_mb,
            need.accelerators / self.totals.accelerators,
        )


def _total_capacity(free: dict[str, dict[str, FreeCapacity]]) -> Usage:
    workers = [capacity.worker for pool in free.values() for capacity in pool.values()]
    return Usage(
        max(1, sum(worker.cpus for worker in workers)),
        max(1, sum(worker.memory_mb for worker in workers)),
        max(1, sum(worker.accelerators for worker in workers)),
    )
