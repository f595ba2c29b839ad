"""Keeps tasks that may crash their worker apart from others until this is known."""

from enum import IntEnum

from .crashes import MAX_CRASHES, MAX_SHARED_CRASHES, is_settled
from .run import Run
from .state import PoolState
from .task import Task
from .worker import Worker

MAX_SUSPECT_SHARE = 0.5  # of the workers, that suspects may bring down at a time
MAX_RISK_SHARE = 0.25  # the same for tasks with two crashes or more
MAX_HOLD_S = 1.5  # a task that is held up for longer is kept apart less strictly
MAX_CROWDED_HOLD_S = 3.0  # the same while MAX_SUSPECT_SHARE of the workers are taken


class Isolation(IntEnum):
    """How far a task must be kept apart on its worker.

    ``SPREAD``: no other suspect starts beside it. ``QUIET``: nothing starts beside
    it, and all other runs outlived their start. ``ALONE``: it has the worker for
    itself.
    """

    NONE = 0
    SPREAD = 1
    QUIET = 2
    ALONE = 3


def required_isolation(task: Task) -> Isolation:
    """Return how far a task must be kept apart."""
    # A single silent worker is no reason for suspicion.
    crashes = task.crashes + max(0, task.lapses - 1)
    if crashes >= MAX_CRASHES and not task.step.lasting:
        return Isolation.ALONE
    if crashes >= MAX_CRASHES - 1:
        return Isolation.QUIET
    if crashes and not task.crashed_late:
        return Isolation.SPREAD
    return Isolation.NONE


class Isolator:
    """Decides in one placement round which workers a task may share with others.

    Args:
        state: State of the pool.
        workers: Workers that may get new runs.
        now_s: Monotonic time, seconds.

    Attributes:
        isolated: Strictest isolation of a run on each worker with such a run.
        max_suspect: Number of workers that suspects may bring down at a time.
        max_risky: The same for tasks with two crashes or more.
        wanted: Tasks that found no worker on which they are isolated.
    """

    def __init__(self, state: PoolState, workers: list[Worker], now_s: float):
        self.state = state
        self.workers = workers
        self.now_s = now_s
        self.isolated: dict[str, Isolation] = {}
        self.wanted: list[Task] = []
        present = len(state.evacuated.in_service(state.workers.values()))
        self.max_suspect = max(1, int(present * MAX_SUSPECT_SHARE))
        self.max_risky = max(1, int(present * MAX_RISK_SHARE))
        for name, task in list(state.suspects.items()):
            if task.settled or task.job.phase.final or not task.is_suspect:
                del state.suspects[name]
                continue
            for run in task.runs.values():
                if self._keeps_others_away(run):
                    self.note_placed(task, run.worker_id)

    def allows(self, task: Task, worker: Worker) -> bool:
        """Return whether a task may start on a worker beside the runs that it has."""
        if task.crashes + task.lapses >= MAX_SHARED_CRASHES:
            return False  # until it is known whether the silent workers crashed
        if task.is_suspect and self._is_crowded(task):
            return False
        isolation = self._isolation(task)
        beside = self.isolated.get(worker.worker_id, Isolation.NONE)
        if isolation < Isolation.QUIET and worker.worker_id in self.state.reserved:
            return False
        if isolation is Isolation.NONE:
            return beside < Isolation.QUIET
        if beside:
            return False
        if isolation is Isolation.SPREAD:
            return True
        if not self._is_overdue(task) and (
            self._risky() >= self.max_risky
            # Another crash of the same machine would prove nothing.
            or worker.info.machine in task.crashed_machines
        ):
            return False
        runs = worker.runs.values()
        if isolation is Isolation.ALONE:
            return all(run.succeeded for run in runs)
        clear = self._is_overdue(task) or not any(
            run.task is None or run.task.is_suspect for run in runs
        )
        return clear and all(is_settled(run, worker) for run in runs)

    def note_placed(self, task: Task, worker_id: str) -> None:
        """Record that a task was placed on a worker."""
        task.held_since_s = float("inf")
        isolation = required_isolation(task)
        if isolation:
            beside = self.isolated.get(worker_id, Isolation.NONE)
            self.isolated[worker_id] = max(beside, isolation)

    def note_held(self, task: Task) -> None:
        """Record that a suspect found no worker."""
        task.held_since_s = min(task.held_since_s, self.now_s)
        if self._isolation(task) >= Isolation.QUIET:
            self.wanted.append(task)

    def reserve(self) -> None:
        """Keep workers free of further starts for the tasks that wait for one."""
        reserved: dict[str, None] = {}
        for task in self.wanted:
            within = self._risky() + len(reserved) < self.max_risky
            if not within and not self._is_overdue(task):
                continue
            candidates = [
                worker
                for worker in self.workers
                if worker.worker_id not in reserved
                and worker.worker_id not in self.isolated
                and _fits_later(task, worker)
            ]
            if candidates:
                best = min(candidates, key=lambda item: self._delay(task, item))
                reserved[best.worker_id] = None
        self.state.reserved = frozenset(reserved)

    def _delay(self, task: Task, worker: Worker) -> tuple:
        """Return the sort key of a worker to reserve; lower is free earlier."""
        blamed = worker.info.machine in task.crashed_machines
        kept = worker.worker_id in self.state.reserved
        fits = task.step.need.fits(worker.free)
        return (blamed, not fits, not kept, len(worker.runs), worker.worker_id)

    def _isolation(self, task: Task) -> Isolation:
        isolation = required_isolation(task)
        if isolation is not Isolation.QUIET and self._is_overdue(task):
            return Isolation(max(0, isolation - 1))
        return isolation

    def _is_overdue(self, task: Task) -> bool:
        return self.now_s - task.held_since_s > MAX_HOLD_S

    def _is_crowded(self, task: Task) -> bool:
        if required_isolation(task) is Isolation.NONE:
            return False
        held_s = self.now_s - task.held_since_s
        return len(self.isolated) >= self.max_suspect and held_s <= MAX_CROWDED_HOLD_S

    def _risky(self) -> int:
        return sum(1 for level in self.isolated.values() if level >= Isolation.QUIET)

    def _keeps_others_away(self, run: Run) -> bool:
        if required_isolation(run.task) is Isolation.ALONE:
            return True
        worker = self.state.workers.get(run.worker_id)
        return worker is None or not is_settled(run, worker)


def _fits_later(task: Task, worker: Worker) -> bool:
    """Return whether a task fits a worker once its runs that end have ended."""
    step = task.step
    free = worker.free
    for run in worker.runs.values():
        if run.task is None or not run.task.step.lasting:
            free = free + run.held
    return step.need.fits(free) and (not step.label or step.label in worker.info.labels)
