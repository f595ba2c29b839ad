"""State of the scheduler of one pool, and its changes when runs start and end."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...state.resources import Resources
from ...state.work import RunRecord
from ..competition import PoolCompetition
from ..run_times import RunTimes
from .crashes import LapsedRuns
from .evacuated import EvacuatedDataCentres
from .learning import learn_from_end
from .limit_waits import LimitedStep, LimitWaits
from .live import LiveJob
from .messages import Ending, Order, StartOrder, StopOrder, TaskName
from .outcomes import apply_run_end
from .permits import Permits, step_name
from .queue_rules import QueueRules
from .rules import Rules
from .run import Run, RunState, run_of
from .task import Task
from .worker import Worker

STOP_RETRY_S = 0.6  # stop_s plus a network round trip


@dataclass(slots=True, eq=False)
class PoolState:
    """Jobs, workers and runs of one pool.

    Attributes:
        pool: Name of the pool.
        rules: Time limits of the scheduler.
        claimed_s: When this holder took over the pool, monotonic seconds.
        queue_rules: What the configuration says of the queues.
        jobs: Jobs that are not final, or whose end is not stored yet, by
            identifier.
        workers: Workers by identifier.
        team_used: Resources that the runs of each team occupy in this pool.
        competition: Shares of the teams in the pool.
        limits: Limit of each team that has one.
        allowances: Resources that each limited team may use in this pool; an
            absent team may use nothing.
        allowance_shortfall: Resources that tasks of each limited team lacked in the
            last round because of the allowance.
        limit_waits: Steps that wait for the limits of their teams.
        limit_reservations: Step of a team whose turn it is; other work of the team
            starts only beside it.
        draining: Machines to drain by moving their runs where possible, with the
            number of the request.
        finishing: Machines to drain by letting their runs finish, with the number
            of the request.
        maintenance_due: Machines that a maintenance wave will take down.
        evacuated: Data centres in which no run may start.
        unstored_ends: Workers with ends of runs that are not stored yet, by job.
        changed: Jobs with changes that no write includes yet, oldest first.
        orders: Orders to send.
        run_times: Run times learned from earlier runs.
        permits: Permits of the policy service, by step and worker.
        suspects: Tasks that may have crashed a worker, by name.
        lapsed: Runs that were lost with a silent worker, by its machine.
        reserved: Workers that get no new runs but those of suspects.
        notes: Decisions to log.
    """

    pool: str
    rules: Rules
    claimed_s: float
    queue_rules: QueueRules = field(default_factory=QueueRules)
    jobs: dict[str, LiveJob] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    team_used: dict[str, Resources] = field(
        default_factory=lambda: defaultdict(Resources)
    )
    competition: PoolCompetition = field(default_factory=PoolCompetition)
    limits: dict[str, Resources] = field(default_factory=dict)
    allowances: dict[str, Resources] = field(default_factory=dict)
    allowance_shortfall: dict[str, Resources] = field(default_factory=dict)
    limit_waits: LimitWaits = field(default_factory=LimitWaits)
    limit_reservations: dict[str, LimitedStep] = field(default_factory=dict)
    draining: Mapping[str, int] = field(default_factory=dict)
    finishing: Mapping[str, int] = field(default_factory=dict)
    maintenance_due: frozenset[str] = frozenset()
    evacuated: EvacuatedDataCentres = field(default_factory=EvacuatedDataCentres)
    unstored_ends: dict[str, dict[str, None]] = field(default_factory=dict)
    changed: dict[str, None] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    run_times: RunTimes = field(default_factory=RunTimes)
    permits: Permits = field(default_factory=Permits)
    suspects: dict[TaskName, Task] = field(default_factory=dict)
    lapsed: dict[str, LapsedRuns] = field(default_factory=dict)
    reserved: frozenset[str] = frozenset()
    notes: list[tuple[str, dict]] = field(default_factory=list)

    def note(self, what: str, **details: object) -> None:
        """Add a decision to the log entries to write."""
        self.notes.append((what, details))

    def touch(self, job: LiveJob) -> None:
        """Mark a job as changed."""
        job.version += 1
        self.changed[job.job.job_id] = None

    def add_run(self, task: Task, worker: Worker, number: int) -> Run:
        """Place a run of a task on a worker; its start is ordered once it is stored."""
        info = worker.info
        run = run_of(task, number, worker.worker_id, info.born_ms, info.machine)
        self._occupy(run, worker)
        task.last_run = max(task.last_run, number)
        job = task.job
        job.note_placed()
        self.touch(job)
        run.version = job.version
        return run

    def end_reservation(self, task: Task) -> None:
        """End the reservation of a limit if it is for a task's step."""
        reserved = self.limit_reservations.get(task.job.job.team)
        if reserved is not None and reserved.step == step_name(task.name):
            del self.limit_reservations[task.job.job.team]

    def lasting_use(self, team: str) -> Resources:
        """Return what the runs of a team use that do not end by themselves."""
        return sum(
            (
                run.held
                for worker in self.workers.values()
                for run in worker.runs.values()
                if run.task is not None
                and run.task.step.lasting
                and run.task.job.job.team == team
            ),
            Resources(),
        )

    def note_begun(self, run: Run) -> None:
        """Record that a worker has taken a run."""
        if run.is_first and run.task.job.note_begun():
            self.touch(run.task.job)

    def adopt_run(self, task: Task, worker: Worker, record: RunRecord) -> Run:
        """Add a run that an earlier holder of the pool placed."""
        run = run_of(
            task, record.number, worker.worker_id, record.born_ms, record.machine
        )
        run.state = RunState.DOUBTFUL
        run.adopted = True
        run.expected_from_s = float("-inf")
        run.pace_set_s = float("-inf")
        self._occupy(run, worker)
        return run

    def _occupy(self, run: Run, worker: Worker) -> None:
        worker.runs[run.name, run.number] = run
        worker.used = worker.used + run.held
        run.task.runs[run.number] = run
        team = run.task.job.job.team
        self.team_used[team] = self.team_used[team] + run.held

    def end_run(self, run: Run, ending: Ending, checkpoint: str, now_s: float) -> None:
        """Remove a run that has ended, and update its task and job."""
        worker = self.workers.get(run.worker_id)
        if worker is not None and worker.runs.pop((run.name, run.number), None):
            worker.used = worker.used - run.held
        task = run.task
        if task is None:
            return
        learn_from_end(self, run, ending, now_s)
        task.runs.pop(run.number, None)
        team = task.job.job.team
        self.team_used[team] = self.team_used[team] - run.held
        job = task.job
        if job.phase.final or task.settled:
            return
        apply_run_end(self, run, ending, checkpoint, now_s)
        job.note_run_ended()
        self.touch(job)
        if job.phase.final:
            self.retire(job, now_s)

    def lose_run(self, run: Run, reason: str, now_s: float) -> None:
        """End a run that no report will list as ended any more."""
        worker = self.workers.get(run.worker_id)
        self.note(
            "run lost",
            task=run.name,
            run=run.number,
            worker=run.worker_id,
            born_ms=run.born_ms,
            reason=reason,
            **(worker.lease_details(now_s) if worker else {}),
        )
        self.end_run(run, Ending.LOST, "", now_s)

    def retire(self, job: LiveJob, now_s: float) -> None:
        """Stop the remaining runs of a job that is final, and drop its permits."""
        self.permits.forget_job(job.job.job_id)
        for task in job.tasks.values():
            for run in list(task.runs.values()):
                self.release_run(run, now_s)
        self.touch(job)
        self.note(
            "job ended",
            job=job.job.job_id,
            phase=job.phase.value,
            queue=job.job.queue,
            reason=job.reason,
        )

    def stop_run(self, run: Run, now_s: float) -> None:
        """Mark a run as stopping; send a stop order if its start was ordered."""
        run.stopping = True
        if run.state is RunState.RECORDING:
            return
        if now_s - run.stop_sent_s >= STOP_RETRY_S:
            run.stop_sent_s = now_s
            self.orders.append(StopOrder(run.worker_id, run.name, run.number))

    def has_room_for(self, order: StartOrder) -> bool:
        """Return whether the run of a start order is wanted and fits on its worker."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.number)) if worker else None
        return run is not None and not run.stopping and worker.has_room_for(run)

    def stored(self, job_id: str, version: int, now_s: float) -> None:
        """Issue the start orders and acknowledgements that a stored version allows."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.writing = 0
        job.stored = version
        self._note_ends_stored(job_id, version)
        for task in job.tasks.values():
            for run in list(task.runs.values()):
                if run.state is RunState.RECORDING and run.version <= version:
                    self._order_start(run, task, now_s)
        if job.phase.final and job.stored == job.version:
            del self.jobs[job_id]
            self.changed.pop(job_id, None)

    def _note_ends_stored(self, job_id: str, version: int) -> None:
        for worker_id in list(self.unstored_ends.get(job_id, ())):
            worker = self.workers.get(worker_id)
            if worker is None or worker.note_stored(job_id, version):
                del self.unstored_ends[job_id][worker_id]
        if not self.unstored_ends.get(job_id, True):
            del self.unstored_ends[job_id]

    def _order_start(self, run: Run, task: Task, now_s: float) -> None:
        worker = self.workers.get(run.worker_id)
        forbidden = worker is None or self.evacuated.covers(worker)
        # The capacity of the worker may have shrunk since the run was placed.
        if run.stopping or forbidden or not worker.has_room_for(run):
            self.end_run(run, Ending.LOST, "", now_s)
            return
        run.state = RunState.ORDERED
        payload = task.job.job.payload
        permit = self.permits.ticket(step_name(run.name), run.worker_id)
        self.orders.append(
            StartOrder(
                run.worker_id, run.name, run.number, payload, task.checkpoint, permit
            )
        )

    def release_run(self, run: Run, now_s: float) -> None:
        """Stop a run whose result is no longer needed."""
        if run.state is RunState.RECORDING:
            # Its start was never ordered, so there is nothing to stop.
            self.end_run(run, Ending.LOST, "", now_s)
            return
        self.stop_run(run, now_s)
