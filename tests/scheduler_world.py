"""Holders, workers and a store that play the start and end of runs call by call."""

from collections import defaultdict
from dataclasses import dataclass, field

import msgspec

from heatherhatch_core.coordination.scheduler import (
    Ending,
    ListedEnd,
    ListedRun,
    Report,
    Rules,
    Scheduler,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerInfo,
)
from heatherhatch_core.state.resources import NO_RESOURCES, Resources
from heatherhatch_core.state.work import Job, Phase, Progress
from pool_model import CONFIG, POOL

RULES = Rules(lease_s=5.0, unfenced_s=5.4)
CAPACITY = Resources(4000, 4000)


@dataclass
class WorldWorker:
    """A worker with its own memory of fences, stops and ends."""

    worker_id: str
    born_ms: int
    fence: int = 0
    deadline_s: float = 0.0
    runs: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    refused: dict = field(default_factory=lambda: defaultdict(int))
    sequence: int = 0

    @property
    def info(self) -> WorkerInfo:
        return WorkerInfo(
            self.worker_id, f"m-{self.worker_id}", POOL, "dc", self.born_ms, CAPACITY
        )


@dataclass
class Holder:
    """One who holds the pool, or believes so."""

    scheduler: Scheduler
    token: int
    writes: list = field(default_factory=list)


class World:
    """Everything outside the scheduler, with the rules that must always hold."""

    def __init__(self):
        self.now_s = 1000.0
        self.token = 0
        self.jobs: dict[str, Job] = {}
        self.progress: dict[str, bytes] = {}
        self.status: dict[str, Phase] = {}
        self.cancelled: set[str] = set()
        self.workers = {
            name: WorldWorker(name, number)
            for number, name in enumerate(("w0", "w1", "w2"), 1)
        }
        self.flights: list[tuple[Holder, object, float]] = []
        self.begun = defaultdict(list)
        self.done: dict = {}
        self.noted: set = set()
        self.heard: set = set()
        self.failures = defaultdict(int)
        self.holder: Holder | None = None
        self.change_holder()

    # What the store does.

    def change_holder(self) -> None:
        """Let another node take the pool over; the old one may not know yet."""
        self.token += 1
        scheduler = Scheduler(POOL, RULES, self.now_s)
        scheduler.configure(CONFIG)
        for job_id, job in self.jobs.items():
            if self.status[job_id].final:
                continue
            kept = self.progress.get(job_id)
            progress = msgspec.json.decode(kept, type=Progress) if kept else None
            scheduler.add_job(job, progress, self.now_s)
            if job_id in self.cancelled:
                scheduler.cancel(job_id, self.now_s)
        for worker in self.workers.values():
            scheduler.update_worker(worker.info, self.now_s)
        self.holder = Holder(scheduler, self.token)

    def submit(self, job: Job) -> None:
        self.jobs[job.job_id] = job
        self.status[job.job_id] = Phase.QUEUED
        self.holder.scheduler.add_job(job, None, self.now_s)

    def cancel(self, job_id: str) -> None:
        self.cancelled.add(job_id)
        self.holder.scheduler.cancel(job_id, self.now_s)

    def decide(self) -> None:
        self.holder.scheduler.decide(self.now_s, self.now_s)
        self.collect(self.holder)

    def collect(self, holder: Holder) -> None:
        holder.writes += holder.scheduler.take_writes(self.now_s)
        for order in holder.scheduler.take_orders():
            deadline_s = self.now_s + RULES.lease_s
            if isinstance(order, StartOrder):
                held = holder.scheduler.state.workers[order.worker_id]
                held.note_deadline(deadline_s * 1000)
            self.flights.append((holder, order, deadline_s))

    def store(self, holder: Holder) -> None:
        """Do the oldest write of a holder, if it still has the claim."""
        write = holder.writes.pop(0)
        if holder.token != self.token:
            return
        if write.status is not None:
            self.status[write.job_id] = write.status.phase
            if write.status.phase is Phase.COMPLETED:
                self.check_completed(write.job_id)
        self.progress[write.job_id] = msgspec.json.encode(write.progress)
        holder.scheduler.stored(write.job_id, write.version, self.now_s)
        self.collect(holder)

    # What the network and the workers do.

    def fly(self, index: int, answered: bool) -> None:
        """Let an order arrive; its answer may be lost."""
        holder, order, deadline_s = self.flights.pop(index % len(self.flights))
        worker = self.workers[order.worker_id]
        result = self.arrive(worker, holder, order, deadline_s)
        if holder is not self.holder or result is None:
            return
        if isinstance(order, StopOrder):
            holder.scheduler.handle_stop_result(order, answered, self.now_s)
        else:
            told = result if answered else StartResult.UNKNOWN
            holder.scheduler.handle_start_result(order, told, self.now_s)
        self.collect(holder)

    def give_up_waiting(self, index: int) -> None:
        """A holder stops waiting for the answer to a start; it may arrive later."""
        holder, order, _deadline_s = self.flights[index % len(self.flights)]
        if isinstance(order, StartOrder) and holder is self.holder:
            holder.scheduler.handle_start_result(order, StartResult.UNKNOWN, self.now_s)
            self.collect(holder)

    def arrive(self, worker, holder, order, deadline_s) -> StartResult | None:
        if holder.token < worker.fence:
            return None
        worker.fence = holder.token
        key = (order.task, order.number)
        if isinstance(order, StopOrder):
            worker.refused[order.task] = max(worker.refused[order.task], order.number)
            if key in worker.runs:
                self.end(worker, key, Ending.STOPPED)
            return StartResult.STARTED
        if key in worker.runs:
            return StartResult.STARTED
        if order.number <= worker.refused[order.task] or deadline_s <= self.now_s:
            return StartResult.REFUSED
        self.check_start(worker, order)
        worker.deadline_s = max(worker.deadline_s, deadline_s)
        worker.runs[key] = order
        self.begun[order.task].append(self.now_s)
        return StartResult.STARTED

    def renew(self, worker, answered: bool) -> None:
        """Ask a worker what it runs; the answer may be lost."""
        holder = self.holder
        held = holder.scheduler.state.workers.get(worker.worker_id)
        if held is None:
            return
        sent_s = self.now_s
        deadline_s = 0.0
        if held.fenced and held.silent_since_s == float("inf"):
            deadline_s = held.next_deadline_ms(self.now_s) / 1000
            held.note_deadline(deadline_s * 1000)
        worker.fence = max(worker.fence, holder.token)
        worker.deadline_s = max(worker.deadline_s, deadline_s)
        for end in worker.ends:
            if end.sequence <= held.acked and held.info.born_ms == worker.born_ms:
                self.check_noted(end)
        if held.info.born_ms == worker.born_ms:
            worker.ends = [end for end in worker.ends if end.sequence > held.acked]
        report = Report(
            worker.born_ms,
            self.now_s * 1000,
            tuple(ListedRun(*key, "", 100, 0.0) for key in worker.runs),
            tuple(worker.ends),
        )
        self.now_s += 0.01
        if answered:
            self.heard.update(end.task for end in worker.ends)
            holder.scheduler.handle_report(worker.worker_id, report, sent_s, self.now_s)
        else:
            holder.scheduler.handle_no_response(worker.worker_id, self.now_s)
        self.collect(holder)

    def end(self, worker, key, ending: Ending) -> None:
        del worker.runs[key]
        task, number = key
        worker.refused[task] = max(worker.refused[task], number)
        worker.sequence += 1
        worker.ends.append(ListedEnd(worker.sequence, task, number, ending, ""))
        if ending is Ending.DONE:
            self.done.setdefault(task, self.now_s)

    def restart_worker(self, worker) -> None:
        """A worker ends and starts under its old name, and knows nothing.

        Orders of former holders end with the connections to its former life; one
        of the present holder may reach the new one. The ends that nobody has
        taken note of are lost.
        """
        for end in worker.ends:
            if end.task not in self.noted | self.heard:
                self.done.pop(end.task, None)
        self.flights = [
            flight
            for flight in self.flights
            if flight[0] is self.holder or flight[1].worker_id != worker.worker_id
        ]
        self.workers[worker.worker_id] = WorldWorker(
            worker.worker_id, worker.born_ms + 1000
        )

    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        for worker in self.workers.values():
            if worker.runs and self.now_s >= worker.deadline_s:
                for key in list(worker.runs):
                    self.end(worker, key, Ending.LAPSED)

    # What must always hold.

    def check_start(self, worker, order: StartOrder) -> None:
        task = order.task
        job = self.jobs[task.job_id]
        for other in self.workers.values():
            alive = [key for key in other.runs if key[0] == task]
            assert not alive, f"{task} runs twice: {alive} and {order.number}"
        assert task not in self.noted, f"{task} starts after its end was noted"
        used = worker_use(self, worker) + job.steps[task.step].need
        assert used.fits(CAPACITY), f"{worker.worker_id} is over its capacity"
        for before in job.steps[task.step].after:
            for index in range(job.steps[before].count):
                earlier = task._replace(step=before, index=index)
                assert earlier in self.done, f"{task} starts before {earlier} is done"

    def check_noted(self, end: ListedEnd) -> None:
        if end.ending is Ending.FAILED:
            self.failures[end.task] += 1
        if end.ending is not Ending.DONE:
            return
        self.noted.add(end.task)
        later = [at_s for at_s in self.begun[end.task] if at_s > self.done[end.task]]
        assert not later, f"{end.task} started again after the end that is noted"

    def check_completed(self, job_id: str) -> None:
        for number, step in enumerate(self.jobs[job_id].steps):
            for index in range(step.count):
                assert any(
                    task[:1] == (job_id,) and task[2:] == (number, index)
                    for task in self.done
                ), f"{job_id} is shown as completed, {number}.{index} is not done"

    def settle(self) -> None:
        """Let everything work, and see that nothing is left behind."""
        for _round in range(400):
            if all(phase.final for phase in self.status.values()):
                return
            self.now_s += 0.3
            self.decide()
            while self.holder.writes:
                self.store(self.holder)
            while self.flights:
                self.fly(0, True)
            for worker in list(self.workers.values()):
                for key in list(worker.runs):
                    self.end(worker, key, Ending.DONE)
                self.renew(worker, True)
        raise AssertionError(f"jobs that never end: {self.status}")


def worker_use(world: World, worker) -> Resources:
    """Return what the alive runs of a worker occupy."""
    used = NO_RESOURCES
    for task, _number in worker.runs:
        used = used + world.jobs[task.job_id].steps[task.step].need
    return used
