"""What the scheduler of one pool knows, and the changes that runs bring."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...state.fleet_configuration import AdviceRules
from ...state.resources import Resources
from ...state.work import Phase
from .live import LiveJob, Run, RunState, Task
from .messages import Ending, Order, StartOrder, StopOrder
from .outcomes import settle
from .permits import Permits, step_of
from .rules import Rules
from .run_times import RunTimes
from .worker import Worker

STOP_AGAIN_S = 0.6  # a stop without effect is repeated after stop_s and a trip


@dataclass(slots=True, eq=False)
class PoolState:
    """Jobs, workers and runs of one pool.

    Attributes:
        pool: Name of the pool.
        rules: Bounds.
        claimed_s: When this holder took the pool over.
        advice: Rules of the policy service, by queue; absent without any.
        jobs: Jobs that are not final, or whose end is not stored yet.
        workers: Workers by identifier.
        team_used: What each team has running here.
        weights: Share of each team when the pool is full.
        limited: Teams that have a limit.
        allowances: What each of them may have running here; nothing if absent.
        short: Teams that were kept back by their allowance, with the need.
        vacating: Machines that shall become empty soon, with the number of the
            request; what can move is moved.
        resting: The same for machines on which what runs ends by itself.
        maintenance_due: Machines that a wave will take down.
        unstored_ends: Workers that listed ends of each job which are not stored.
        changed: Jobs with changes that are not being stored, the oldest first.
        orders: Orders to be sent.
        times: Learned run times.
        permits: Permits of the policy service, by step and worker.
        notes: Decisions to be logged.
    """

    pool: str
    rules: Rules
    claimed_s: float
    advice: dict[str, AdviceRules] = field(default_factory=dict)
    jobs: dict[str, LiveJob] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    team_used: dict[str, Resources] = field(
        default_factory=lambda: defaultdict(Resources)
    )
    weights: dict[str, float] = field(default_factory=dict)
    limited: frozenset[str] = frozenset()
    allowances: dict[str, Resources] = field(default_factory=dict)
    short: dict[str, Resources] = field(default_factory=dict)
    vacating: Mapping[str, int] = field(default_factory=dict)
    resting: Mapping[str, int] = field(default_factory=dict)
    maintenance_due: frozenset[str] = frozenset()
    unstored_ends: dict[str, dict[str, None]] = field(default_factory=dict)
    changed: dict[str, None] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    times: RunTimes = field(default_factory=RunTimes)
    permits: Permits = field(default_factory=Permits)
    notes: list[tuple[str, dict]] = field(default_factory=list)

    def note(self, what: str, **details: object) -> None:
        """Keep a decision for the log."""
        self.notes.append((what, details))

    def touch(self, job: LiveJob) -> None:
        """Mark a job as changed."""
        job.version += 1
        self.changed[job.job.job_id] = None

    def add_run(self, task: Task, worker: Worker, number: int, now_s: float) -> Run:
        """Place a run of a task on a worker; it is ordered once it is stored."""
        born_ms = worker.info.born_ms
        run = Run(
            task, task.name, number, worker.worker_id, born_ms, task.step.occupies
        )
        run.away_since_s = now_s
        self._hold(run, worker)
        task.last_run = max(task.last_run, number)
        job = task.job
        job.began = True
        if job.phase is Phase.QUEUED:
            job.phase = Phase.RUNNING
        self.touch(job)
        run.version = job.version
        return run

    def adopt_run(self, task: Task, worker: Worker, number: int, born_ms: int) -> Run:
        """Take over a run that an earlier holder placed."""
        run = Run(
            task, task.name, number, worker.worker_id, born_ms, task.step.occupies
        )
        run.state = RunState.DOUBTFUL
        run.seen_s = float("-inf")
        self._hold(run, worker)
        return run

    def _hold(self, run: Run, worker: Worker) -> None:
        worker.runs[run.name, run.number] = run
        worker.used = worker.used + run.held
        run.task.runs[run.number] = run
        team = run.task.job.job.team
        self.team_used[team] = self.team_used[team] + run.held

    def end_run(self, run: Run, ending: Ending, checkpoint: str, now_s: float) -> None:
        """Take a run out and draw the consequences for its task and job."""
        worker = self.workers.get(run.worker_id)
        if worker is not None and worker.runs.pop((run.name, run.number), None):
            worker.used = worker.used - run.held
        task = run.task
        if task is None:
            return
        task.runs.pop(run.number, None)
        team = task.job.job.team
        self.team_used[team] = self.team_used[team] - run.held
        job = task.job
        if job.phase.final or task.settled:
            return
        settle(self, run, ending, checkpoint, now_s)
        self.touch(job)
        if job.phase.final:
            self.retire(job, now_s)

    def retire(self, job: LiveJob, now_s: float) -> None:
        """Let go of a job that is final; what still runs is stopped."""
        self.permits.forget_job(job.job.job_id)
        for task in job.tasks.values():
            for run in list(task.runs.values()):
                self.let_go(run, now_s)
        self.touch(job)
        self.note(
            "job ended", job=job.job.job_id, phase=job.phase.value, queue=job.job.queue
        )

    def stop_run(self, run: Run, now_s: float) -> None:
        """End a run; its worker is told once the run was ordered."""
        run.stopping = True
        if run.state is RunState.RECORDING:
            return
        if now_s - run.stop_sent_s >= STOP_AGAIN_S:
            run.stop_sent_s = now_s
            self.orders.append(StopOrder(run.worker_id, run.name, run.number))

    def stored(self, job_id: str, version: int, now_s: float) -> None:
        """Draw the consequences of a stored version: orders, acknowledgements."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.writing = 0
        job.stored = version
        self._note_ends_stored(job_id, version)
        for task in job.tasks.values():
            for run in list(task.runs.values()):
                if run.state is RunState.RECORDING and run.version <= version:
                    self._order(run, task, now_s)
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

    def _order(self, run: Run, task: Task, now_s: float) -> None:
        if run.stopping:
            self.end_run(run, Ending.LOST, "", now_s)
            return
        run.state = RunState.ORDERED
        self.orders.append(
            StartOrder(
                run.worker_id,
                run.name,
                run.number,
                task.job.job.payload,
                task.checkpoint,
                self.permits.ticket(step_of(run.name), run.worker_id),
            )
        )

    def let_go(self, run: Run, now_s: float) -> None:
        """End a run that nobody waits for any more."""
        if run.state is RunState.RECORDING:
            # Never ordered: the write that would have allowed it is replaced.
            self.end_run(run, Ending.LOST, "", now_s)
            return
        self.stop_run(run, now_s)
