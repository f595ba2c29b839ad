"""In-memory state of a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ...state.resources import NO_RESOURCES, Resources
from .messages import TaskName

if TYPE_CHECKING:
    from .task import Task

FULL_PACE_PERCENT = 100


class RunState(Enum):
    """Known state of a run.

    ``RECORDING``: not stored yet, so its start has not been ordered.
    ``ORDERED``: the start order is sent or about to be sent. ``DOUBTFUL``: the
    run may be alive or may still start. ``ALIVE``: the worker has confirmed it.
    """

    RECORDING = "recording"
    ORDERED = "ordered"
    DOUBTFUL = "doubtful"
    ALIVE = "alive"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task.

    Attributes:
        task: Task that it runs; None if the job is no longer known.
        name: Name of the task.
        number: Run number.
        worker_id: Worker that the run is placed on.
        born_ms: Start time of that worker incarnation, milliseconds since the epoch.
        held: Resources that the run occupies.
        machine: Machine of the worker; empty if unknown.
        state: Known state of the run.
        version: First version of the job that includes this run.
        expected_from_s: A report requested after this time that does not list the
            run proves that it has ended; monotonic seconds.
        begun_s: When the run was first known to be alive; inf before.
        stopping: True once the run is to be stopped.
        stop_sent_s: When the last stop order was issued.
        stop_acked_s: When a stop order was first answered; inf before.
        at_work: True if the run works at its full share.
        slow_since_s: Since when reports show the run below its pace; inf if not.
        succeeded: True once a lasting run was at work for long enough.
        percent: Share of its speed, as last reported.
        measurement: Last reported measurement; see ``ListedRun.measurement``.
        pace: Share of its speed that was last ordered, percent.
        whole: True if it is known when it began, and that it had no checkpoint.
        adopted: True if an earlier holder placed the run.
        crash_noted: True once a crash of its worker was counted for its task.
        checkpoint: Last reported checkpoint, or the one that the run resumed from.
        checkpoint_s: When a new checkpoint of the run was last reported; -inf if never.
        pace_set_s: When the pace was last ordered, monotonic seconds; None if never,
            -inf if an earlier holder may have ordered one.
    """

    task: Task | None
    name: TaskName
    number: int
    worker_id: str
    born_ms: int
    held: Resources = NO_RESOURCES
    machine: str = ""
    state: RunState = RunState.RECORDING
    version: int = 0
    expected_from_s: float = float("inf")
    begun_s: float = float("inf")
    stopping: bool = False
    stop_sent_s: float = float("-inf")
    stop_acked_s: float = float("inf")
    at_work: bool = False
    slow_since_s: float = float("inf")
    succeeded: bool = False
    percent: float = 0.0
    measurement: float = 0.0
    pace: int = FULL_PACE_PERCENT
    whole: bool = False
    adopted: bool = False
    crash_noted: bool = False
    checkpoint: str = ""
    checkpoint_s: float = float("-inf")
    pace_set_s: float | None = None

    @property
    def was_alive(self) -> bool:
        """True if the run was known to be alive and was not to be stopped."""
        return self.begun_s < float("inf") and not self.stopping

    @property
    def is_first(self) -> bool:
        """True if no worker is known to have taken a run of the job yet."""
        return self.task is not None and not self.task.job.began

    def is_gone(self, sent_s: float) -> bool:
        """Return whether a report that does not list the run proves that it has ended.

        Args:
            sent_s: When the report was requested, monotonic seconds.
        """
        return self.expected_from_s < sent_s or self.stop_acked_s < sent_s


def run_of(task: Task, number: int, worker_id: str, born_ms: int, machine: str) -> Run:
    """Return a run of a task, which holds what the task's step occupies.

    Args:
        task: The task.
        number: Run number.
        worker_id: Worker that the run is placed on.
        born_ms: Start time of that worker incarnation, milliseconds since the epoch.
        machine: Machine of the worker; empty if unknown.
    """
    return Run(
        task,
        task.name,
        number,
        worker_id,
        born_ms,
        task.step.occupies,
        machine,
        checkpoint=task.checkpoint,
    )
