"""Workers that may get runs in one placement pass over all jobs."""

from collections.abc import Mapping
from functools import cached_property

from ...state.resources import Resources
from .free_capacity_index import FreeCapacityIndex
from .isolation import Isolator
from .live import LiveJob
from .spread import SiblingCounts, count_siblings_by_place, find_racks
from .state import PoolState
from .task import Task
from .worker import Worker
from .worker_quarantine import LAST_RESORT_INTERVAL_S

# Why a worker gets no new runs, whatever its own state.
CLOSED = "machine closed by the plan"
EVACUATED = "evacuated data centre"


def find_exclusion(state: PoolState, worker: Worker) -> str:
    """Return why the plan or operators exclude a worker; empty if they don't."""
    machine = worker.info.machine
    if machine in state.draining or machine in state.finishing:
        return CLOSED
    return EVACUATED if state.evacuated.covers(worker) else ""


class PlacementRound:
    """State of one placement pass over all jobs.

    Args:
        state: State of the pool.
        now_s: Monotonic time, seconds.

    Attributes:
        workers: Workers that may get new runs.
        last_resorts: Quarantined workers, for tasks that no other worker can run.
        free_index: The workers that may get new runs, indexed by free CPU capacity.
        mostly_idle: True if under half of the pool's CPU capacity was in use.
        isolator: Keeps suspects apart from other tasks; None without suspects.
        placed: Number of tasks placed so far.
        unplaceable: Requirements that no worker could meet in this round.
        waiting: Jobs with tasks that found no worker, the most urgent first.
        complete: False if the round was cut short, so that more jobs may wait.
    """

    def __init__(self, state: PoolState, now_s: float):
        self.state = state
        self.now_s = now_s
        candidates = [
            worker
            for worker in state.workers.values()
            if not find_exclusion(state, worker)
        ]
        self.workers = [worker for worker in candidates if worker.is_usable(now_s)]
        self.last_resorts = {
            worker.worker_id: worker
            for worker in candidates
            if worker.is_last_resort(now_s)
        }
        self.free_index = FreeCapacityIndex(self.workers)
        present = state.evacuated.in_service(state.workers.values())
        capacity_m = sum(worker.info.capacity.cpu_m for worker in present)
        used_m = sum(worker.used.cpu_m for worker in present)
        self.mostly_idle = 2 * used_m < capacity_m
        self.isolator = Isolator(state, self.workers, now_s) if state.suspects else None
        self.placed = 0
        self.unplaceable: set[tuple] = set()
        self.waiting: list[LiveJob] = []
        self.complete = True

    def count_siblings_by_place(
        self, task: Task, reserved: Mapping[str, tuple[Resources, int]]
    ) -> SiblingCounts:
        """Count the other tasks of a lasting task's step by data centre and rack."""
        racks = self._racks if task.step.may_miss else {}
        return count_siblings_by_place(self.state, task, racks, reserved)

    @cached_property
    def _racks(self) -> dict[str, str]:
        return find_racks(self.state.workers.values())

    def note_placed(self, worker: Worker) -> None:
        """Record that a task was placed on a worker."""
        self.placed += 1
        if worker.worker_id in self.free_index.workers:
            self.free_index.update(worker)
        if self.last_resorts.pop(worker.worker_id, None) or worker.on_trial:
            next_s = self.now_s + LAST_RESORT_INTERVAL_S
            worker.quarantine.next_last_resort_s = next_s
