"""A pool whose workers crash under some tasks and come back after a while."""

import dataclasses
from collections import defaultdict

from heatherhatch_core.coordination.scheduler import Ending, StartOrder, TaskName
from heatherhatch_core.state.work import Phase
from pool_model import PoolModel

DOWN_S = 3.0  # how long a machine is down after a crash


class CrashingPool(PoolModel):
    """A pool in which tasks crash the workers that start them.

    A machine is back with a worker of another name, as on the platform.

    Attributes:
        deadly: Tasks that crash each worker that starts them.
        crash_after_s: Time from the start of such a task to the crash, seconds.
        crashes: Times at which workers crashed under each task, seconds.
        starts: Number of starts of each task.
        starts_after_third: Starts of each task after a third worker had crashed
            under it.
        down: When each machine is back, seconds, with its former worker.
        back_after_s: How long a machine is down, seconds.
        begun_s: When each run was first seen, seconds.
        reports_delayed_until_s: Workers do not report before this time, seconds.
    """

    def __init__(self, workers: int = 6, cores: int = 8):
        self.deadly: set[TaskName] = set()
        self.crash_after_s = 0.0
        self.due_crashes: list[tuple[float, str, TaskName]] = []
        self.crashes = defaultdict(list)
        self.starts = defaultdict(int)
        self.starts_after_third = defaultdict(int)
        self.down: dict[str, tuple[float, str]] = {}
        self.back_after_s = DOWN_S
        self.begun_s: dict = {}
        self.reports_delayed_until_s = 0.0
        super().__init__(workers, cores)

    def execute(self, order) -> None:
        """Execute an order; an order to a worker that is down gets no answer."""
        if order.worker_id not in self.workers:
            return
        self.renew_lease(order.worker_id)
        if isinstance(order, StartOrder):
            self.starts[order.task] += 1
            self.starts_after_third[order.task] += len(self.crashes[order.task]) >= 3
        super().execute(order)
        if isinstance(order, StartOrder) and order.task in self.deadly:
            at_s = self.now_s + self.crash_after_s
            self.due_crashes.append((at_s, order.worker_id, order.task))

    def renew_lease(self, worker_id: str) -> None:
        """Note the lease that an order or a renewal requests."""
        worker = self.scheduler.state.workers[worker_id]
        worker.note_deadline(worker.next_deadline_ms(self.now_s))

    def receive_report(self, worker_id: str) -> None:
        """Renew the lease of a worker and process its report."""
        super().receive_report(worker_id)
        self.renew_lease(worker_id)

    def crash(self, worker_id: str) -> None:
        """Crash a worker with all its runs."""
        worker = self.workers.pop(worker_id)
        for task, _number in worker.runs:
            self.crashes[task].append(self.now_s)
        for name, _number in worker.runs:
            self.break_gang(name)
        self.scheduler.handle_no_response(worker_id, self.now_s)
        back_s = self.now_s + self.back_after_s
        self.down[worker.info.machine] = (back_s, worker_id)

    def break_gang(self, name: TaskName) -> None:
        """End the runs of the other members of a task's gang."""
        job = self.scheduler.state.jobs[name.job_id].job
        for worker_id, task, number in self.alive_runs():
            if job.steps[name.step].gang and task[:3] == name[:3]:
                self.workers[worker_id].end(task, number, Ending.BROKEN)

    def step(self, seconds: float = 0.05) -> None:
        """Advance the clock: crashes, returns, ends of runs, reports and a round."""
        self.now_s += seconds
        for due in [due for due in self.due_crashes if due[0] <= self.now_s]:
            self.due_crashes.remove(due)
            worker = self.workers.get(due[1])
            if worker is not None and any(task == due[2] for task, _run in worker.runs):
                self.crash(due[1])
        for machine, (back_s, former) in list(self.down.items()):
            if back_s <= self.now_s:
                del self.down[machine]
                self.scheduler.remove_worker(former)
                self.add_worker(
                    f"{machine}-{self.now_s:.2f}",
                    machine,
                    born_ms=int(self.now_s * 1000),
                )
        if self.now_s >= self.reports_delayed_until_s:
            self.receive_reports()
        self.round(0.0)

    def run_for(self, seconds: float, run_s: float = 1.0) -> None:
        """Play some seconds, in which each run ends after ``run_s``."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.step()
            for worker_id, task, number in self.alive_runs():
                key = (worker_id, task, number)
                if self.now_s - self.begun_s.setdefault(key, self.now_s) >= run_s:
                    self.workers[worker_id].end(task, number)

    def replace_worker_info(self, worker_id: str, **changes) -> None:
        """Change the directory entry of a worker."""
        worker = self.workers[worker_id]
        worker.info = dataclasses.replace(worker.info, **changes)
        self.scheduler.update_worker(worker.info, self.now_s)

    def phase(self, job_id: str) -> Phase | None:
        """Return the phase of a job that callers see; None before the first."""
        shown = [
            write.status.phase
            for write in self.writes
            if write.job_id == job_id and write.status
        ]
        return shown[-1] if shown else None
