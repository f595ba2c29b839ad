"""Interface of the scheduler of one pool."""

from collections import Counter
from collections.abc import Iterator, Mapping

from ...state.fleet_configuration import FleetConfiguration
from ...state.job_bounds import bounded
from ...state.resources import NO_RESOURCES, Resources
from ...state.work import Job, Phase, Progress
from .copies import CopyPolicy
from .demand import Arrivals, PoolDemand, measure_demand
from .evacuation import cleared_machines, step_evacuation
from .limit_waits import LimitedStep
from .live import LiveJob
from .machine_workers import (
    end_previous_workers,
    get_or_add_worker,
    note_machine_left,
)
from .messages import (
    JobWrite,
    Order,
    Report,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerInfo,
)
from .order_answers import handle_start_result, handle_stop_result
from .pacing import pace_fillers
from .placement import place_tasks
from .queue_rules import queue_rules
from .reports import begin_incarnation, handle_report
from .rules import Rules
from .state import PoolState
from .watchdog import watch_runs
from .worker import Worker

WATCH_INTERVAL_S = 0.05  # at most a tenth of the time limits that runs are checked for


class Scheduler:
    """Decides which worker runs each task; the caller does all I/O.

    A run is placed first, then stored by the caller (``take_writes``), and only
    then is its start ordered (``take_orders``). The end of a run is acknowledged
    to its worker only once it is stored.

    Args:
        pool: Name of the pool.
        rules: Time limits of the scheduler.
        now_s: When this holder took over the pool, monotonic seconds.
    """

    def __init__(self, pool: str, rules: Rules, now_s: float):
        self.state = PoolState(pool, rules, now_s)
        self.drain_started_s: dict[str, float] = {}
        self.last_watch_s = float("-inf")
        self.arrivals = Arrivals()
        self.copies = CopyPolicy()

    def configure(self, config: FleetConfiguration) -> None:
        """Apply a version of the configuration."""
        self.state.queue_rules = queue_rules(config)
        self.state.competition.configure(config, self.state.pool)
        self.state.limits = {
            team.name: team.limit for team in config.teams if team.limit != NO_RESOURCES
        }

    def add_job(self, job: Job, progress: Progress | None, now_s: float) -> None:
        """Add a job, with its stored progress if it has started."""
        if job.job_id in self.state.jobs:
            return
        live = LiveJob(bounded(job))
        if live.job != job:
            self.state.note("numbers out of bounds", job=job.job_id, queue=job.queue)
        self.state.jobs[job.job_id] = live
        if progress is None:
            self.arrivals.note(self.state, live, now_s)
            return
        live.restore(progress)
        for record in progress.tasks:
            task = live.tasks.get((record.occurrence, record.step, record.index))
            for run in record.runs:
                if task is not None:
                    worker = get_or_add_worker(self.state, run)
                    self.state.adopt_run(task, worker, run)
        suspects = [task for task in live.tasks.values() if task.is_suspect]
        self.state.suspects.update((task.name, task) for task in suspects)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Cancel a job; none of its tasks starts after this call."""
        live = self.state.jobs.get(job_id)
        if live is None or live.phase.final:
            return
        live.phase = Phase.CANCELLED
        self.state.retire(live, now_s)

    def update_worker(self, info: WorkerInfo, now_s: float) -> None:
        """Add a worker that the directory lists, or update it."""
        worker = self.state.workers.get(info.worker_id)
        if worker is None:
            worker = Worker(info, self.state.rules, self.state.claimed_s)
            self.state.workers[info.worker_id] = worker
        if info.born_ms > worker.info.born_ms:
            begin_incarnation(self.state, worker, info.born_ms, now_s)
        if info.born_ms >= worker.info.born_ms:
            worker.note_info(info, now_s)
        worker.present = True
        end_previous_workers(self.state, info, now_s)

    def remove_worker(self, worker_id: str) -> None:
        """Record that the directory no longer lists a worker."""
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            worker.present = False

    def note_machine_left(self, info: WorkerInfo) -> None:
        """Record that a machine has a worker of another pool."""
        note_machine_left(self.state, info)

    def handle_no_response(self, worker_id: str, now_s: float) -> None:
        """Record that a worker did not answer a lease renewal."""
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            worker.silent_since_s = min(worker.silent_since_s, now_s)

    def handle_report(
        self, worker_id: str, report: Report, sent_s: float, now_s: float
    ) -> None:
        """Process a worker's answer to a lease renewal that was sent at ``sent_s``."""
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            handle_report(self.state, worker, report, sent_s, now_s)

    def handle_start_result(
        self, order: StartOrder, result: StartResult, now_s: float
    ) -> None:
        """Process the answer to a start order."""
        handle_start_result(self.state, order, result, now_s)

    def handle_stop_result(
        self, order: StopOrder, answered: bool, now_s: float
    ) -> None:
        """Process the answer to a stop order, if there was one."""
        handle_stop_result(self.state, order, answered, now_s)

    def set_allowances(self, allowances: dict[str, Resources]) -> None:
        """Set the resources that each limited team may use in this pool."""
        self.state.allowances = allowances

    def set_limit_reservations(self, steps: dict[str, LimitedStep]) -> None:
        """Set the step of each team whose turn it is at the team's limit."""
        self.state.limit_reservations = steps

    def set_drains(
        self,
        draining: Mapping[str, int],
        finishing: Mapping[str, int],
        maintenance_due: frozenset[str] = frozenset(),
    ) -> None:
        """Set the machines to drain, each with the number of the request.

        Args:
            draining: Machines whose runs are moved elsewhere where possible.
            finishing: Machines that get no new runs; their runs may finish.
            maintenance_due: Machines that a maintenance wave will take down.
        """
        self.state.draining = draining
        self.state.finishing = finishing
        self.state.maintenance_due = maintenance_due

    def set_evacuated(self, data_centres: Mapping[str, float], now_s: float) -> None:
        """Set the evacuated data centres, with when each was first read."""
        if self.state.evacuated.set_data_centres(data_centres):
            self.state.note("evacuated", ages_s=self.state.evacuated.ages_s(now_s))

    def cleared(self) -> dict[str, int]:
        """Return the drained machines, each with the number of its drain request."""
        return cleared_machines(self.state)

    def decide(self, now_s: float, wall_s: float, may_place: bool = True) -> None:
        """Run one scheduling round: check running tasks and place waiting ones."""
        if now_s - self.last_watch_s >= WATCH_INTERVAL_S:
            self.last_watch_s = now_s
            watch_runs(self.state, now_s)
            step_evacuation(self.state, self.drain_started_s, now_s, may_place)
            pace_fillers(self.state, now_s)
        if may_place:
            placement = place_tasks(self.state, now_s, wall_s)
            self.copies.step(placement, wall_s)

    def take_writes(self, wall_s: float, most: int | None = None) -> list[JobWrite]:
        """Return the jobs to store, and mark them as being written.

        Args:
            wall_s: Seconds since the epoch.
            most: Maximum number of jobs; later changes of the others are merged.
        """
        writes: list[JobWrite] = []
        for job_id in list(self.state.changed):
            if most is not None and len(writes) >= most:
                break
            live = self.state.jobs[job_id]
            if live.writing:
                continue
            del self.state.changed[job_id]
            live.writing = live.version
            live.writing_phase = live.phase
            writes.append(
                JobWrite(job_id, live.version, live.progress(), live.status(wall_s))
            )
        return writes

    def stored(self, job_id: str, version: int, now_s: float) -> None:
        """Record that a version of a job has been stored."""
        live = self.state.jobs.get(job_id)
        if live is not None:
            live.shown = live.writing_phase
        self.state.stored(job_id, version, now_s)

    def take_orders(self) -> list[Order]:
        """Return and clear the orders that may be sent now."""
        orders, self.state.orders = self.state.orders, []
        return orders

    def take_notes(self) -> list[tuple[str, dict]]:
        """Return and clear the decisions to log since the last call."""
        notes, self.state.notes = self.state.notes, []
        return notes

    def waiting(self) -> dict[str, int]:
        """Count the unstarted jobs by the name of the queue that accepted them.

        Jobs with a schedule do not count.
        """
        return dict(Counter(live.job.queue for live in self._waiting()))

    def waiting_at(self) -> dict[str, int]:
        """Count the unstarted jobs by the address of their queue; see `waiting`."""
        rules = self.state.queue_rules
        return dict(Counter(rules.address_of(live.job) for live in self._waiting()))

    def _waiting(self) -> Iterator[LiveJob]:
        return (live for live in self.state.jobs.values() if live.is_waiting)

    def demand(self, now_s: float, wall_s: float) -> PoolDemand:
        """Return the CPU demand of the pool."""
        return measure_demand(self.state, self.arrivals, now_s, wall_s)

    def urgent_share(self, now_s: float) -> float:
        """Return the share of arriving jobs that could not wait for a machine."""
        return self.arrivals.urgent_share(now_s)
