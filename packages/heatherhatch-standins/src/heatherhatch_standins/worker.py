"""Stand-in for a worker that runs tasks under leases."""

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

import click
import falcon

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.state.jobs import JobSpec, Usage
from heatherhatch_daemon.transport.workers import (
    Reading,
    TaskOrder,
    TaskReport,
    TaskState,
    WorkerReport,
    WorkerSync,
)

from .faults import FAULTS_PATH, FaultBox, FaultsResource
from .serving import ConnectionDroppedError, new_app, serve

USAGE_LAG_S = 2.0


def declared_usage(spec: JobSpec) -> Usage:
    """Return the usage that a task declares."""
    return Usage(spec.cpus, spec.memory_mb, spec.accelerators, spec.run_s)


@dataclass(slots=True)
class Task:
    """One task on a worker; times are monotonic seconds.

    `progress_s` counts run time at full speed; `share` is the fraction of full speed.
    """

    order: TaskOrder
    state: TaskState
    started_s: float
    updated_s: float
    progress_s: float
    expires_s: float
    share: float = 1.0


class Worker:
    """Simulates tasks: a task is done once its actual run time has passed.

    Args:
        box: Faults; ``error_share`` is the fraction of the tasks that fail.
        clock: Function that returns monotonic seconds.
        actual_usage: Function that returns the actual usage of a task.
    """

    def __init__(
        self,
        box: FaultBox,
        clock: Callable[[], float] = time.monotonic,
        actual_usage: Callable[[JobSpec], Usage] = declared_usage,
    ):
        self.box = box
        self.clock = clock
        self.actual_usage = actual_usage
        self.started: list[tuple[str, int]] = []
        self.boot = ""
        self.tasks: dict[str, Task] = {}
        self.fenced_attempts: dict[str, int] = {}
        self.reboot()

    def reboot(self) -> None:
        """Forget all tasks, as a worker does when it restarts after a crash."""
        self.boot = secrets.token_hex(8)
        self.tasks = {}
        self.fenced_attempts = {}

    def sync(self, message: WorkerSync) -> WorkerReport:
        """Renew the leases of running tasks and report on the renewed tasks."""
        if message.boot == self.boot:
            for item in message.renewals:
                if self.report(item.job_id, item.attempt).state is TaskState.RUNNING:
                    task = self.tasks[item.job_id]
                    task.expires_s = max(task.expires_s, item.until_s)
        reports = [self.report(item.job_id, item.attempt) for item in message.renewals]
        return WorkerReport(Reading(self.boot, self.clock()), tuple(reports))

    def start(self, order: TaskOrder) -> TaskReport:
        """Start an attempt unless its lease is over, it is fenced or it exists."""
        expired = order.until.boot != self.boot or order.until.clock_s <= self.clock()
        fenced = order.attempt <= self.fenced_attempts.get(order.job_id, 0)
        if not expired and not fenced:
            self._start_attempt(order)
        return self.report(order.job_id, order.attempt)

    def end(self, job_id: str, attempt: int, state: TaskState) -> TaskReport:
        """End an attempt if it is running, and refuse to start it from now on."""
        if self.report(job_id, attempt).state is TaskState.RUNNING:
            self.tasks[job_id].state = state
        self.fenced_attempts[job_id] = max(self.fenced_attempts.get(job_id, 0), attempt)
        report = self.report(job_id, attempt)
        if report.state is TaskState.UNKNOWN:
            return TaskReport(job_id, attempt, TaskState.STOPPED)
        return report

    def throttle(self, job_id: str, attempt: int, share: float) -> TaskReport:
        """Limit a running attempt to a fraction of its full speed."""
        report = self.report(job_id, attempt)
        if report.state is TaskState.RUNNING:
            self.tasks[job_id].share = share
        return report

    def report(self, job_id: str, attempt: int) -> TaskReport:
        """Return the state and progress of an attempt."""
        task = self.tasks.get(job_id)
        if task is None or task.order.attempt != attempt:
            return TaskReport(job_id, attempt, TaskState.UNKNOWN)
        self._update(task)
        used = self.actual_usage(task.order.spec)
        done = min(1.0, task.progress_s / used.run_s) if used.run_s else 1.0
        ran_s = task.updated_s - task.started_s
        seen = used if ran_s >= USAGE_LAG_S or done >= 1.0 else Usage()
        return TaskReport(
            job_id,
            attempt,
            task.state,
            seen.cpus,
            seen.memory_mb,
            done,
            run_s=ran_s,
        )

    def running(self) -> list[tuple[str, int]]:
        """Return the job id and attempt number of every running task."""
        found = []
        for job_id, task in self.tasks.items():
            if self.report(job_id, task.order.attempt).state is TaskState.RUNNING:
                found.append((job_id, task.order.attempt))
        return found

    def _start_attempt(self, order: TaskOrder) -> None:
        existing = self.tasks.get(order.job_id)
        if existing is not None and existing.order.attempt >= order.attempt:
            return
        now = self.clock()
        fails = self.box.occurs(self.box.faults.error_share)
        state = TaskState.FAILED if fails else TaskState.RUNNING
        done_s = order.progress * self.actual_usage(order.spec).run_s
        self.tasks[order.job_id] = Task(
            order, state, now, now, done_s, order.until.clock_s
        )
        self.fenced_attempts[order.job_id] = order.attempt - 1
        self.started.append((order.job_id, order.attempt))

    def _update(self, task: Task) -> None:
        if task.state is not TaskState.RUNNING:
            return
        now = min(self.clock(), task.expires_s)
        task.progress_s += max(0.0, now - task.updated_s) * task.share
        task.updated_s = max(task.updated_s, now)
        if task.progress_s >= self.actual_usage(task.order.spec).run_s:
            task.state = TaskState.DONE
        elif self.clock() >= task.expires_s:
            can_checkpoint = task.order.spec.checkpoints
            task.state = TaskState.CHECKPOINTED if can_checkpoint else TaskState.STOPPED


class SyncResource:
    """Renews the leases of tasks and reports on them."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def on_post(self, request, response):
        """Answer one synchronisation message."""
        if self.worker.box.faults.down:
            raise ConnectionDroppedError
        message = decode_json(request.bounded_stream.read(), WorkerSync)
        response.data = encode_json(self.worker.sync(message))


class StartResource:
    """Starts tasks."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def on_post(self, request, response, job_id):
        """Start one attempt."""
        if self.worker.box.faults.down:
            raise ConnectionDroppedError
        order = decode_json(request.bounded_stream.read(), TaskOrder)
        response.data = encode_json(self.worker.start(order))


class ActionResource:
    """Checkpoints, throttles and stops tasks."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def on_post(self, request, response, job_id, attempt, action):
        """Apply one action to an attempt."""
        if self.worker.box.faults.down:
            raise ConnectionDroppedError
        if action == "checkpoint":
            report = self.worker.end(job_id, attempt, TaskState.CHECKPOINTED)
        elif action == "stop":
            report = self.worker.end(job_id, attempt, TaskState.STOPPED)
        elif action == "throttle":
            share = request.get_param_as_float("share", required=True)
            report = self.worker.throttle(job_id, attempt, share)
        else:
            raise falcon.HTTPNotFound
        response.data = encode_json(report)


class StartedResource:
    """Serves all starts in order of time."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def on_get(self, _request, response):
        """Return pairs of job id and attempt number."""
        response.data = encode_json(self.worker.started)


def worker_app(worker: Worker) -> falcon.App:
    """Return the application of a worker stand-in."""
    app = new_app()
    app.add_route(FAULTS_PATH, FaultsResource(worker.box))
    app.add_route("/started", StartedResource(worker))
    app.add_route("/sync", SyncResource(worker))
    app.add_route("/tasks/{job_id}", StartResource(worker))
    app.add_route("/tasks/{job_id}/{attempt:int}/{action}", ActionResource(worker))
    return app


@click.command()
@click.option("--count", default=1, help="Workers to run in this process.")
def main(count: int) -> None:
    """Run worker stand-ins."""
    serve(tuple(worker_app(Worker(FaultBox(seed))) for seed in range(count)))


if __name__ == "__main__":
    main()
