"""Stand-in for a worker: runs tasks under leases."""

import time
from dataclasses import dataclass

import click
import falcon

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_daemon.transport.workers import TaskOrder, TaskReport, TaskState

from .faults import FAULTS_PATH, FaultBox, FaultsResource
from .serving import ConnectionDroppedError, new_app, serve


@dataclass(slots=True)
class Task:
    """One task on a worker; times are monotonic seconds."""

    order: TaskOrder
    state: TaskState
    touched_s: float
    progress_s: float
    expires_s: float
    share: float = 1.0


class Worker:
    """Runs tasks in virtual work: a task is done after its ``run_s``.

    Args:
        box: Faults; ``error_share`` is the part of the tasks that fail.
        clock: Returns monotonic seconds.
    """

    def __init__(self, box: FaultBox, clock=time.monotonic):
        self.box = box
        self.clock = clock
        self.tasks: dict[str, Task] = {}
        self.started: list[tuple[str, int]] = []

    def start(self, order: TaskOrder) -> TaskReport:
        """Start an attempt unless the same or a later one is known."""
        known = self.tasks.get(order.job_id)
        if known is None or known.order.attempt < order.attempt:
            now = self.clock()
            fails = self.box.hits(self.box.faults.error_share)
            state = TaskState.FAILED if fails else TaskState.RUNNING
            task = Task(order, state, now, 0.0, now + order.lease_s)
            self.tasks[order.job_id] = task
            self.started.append((order.job_id, order.attempt))
        return self.report(order.job_id, order.attempt)

    def renew(self, job_id: str, attempt: int) -> TaskReport:
        """Renew the lease of a running attempt."""
        report = self.report(job_id, attempt)
        if report.state is TaskState.RUNNING:
            task = self.tasks[job_id]
            task.expires_s = self.clock() + task.order.lease_s
        return report

    def end(self, job_id: str, attempt: int, state: TaskState) -> TaskReport:
        """End a running attempt."""
        if self.report(job_id, attempt).state is TaskState.RUNNING:
            self.tasks[job_id].state = state
        return self.report(job_id, attempt)

    def throttle(self, job_id: str, attempt: int, share: float) -> TaskReport:
        """Limit an attempt to a part of its speed."""
        report = self.report(job_id, attempt)
        if report.state is TaskState.RUNNING:
            self.tasks[job_id].share = share
        return report

    def report(self, job_id: str, attempt: int) -> TaskReport:
        """Return where an attempt is."""
        task = self.tasks.get(job_id)
        if task is None or task.order.attempt != attempt:
            return TaskReport(job_id, attempt, TaskState.UNKNOWN)
        self._advance(task)
        spec = task.order.spec
        done = min(1.0, task.progress_s / spec.run_s) if spec.run_s else 1.0
        return TaskReport(job_id, attempt, task.state, spec.cpus, spec.memory_mb, done)

    def _advance(self, task: Task) -> None:
        if task.state is not TaskState.RUNNING:
            return
        now = min(self.clock(), task.expires_s)
        task.progress_s += max(0.0, now - task.touched_s) * task.share
        task.touched_s = now
        if task.progress_s >= task.order.spec.run_s:
            task.state = TaskState.DONE
        elif self.clock() >= task.expires_s:
            task.state = TaskState.UNKNOWN


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
    """Renews, checkpoints, throttles and stops tasks."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def on_post(self, request, response, job_id, attempt, action):
        """Carry out one action on an attempt."""
        if self.worker.box.faults.down:
            raise ConnectionDroppedError
        if action == "renew":
            report = self.worker.renew(job_id, attempt)
        elif action == "checkpoint":
            report = self.worker.end(job_id, attempt, TaskState.CHECKPOINTED)
        elif action == "stop":
            report = self.worker.end(job_id, attempt, TaskState.FAILED)
        elif action == "throttle":
            share = request.get_param_as_float("share", required=True)
            report = self.worker.throttle(job_id, attempt, share)
        else:
            raise falcon.HTTPNotFound
        response.data = encode_json(report)


class StartedResource:
    """Shows every start, in order."""

    def __init__(self, worker: Worker):
        self.worker = worker

    def on_get(self, _request, response):
        """Return pairs of job id and attempt."""
        response.data = encode_json(self.worker.started)


def worker_app(worker: Worker) -> falcon.App:
    """Return the application of a worker stand-in."""
    app = new_app()
    app.add_route(FAULTS_PATH, FaultsResource(worker.box))
    app.add_route("/started", StartedResource(worker))
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
