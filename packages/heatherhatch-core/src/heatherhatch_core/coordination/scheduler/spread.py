"""Counts where the tasks of a step run, to spread them over data centres and racks."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.resources import Resources
    from .state import PoolState
    from .task import Task
    from .worker import Worker


@dataclass(frozen=True, slots=True)
class SiblingCounts:
    """Where the other tasks of a task's step run.

    Attributes:
        by_data_centre: Number of them in each data centre; empty if the step is not
            spread over data centres.
        by_rack: Number of them in each rack.
        rack_of: Rack of each worker with labels; empty if the step is not spread over
            racks.
        most_per_rack: Number of tasks of the step above which a rack gets no more
            while another has room.
    """

    by_data_centre: Mapping[str, int] = field(default_factory=dict)
    by_rack: Mapping[str, int] = field(default_factory=dict)
    rack_of: Mapping[str, str] = field(default_factory=dict)
    most_per_rack: int = 0

    def in_data_centre(self, worker: Worker) -> int:
        """Return how many of them are in a worker's data centre."""
        return self.by_data_centre.get(worker.info.data_centre, 0)

    def in_rack(self, worker: Worker) -> int:
        """Return how many of them are in a worker's rack."""
        return self.by_rack.get(self.rack_of.get(worker.worker_id, ""), 0)

    def is_rack_full(self, worker: Worker) -> bool:
        """Return whether a rack has as many tasks of the step as it may have."""
        count = self.in_rack(worker)
        return bool(count) and count >= self.most_per_rack


def find_racks(workers: Iterable[Worker]) -> dict[str, str]:
    """Return the rack of each worker that has labels.

    Labels name the kind and the rack, and do not say which is which. A rack is in one
    data centre and has few workers. So it is the label that occurs in the fewest data
    centres, and of these on the fewest workers.
    """
    workers = list(workers)
    data_centres = defaultdict(set)
    sizes: Counter[str] = Counter()
    for worker in workers:
        for label in worker.info.labels:
            data_centres[label].add(worker.info.data_centre)
            sizes[label] += 1
    return {
        worker.worker_id: min(
            worker.info.labels,
            key=lambda label: (len(data_centres[label]), sizes[label], label),
        )
        for worker in workers
        if worker.info.labels
    }


def count_siblings_by_place(
    state: PoolState,
    task: Task,
    racks: Mapping[str, str],
    reserved: Mapping[str, tuple[Resources, int]],
) -> SiblingCounts:
    """Count the other tasks of a lasting task's step by data centre and rack.

    Args:
        state: State of the pool.
        task: Task to place.
        racks: Rack of each worker; only needed if the step may miss tasks.
        reserved: For each worker, the resources and the number of tasks reserved for
            other members of the same gang.
    """
    step = task.step
    if not state.rules.lost_data_centres and not step.may_miss:
        return SiblingCounts()
    by_data_centre: Counter[str] = Counter()
    by_rack: Counter[str] = Counter()
    for worker_id, count in _places(state, task, reserved):
        worker = state.workers.get(worker_id)
        if worker is not None:
            by_data_centre[worker.info.data_centre] += count
            if worker_id in racks:
                by_rack[racks[worker_id]] += count
    if not state.rules.lost_data_centres:
        by_data_centre.clear()
    if not step.may_miss:
        return SiblingCounts(by_data_centre)
    # As on one machine; a smaller part would open a machine in each rack.
    half = (step.count + 1) // 2
    return SiblingCounts(by_data_centre, by_rack, racks, max(step.may_miss, half))


def _places(
    state: PoolState, task: Task, reserved: Mapping[str, tuple[Resources, int]]
) -> list[tuple[str, int]]:
    name = task.name
    places = [(worker_id, count) for worker_id, (_held, count) in reserved.items()]
    for other in task.job.step_tasks(name.occurrence, name.step):
        if other is task:
            continue
        kept = state.evacuated.kept.get(other.name)
        found = [run.worker_id for run in other.runs.values() if not run.stopping]
        if not found and kept is not None:
            found = [kept.worker_id]
        places += [(worker_id, 1) for worker_id in found]
    return places
