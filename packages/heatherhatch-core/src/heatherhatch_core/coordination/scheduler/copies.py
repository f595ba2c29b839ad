"""Starts second runs of tasks that hold up their job, and keeps account of them."""

from __future__ import annotations

from ...state.resources import Resources
from .copy_gain import Straggler, find_stragglers, pool_capacity, used_share
from .copy_release import copy_run, give_up_copies
from .messages import TaskName
from .placement_round import PlacementRound
from .preference import penalties
from .state import PoolState
from .task import Task
from .waiting_work import WaitingTask, waiting_tasks
from .worker import Worker
from .worker_choice import fits_allowance, iter_fitting

CHECK_INTERVAL_S = 0.1  # well below the shortest tasks, which take most of a second
# Of the pool's capacity. Copies of 3 of 100 tasks are a thirtieth of the work, and one
# machine of ten that turned slow holds a tenth of the tasks.
MAX_COPY_SHARE = 0.1


class CopyPolicy:
    """Decides which tasks of one pool get a second run.

    Attributes:
        checked_s: When stragglers were last looked for, monotonic seconds.
        copied: Tasks with a copy, oldest copy first.
    """

    def __init__(self):
        self.checked_s = float("-inf")
        self.copied: dict[TaskName, Task] = {}

    def step(self, placement: PlacementRound | None, wall_s: float) -> None:
        """Give up and start copies.

        Args:
            placement: The placement round that has just ended; None if there was none.
            wall_s: Seconds since the epoch.
        """
        if placement is None:
            return
        state, now_s = placement.state, placement.now_s
        due = now_s - self.checked_s >= CHECK_INTERVAL_S
        if due:
            self.checked_s = now_s
            self._adopt_copies(state)
        self._forget_ended(state)
        waiting = waiting_tasks(placement, wall_s) if due or self.copied else []
        if self.copied:
            give_up_copies(placement, self.copied.values(), waiting)
        if due and placement.complete and state.rules.gates.copies:
            self._start_copies(placement, waiting, wall_s)

    def _adopt_copies(self, state: PoolState) -> None:
        """Find the copies that an earlier holder placed."""
        for worker in state.workers.values():
            for run in worker.runs.values():
                task = run.task
                if task is None or len(task.runs) < 2 or task.copy_number:
                    continue
                if not task.settled and not task.job.phase.final:
                    task.copy_number = max(task.runs)
                    task.copies = max(1, task.copies)
                    self.copied[task.name] = task

    def _forget_ended(self, state: PoolState) -> None:
        for name, task in list(self.copied.items()):
            if task.copy_number and task.job.phase.final:
                task.copy_number = 0
                state.note("copy ended", task=name, outcome="dropped")
            if not task.copy_number:
                del self.copied[name]

    def _start_copies(
        self, placement: PlacementRound, waiting: list[WaitingTask], wall_s: float
    ) -> None:
        state = placement.state
        found = find_stragglers(state, placement.now_s, wall_s)
        slow = {straggler.run.worker_id for straggler in found}
        worthwhile = [item for item in found if item.gain_s > item.threshold_s]
        worthwhile.sort(key=lambda item: (not item.late, -item.gain_s, item.task.name))
        for straggler in worthwhile:
            task = straggler.task
            if not self._is_within_share(state, task.step.occupies):
                continue
            if not fits_allowance(state, task, task.step.occupies):
                continue
            worker = _choose_worker(placement, straggler, waiting, slow)
            if worker is not None:
                self._start(placement, straggler, worker)

    def _is_within_share(self, state: PoolState, need: Resources) -> bool:
        """Return whether one more copy keeps to the copies' share of the pool."""
        used = Resources()
        for task in self.copied.values():
            run = copy_run(task)
            if run is not None:
                used = used + run.held
        if used == Resources():
            return True  # in a small pool, one copy may be more than the share
        capacity, _used = pool_capacity(state)
        most = Resources(
            int(capacity.cpu_m * MAX_COPY_SHARE),
            int(capacity.memory_mb * MAX_COPY_SHARE),
            int(capacity.accelerators * MAX_COPY_SHARE),
        )
        return (used + need).fits(most)

    def _start(
        self, placement: PlacementRound, straggler: Straggler, worker: Worker
    ) -> None:
        state, task, run = placement.state, straggler.task, straggler.run
        share = used_share(state, task.step.occupies)
        number = task.last_run + 1
        state.add_run(task, worker, number)
        task.copies += 1
        task.copy_number = number
        self.copied[task.name] = task
        placement.note_placed(worker)
        if placement.isolator is not None:
            placement.isolator.note_placed(task, worker.worker_id)
        state.note(
            "copy started",
            task=task.name,
            run=number,
            worker=worker.worker_id,
            of_run=run.number,
            of_worker=run.worker_id,
            silent=straggler.silent,
            ran_s=round(straggler.ran_s, 2),
            rest_s=round(straggler.rest_s, 2),
            fresh_s=round(straggler.fresh_s, 2),
            gain_s=round(straggler.gain_s, 2),
            threshold_s=round(straggler.threshold_s, 2),
            late=straggler.late,
            used_share=round(share, 2),
            room_cpu_m=worker.free.cpu_m,
            version=task.job.version,
        )


def _choose_worker(
    placement: PlacementRound,
    straggler: Straggler,
    waiting: list[WaitingTask],
    slow: set[str],
) -> Worker | None:
    """Return the best worker for a copy, or None if there is none."""
    task, run = straggler.task, straggler.run
    original = placement.state.workers.get(run.worker_id)
    best = None
    lowest: tuple = ()
    for worker in iter_fitting(placement, task):
        if worker.worker_id == run.worker_id:
            continue
        if run.machine and worker.info.machine == run.machine:
            continue
        # Work that is on time and needs a larger block of it than is free now.
        if any(item.fits(worker, worker.info.capacity) for item in waiting):
            continue
        avoided, remote, cold = penalties(task, worker)
        if avoided or cold:
            continue  # a copy there is not expected to end first
        # The labels are the kind and the rack.
        labels = worker.info.labels
        same_rack = bool(original and labels and labels == original.info.labels)
        penalty = (worker.worker_id in slow, same_rack, remote)
        if not any(penalty):
            return worker
        if best is None or penalty < lowest:
            best, lowest = worker, penalty
    return best
