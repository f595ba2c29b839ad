"""In-memory state of a task."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...state.work import RunRecord, Step, TaskRecord
from .messages import TaskName
from .run import Run

if TYPE_CHECKING:
    from .live import LiveJob


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job that is not final.

    Attributes:
        job: Job that the task belongs to.
        name: Name of the task.
        step: Step that the task belongs to.
        runs: Runs that may be alive, by run number.
        last_run: Highest run number used so far.
        failures: Number of failed runs.
        failed_run: Run number of the last failed run; 0 for none.
        crashes: Number of workers that crashed with a run of the task.
        sole_crashes: Number of these crashes that no other run can have caused.
        crashed_run: Number of the last run that crashed with its worker; 0 for none.
        crashed_late: True if that run had outlived its start.
        lapses: Number of its runs that were lost with workers that are still silent.
        crashed_machines: Machines of these workers.
        held_since_s: Since when the task waits for a worker on which it is isolated,
            monotonic seconds; inf if it does not.
        preemptions: Number of its runs that were stopped for urgent jobs.
        done: True once a run has succeeded.
        ran_s: Run time of that run, seconds; 0 if it is not known.
        outrun_s: Largest age of a run that stalled or that a copy outran, seconds; 0
            for none.
        checkpoint: Last saved checkpoint; empty for none.
        avoid: Workers on which the task failed or stalled, or that did not answer its
            start.
        not_before_s: Earliest time for the next start, monotonic seconds.
        away_since_s: When a run of a lasting task last ended.
        copies: Number of its runs that were started beside another one.
        copy_number: Number of the run that was started beside the other run that the
            task has; 0 if it has not two runs.
    """

    job: LiveJob
    name: TaskName
    step: Step
    runs: dict[int, Run] = field(default_factory=dict)
    last_run: int = 0
    failures: int = 0
    failed_run: int = 0
    crashes: int = 0
    sole_crashes: int = 0
    crashed_run: int = 0
    crashed_late: bool = False
    lapses: int = 0
    crashed_machines: set[str] = field(default_factory=set)
    held_since_s: float = float("inf")
    preemptions: int = 0
    done: bool = False
    ran_s: float = 0.0
    outrun_s: float = 0.0
    checkpoint: str = ""
    avoid: set[str] = field(default_factory=set)
    not_before_s: float = float("-inf")
    away_since_s: float = 0.0
    copies: int = 0
    copy_number: int = 0

    @property
    def settled(self) -> bool:
        """True if the task needs no further run."""
        return self.done and not self.step.lasting

    @property
    def is_suspect(self) -> bool:
        """True if the task may have crashed a worker."""
        return self.crashes > 0 or self.lapses > 0

    def record(self) -> TaskRecord:
        """Return the record of the task to store."""
        return TaskRecord(
            self.name.occurrence,
            self.name.step,
            self.name.index,
            self.last_run,
            self.failures,
            self.done,
            self.checkpoint if not self.done else "",
            tuple(
                RunRecord(run.number, run.worker_id, run.born_ms, run.machine)
                for run in self.runs.values()
            ),
            self.crashes,
            self.sole_crashes,
            self.preemptions,
        )
