"""What running jobs cost their teams, as parts of the whole fleet."""

from ..state.configuration import Configuration
from ..state.jobs import Job, Usage
from .dispatch import Dispatch
from .live_job import Live
from .placement import Room


class TeamAccounts:
    """Charges teams for what runs, once in each round of decisions.

    Args:
        dispatch: Live jobs; its shares are what is charged.
        rooms: Empty rooms of the fleet, by pool and worker.
        now_s: Monotonic seconds.
    """

    def __init__(
        self, dispatch: Dispatch, rooms: dict[str, dict[str, Room]], now_s: float
    ):
        self.dispatch = dispatch
        self.rooms = rooms
        self.now_s = now_s
        self.totals = _totals(rooms)

    def count_running(self, config: Configuration) -> None:
        """Take what runs out of the rooms and put it on the teams' accounts.

        Args:
            config: Configuration in force, for the teams' shares.
        """
        self._open_accounts(config)
        for live in self.dispatch.left:
            self._charge(live)
        self.dispatch.left.clear()
        by_worker = {
            key: room for pool in self.rooms.values() for key, room in pool.items()
        }
        for live in self.dispatch.running.values():
            need = self._charge(live)
            self.use(live.job, need)
            for worker_id in live.job.workers:
                if worker_id in by_worker:
                    by_worker[worker_id].take(need)
        self.dispatch.round_s = self.now_s

    def use(self, job: Job, need: Usage) -> None:
        """Note that a team holds what a job needs.

        Args:
            job: Job that runs or is about to start.
            need: What each member of its gang uses.
        """
        self.dispatch.shares.use(job.team, self._part(need, job))

    def _open_accounts(self, config: Configuration) -> None:
        shares = self.dispatch.shares
        shares.clear_use()
        for team in config.teams.values():
            shares.set_share(team.name, team.share)
        running = {live.job.team for live in self.dispatch.running.values()}
        shares.set_active(self.dispatch.queue.teams() | running)

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
