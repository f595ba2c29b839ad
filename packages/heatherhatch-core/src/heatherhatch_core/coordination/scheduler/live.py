"""Jobs, tasks and runs as the scheduler holds them in memory."""

from dataclasses import dataclass, field
from enum import Enum

from ...state.resources import NOTHING, Resources
from ...state.work import Job, Phase, Progress, RunRecord, Step, TaskRecord
from .messages import TaskName

FULL_PACE = 100


class RunState(Enum):
    """What is known of a run.

    ``RECORDING``: not stored yet, so not ordered. ``ORDERED``: sent, or about
    to be. ``DOUBTFUL``: may be alive or may still begin. ``ALIVE``: listed.
    """

    RECORDING = "recording"
    ORDERED = "ordered"
    DOUBTFUL = "doubtful"
    ALIVE = "alive"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task.

    Attributes:
        task: Its task; None for a run whose job is not known any more.
        name: Name of the task.
        number: Run number.
        worker_id: Where it is.
        born_ms: Start of the worker's life that it was given to.
        held: What it occupies.
        state: What is known of it.
        version: Version of the job that first holds this run.
        seen_s: Time from which a report that doesn't list it proves its end.
        begun_s: When it was first known to be alive.
        stopping: True once it shall end.
        stop_sent_s: When the last stop was sent.
        stop_heard_s: When a stop was answered; inf before.
        at_work: True if it works at its full share.
        away_since_s: Since when it is not at work.
        percent: Last share that was listed.
        figure: Last figure that was listed.
        pace: Share that it was told to work at.
        pace_set_s: When that was last changed.
    """

    task: "Task | None"
    name: TaskName
    number: int
    worker_id: str
    born_ms: int
    held: Resources = NOTHING
    state: RunState = RunState.RECORDING
    version: int = 0
    seen_s: float = float("inf")
    begun_s: float = float("inf")
    stopping: bool = False
    stop_sent_s: float = float("-inf")
    stop_heard_s: float = float("inf")
    at_work: bool = False
    away_since_s: float = 0.0
    percent: float = 0.0
    figure: float = 0.0
    pace: int = FULL_PACE
    pace_set_s: float = float("-inf")


@dataclass(slots=True, eq=False)
class Task:
    """One task.

    Attributes:
        job: Its job.
        name: Its name.
        step: Its step.
        runs: Runs that may be alive, by number.
        last_run: Highest run number that was used.
        failures: Runs that ended as failed.
        done: True once a run has ended well.
        checkpoint: Last saved progress.
        avoid: Workers on which it failed.
        not_before_s: When it may be started again.
        away_since_s: Since when a lasting task is not at work.
    """

    job: "LiveJob"
    name: TaskName
    step: Step
    runs: dict[int, Run] = field(default_factory=dict)
    last_run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    avoid: set[str] = field(default_factory=set)
    not_before_s: float = float("-inf")
    away_since_s: float = 0.0

    @property
    def settled(self) -> bool:
        """True if it needs no further run."""
        return self.done and not self.step.lasting

    def record(self) -> TaskRecord:
        """Return what the store keeps of it."""
        return TaskRecord(
            self.name.occurrence,
            self.name.step,
            self.name.index,
            self.last_run,
            self.failures,
            self.done,
            self.checkpoint if not self.done else "",
            tuple(
                RunRecord(run.number, run.worker_id, run.born_ms)
                for run in self.runs.values()
            ),
        )


@dataclass(slots=True, eq=False)
class LiveJob:
    """A job that is not final.

    Attributes:
        job: What was accepted.
        phase: Where it stands.
        shown: Phase that callers see, by the last write that is stored.
        being_shown: Phase that the write under way shows.
        tasks: Tasks of the occurrences that are under way.
        occurrences_done: Occurrences whose tasks are all done.
        expanded: Occurrences whose tasks exist.
        open_steps: For each occurrence, steps that are not done.
        version: Rises with each change.
        writing: Version that is being stored; 0 if none.
        stored: Version that is stored.
        began: True once a task has started.
        order_key: Place in the queue.
        order_key_s: When that was computed.
        placed_version: Version at which none of its tasks waited for a worker.
    """

    job: Job
    phase: Phase = Phase.QUEUED
    shown: Phase = Phase.QUEUED
    being_shown: Phase = Phase.QUEUED
    tasks: dict[tuple[int, int, int], Task] = field(default_factory=dict)
    occurrences_done: set[int] = field(default_factory=set)
    expanded: set[int] = field(default_factory=set)
    open_steps: dict[int, set[int]] = field(default_factory=dict)
    version: int = 0
    writing: int = 0
    stored: int = 0
    began: bool = False
    order_key: tuple = ()
    order_key_s: float = float("-inf")
    placed_version: int = -1

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.job.schedule.count)

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, seconds since the epoch."""
        if not self.job.schedule.count:
            return self.job.accepted_s
        return self.job.schedule.first_s + occurrence * self.job.schedule.interval_s

    def expand(self, occurrence: int) -> None:
        """Create the tasks of an occurrence."""
        if occurrence in self.expanded or occurrence in self.occurrences_done:
            return
        self.expanded.add(occurrence)
        self.open_steps[occurrence] = set(range(len(self.job.steps)))
        for number, step in enumerate(self.job.steps):
            for index in range(step.count):
                name = TaskName(self.job.job_id, occurrence, number, index)
                self.tasks.setdefault(
                    (occurrence, number, index), Task(self, name, step)
                )

    def step_tasks(self, occurrence: int, number: int) -> list[Task]:
        """Return the tasks of one step of an occurrence."""
        step = self.job.steps[number]
        return [self.tasks[occurrence, number, index] for index in range(step.count)]

    def ready(self, occurrence: int, number: int) -> bool:
        """Tell whether all steps that a step waits for are done."""
        open_steps = self.open_steps[occurrence]
        return number in open_steps and not any(
            other in open_steps for other in self.job.steps[number].after
        )

    def note_done(self, task: Task) -> None:
        """Close the step, the occurrence and the job if this was the last task."""
        occurrence, number = task.name.occurrence, task.name.step
        if not all(item.done for item in self.step_tasks(occurrence, number)):
            return
        self.open_steps[occurrence].discard(number)
        self.order_key_s = float("-inf")
        if not self.open_steps[occurrence]:
            self.occurrences_done.add(occurrence)
            self.expanded.discard(occurrence)
            del self.open_steps[occurrence]
            for key in [key for key in self.tasks if key[0] == occurrence]:
                del self.tasks[key]
        if len(self.occurrences_done) == self.occurrences:
            self.phase = Phase.COMPLETED

    def progress(self) -> Progress:
        """Return what the store keeps of the job."""
        return Progress(
            tuple(task.record() for task in self.tasks.values() if task.last_run),
            tuple(sorted(self.occurrences_done)),
        )

    def restore(self, progress: Progress) -> None:
        """Take over what the store keeps of the job."""
        self.occurrences_done.update(progress.occurrences_done)
        for record in progress.tasks:
            self.expand(record.occurrence)
            task = self.tasks.get((record.occurrence, record.step, record.index))
            if task is None:
                continue
            task.last_run = record.last_run
            task.failures = record.failures
            task.done = record.done
            task.checkpoint = record.checkpoint
            self.began = True
        for occurrence in list(self.expanded):
            for number in list(self.open_steps[occurrence]):
                if all(item.done for item in self.step_tasks(occurrence, number)):
                    self.open_steps[occurrence].discard(number)
