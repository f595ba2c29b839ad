"""In-memory state of a job."""

from dataclasses import dataclass, field

from ...state.work import Job, JobStatus, Phase, Progress
from ..competition.recent_shares import Claim
from .messages import TaskName
from .task import Task


@dataclass(slots=True, eq=False)
class LiveJob:
    """A job that is not final.

    Attributes:
        job: The job as it was accepted.
        phase: Current phase.
        shown: Phase that callers see, as of the last stored write; None if an earlier
            holder wrote it.
        writing_phase: Phase in the write in progress.
        tasks: Tasks of the occurrences in progress, by occurrence, step and
            index.
        occurrences_done: Occurrences whose tasks are all done.
        expanded: Occurrences in progress; their tasks exist.
        open_steps: For each occurrence in progress, the steps that are not done.
        lengths_s: Mean run time of the finished tasks of each step, seconds, by
            occurrence and step, with their number; geometric mean.
        version: Version number; increases with each change.
        writing: Version that is being written; 0 if none.
        stored: Last version that was stored.
        reason: Why the job failed; empty if it has not.
        began: True once a worker is known to have taken a run of the job.
        was_placed: True once a run of the job has been placed.
        order_key: Sort key of the job in the queue.
        order_key_s: When the sort key was computed, seconds since the epoch;
            -inf if it must be computed again.
        placed_version: Version at which no task of the job waited for a worker.
        begin_by_s: Until when the job must go on to count as on time, seconds since
            the epoch; as of ``order_key_s``.
        claim: What the job asked of its pool at ``order_key_s``; None if its tasks
            are lasting.
    """

    job: Job
    phase: Phase = Phase.QUEUED
    shown: Phase | None = Phase.QUEUED
    writing_phase: Phase = Phase.QUEUED
    tasks: dict[tuple[int, int, int], Task] = field(default_factory=dict)
    occurrences_done: set[int] = field(default_factory=set)
    expanded: set[int] = field(default_factory=set)
    open_steps: dict[int, set[int]] = field(default_factory=dict)
    lengths_s: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)
    version: int = 0
    writing: int = 0
    stored: int = 0
    reason: str = ""
    began: bool = False
    was_placed: bool = False
    order_key: tuple = ()
    order_key_s: float = float("-inf")
    placed_version: int = -1
    begin_by_s: float = float("inf")
    claim: Claim | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the steps of the job run."""
        return max(1, self.job.schedule.count)

    def note_placed(self) -> None:
        """Record that a run of the job was placed on a worker."""
        # Saves a write: most workers take their runs. After a refused start, the job is
        # shown as running once a worker has taken a run of it.
        if self.phase is Phase.QUEUED and not self.was_placed:
            self.phase = Phase.RUNNING
        self.was_placed = True

    def note_begun(self) -> bool:
        """Record that a worker has taken a run; return whether the phase changed."""
        self.began = True
        if self.phase is not Phase.QUEUED:
            return False
        self.phase = Phase.RUNNING
        return True

    def note_run_ended(self) -> None:
        """Let the job wait again if no worker has taken a run of it, and none may."""
        if self.began or self.phase is not Phase.RUNNING:
            return
        if not any(task.runs for task in self.tasks.values()):
            self.phase = Phase.QUEUED

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, seconds since the epoch."""
        if not self.job.schedule.count:
            return self.job.accepted_s
        return self.job.schedule.first_s + occurrence * self.job.schedule.interval_s

    def expand(self, occurrence: int) -> None:
        """Create the tasks of an occurrence, unless they exist or it is done."""
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

    def has_runs(self, occurrence: int, number: int) -> bool:
        """Return True if a task of a step has a run."""
        return any(task.runs for task in self.step_tasks(occurrence, number))

    def ready(self, occurrence: int, number: int) -> bool:
        """Return True if a step is open and all steps that it depends on are done."""
        open_steps = self.open_steps[occurrence]
        return number in open_steps and not any(
            other in open_steps for other in self.job.steps[number].after
        )

    def note_done(self, task: Task) -> None:
        """Close the step, the occurrence and the job if all their tasks are done."""
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
                self.lengths_s.pop(key[:2], None)
        if len(self.occurrences_done) == self.occurrences:
            self.phase = Phase.COMPLETED

    @property
    def is_waiting(self) -> bool:
        """True until the job begins; a job with a schedule does not wait."""
        return not (self.began or self.phase.final or self.job.schedule.count)

    def fail(self, reason: str) -> None:
        """Set the phase of a job that failed; its runs are not stopped yet."""
        self.phase = Phase.FAILED
        self.reason = reason

    def status(self, wall_s: float) -> JobStatus | None:
        """Return the status to store; None if callers see the phase already.

        Args:
            wall_s: Seconds since the epoch.
        """
        if self.phase is self.shown:
            return None
        ended_s = wall_s if self.phase.final else 0.0
        job = self.job
        return JobStatus(
            self.phase,
            job.pool,
            job.queue,
            job.team,
            ended_s,
            job.shares_id,
            self.reason,
            address=job.address,
        )

    def progress(self) -> Progress:
        """Return the progress of the job to store."""
        return Progress(
            tuple(task.record() for task in self.tasks.values() if task.last_run),
            tuple(sorted(self.occurrences_done)),
            self.began,
        )

    def restore(self, progress: Progress) -> None:
        """Restore the stored progress of the job."""
        self.occurrences_done.update(progress.occurrences_done)
        self.shown = None
        self.began = progress.began
        for record in progress.tasks:
            self.expand(record.occurrence)
            task = self.tasks.get((record.occurrence, record.step, record.index))
            if task is None:
                continue
            task.last_run = record.last_run
            task.failures = record.failures
            task.crashes = record.crashes
            task.sole_crashes = record.sole_crashes
            task.preemptions = record.preemptions
            task.done = record.done
            task.checkpoint = record.checkpoint
            self.was_placed = True
            if record.runs:
                self.phase = Phase.RUNNING
        if self.began:
            self.phase = Phase.RUNNING
        for occurrence in list(self.expanded):
            for number in list(self.open_steps[occurrence]):
                if all(item.done for item in self.step_tasks(occurrence, number)):
                    self.open_steps[occurrence].discard(number)
