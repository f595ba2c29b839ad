"""The data centres that operators evacuate, as the scheduler of a pool sees them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...state.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from .messages import TaskName
    from .task import Task
    from .worker import Worker


@dataclass(frozen=True, slots=True)
class KeptCapacity:
    """Capacity of a worker that is kept for a task that is being moved there.

    Attributes:
        task: The task.
        worker_id: The worker.
        resources: The capacity.
        until_s: End of the time for which it is kept, monotonic seconds.
    """

    task: Task
    worker_id: str
    resources: Resources
    until_s: float


@dataclass(slots=True)
class EvacuatedDataCentres:
    """The evacuated data centres and the runs that are being moved out of them.

    Attributes:
        since_s: When this instance first read of each evacuation, monotonic seconds,
            by data centre.
        kept: Capacity that is kept for the tasks that are being moved.
        staying: Number of runs that stay, by data centre and reason.
        searched_s: When destinations for them were last searched, monotonic seconds.
    """

    since_s: dict[str, float] = field(default_factory=dict)
    kept: dict[TaskName, KeptCapacity] = field(default_factory=dict)
    staying: dict[str, dict[str, int]] = field(default_factory=dict)
    searched_s: float = float("-inf")

    def __contains__(self, data_centre: str) -> bool:
        return data_centre in self.since_s

    def __bool__(self) -> bool:
        return bool(self.since_s)

    def covers(self, worker: Worker) -> bool:
        """Return whether no task may start on a worker because of an evacuation."""
        return worker.info.data_centre in self.since_s

    def set_data_centres(self, since_s: Mapping[str, float]) -> bool:
        """Replace the evacuated data centres; return whether they have changed."""
        changed = since_s.keys() != self.since_s.keys()
        self.since_s = dict(since_s)
        return changed

    def ages_s(self, now_s: float) -> dict[str, float]:
        """Return how long ago each evacuation was first read, seconds."""
        return {name: round(now_s - at_s, 2) for name, at_s in self.since_s.items()}

    def kept_for_others(self, task: TaskName, worker_id: str) -> Resources:
        """Return the capacity of a worker that is kept for other tasks."""
        found = NO_RESOURCES
        for name, kept in self.kept.items():
            if kept.worker_id == worker_id and name != task:
                found = found + kept.resources
        return found

    def in_service(self, workers: Iterable[Worker]) -> list[Worker]:
        """Return the listed workers that are in no evacuated data centre."""
        return [
            worker for worker in workers if worker.present and not self.covers(worker)
        ]
