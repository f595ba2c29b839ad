"""Expected rests of the open tasks of a job."""

from __future__ import annotations

from collections.abc import Iterator

from .learning import expected_length_s
from .live import LiveJob
from .run import Run, RunState
from .state import PoolState
from .task import Task

# A worker that misses a renewal is as often gone as it is cut off for a moment. A
# worker that left the directory is gone.
SILENT_LOSS_SHARE = 0.5
AGE_STEP_S = 0.05  # runs of a step whose ages differ by less share one estimate


class Estimates:
    """Expected rests of the open tasks of one occurrence of a job.

    Attributes:
        rests: Expected rest by step and age of a run, seconds.
        finished_s: Run times of the finished tasks by step, seconds.
        lengths_s: Expected run time of the tasks by step, seconds.
    """

    def __init__(self, state: PoolState, job: LiveJob, occurrence: int, now_s: float):
        self.state = state
        self.job = job
        self.occurrence = occurrence
        self.now_s = now_s
        self.rests: dict[tuple[int, int], float] = {}
        self.finished_s: dict[int, tuple[float, ...]] = {}
        self.lengths_s: dict[int, float] = {}

    def open_tasks(self) -> Iterator[tuple[int, Task]]:
        """Yield the tasks of the ready steps that are not done, with their steps."""
        for number in sorted(self.job.open_steps[self.occurrence]):
            if self.job.ready(self.occurrence, number):
                for task in self.job.step_tasks(self.occurrence, number):
                    if not task.done:
                        yield number, task

    def is_overdue(self, run: Run) -> bool:
        """Return whether a run is longer than most, or on a silent worker."""
        if self.is_silent(run):
            return True
        if run.state is not RunState.ALIVE:
            return False
        return self.now_s - run.begun_s > self.usual_s(run.name.step)

    def usual_s(self, number: int) -> float:
        """Return the expected run time of the tasks of a step, seconds."""
        if number not in self.lengths_s:
            self.lengths_s[number] = expected_length_s(
                self.state, self.job, self.occurrence, number
            )
        return self.lengths_s[number]

    def is_silent(self, run: Run) -> bool:
        """Return whether the worker of a run does not answer or has left."""
        worker = self.state.workers.get(run.worker_id)
        if worker is None or run.state is RunState.RECORDING:
            return False
        return not worker.present or worker.silent_since_s < self.now_s

    def age_s(self, run: Run) -> float:
        """Return for how long a run has been alive, seconds."""
        return max(0.0, self.now_s - run.begun_s)

    def fresh_s(self, number: int) -> float:
        """Return the expected length of a fresh run of a step, seconds."""
        return self.rest_at_s(number, 0.0)

    def rest_at_s(self, number: int, age_s: float) -> float:
        """Return the expected rest of a run of a step at some age, seconds."""
        key = (number, int(age_s / AGE_STEP_S))
        if key not in self.rests:
            job = self.job.job
            self.rests[key] = self.state.run_times.remaining(
                age_s,
                job.queue,
                number,
                job.steps[number].estimate_s,
                job.team,
                self.siblings_s(number),
            )
        return self.rests[key]

    def siblings_s(self, number: int) -> tuple[float, ...]:
        """Return the run times of the finished tasks of a step, seconds."""
        if number not in self.finished_s:
            tasks = self.job.step_tasks(self.occurrence, number)
            self.finished_s[number] = tuple(item.ran_s for item in tasks if item.ran_s)
        return self.finished_s[number]

    def rest_s(self, number: int, run: Run) -> float:
        """Return the expected time until a task ends that has only this run."""
        rest_s = self.rest_at_s(number, self.age_s(run))
        if not self.is_silent(run):
            return rest_s
        # A lost run is placed again once the lease of its worker is over.
        worker = self.state.workers[run.worker_id]
        lease_left_s = max(0.0, worker.lease_expiry_s() - self.now_s)
        share = SILENT_LOSS_SHARE if worker.present else 1.0
        return share * (lease_left_s + self.fresh_s(number)) + (1 - share) * rest_s

    def task_rest_s(self, number: int, task: Task) -> float:
        """Return the expected time until a task ends, seconds."""
        rests = [self.rest_s(number, run) for run in task.runs.values()]
        return min(rests, default=self.fresh_s(number))

    def path_after_s(self, number: int) -> float:
        """Return the expected length of the longest chain of steps after a step."""
        steps = self.job.job.steps
        ends_s = {number: 0.0}
        for other in range(number + 1, len(steps)):
            before = [ends_s[item] for item in steps[other].after if item in ends_s]
            if before:
                ends_s[other] = max(before) + self.usual_s(other)
        return max(ends_s.values())
