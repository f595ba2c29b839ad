"""The real schedulers and sizer, with workers and machines of virtual time."""

import heapq
import itertools
from dataclasses import replace
from functools import partial

from heatherhatch_core.coordination.pool_sizes import FleetView, PoolNeed, PoolSizer
from heatherhatch_core.coordination.scheduler import (
    Ending,
    Rules,
    Scheduler,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerInfo,
)
from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Job, Step

from .experiment import Experiment, QueueLoad
from .jobs import JobMaker, Outcome, PlayedJob
from .workers import VirtualWorker

STANDBY = "standby"
TICK_S = 0.02  # time between two rounds of each scheduler
COORDINATE_S = 0.1  # time between two rounds of the coordinator
REPORT_S = 0.15  # age of what the coordinator knows of a pool
ASK_S = 0.15  # until a holder knows what the coordinator asks of it
RENEW_S = 0.5  # a worker without ends is listened to so often
LASTING_ID = "lasting"


class World:
    """Plays one experiment.

    Args:
        experiment: What to play.
        sizer: Policy of the sizes of pools; None to leave them as they are.
    """

    def __init__(self, experiment: Experiment, sizer: PoolSizer | None):
        self.experiment = experiment
        self.sizer = sizer
        self.maker = JobMaker(experiment)
        self.now_s = 0.0
        self.count = itertools.count(1)
        self.events: list = []
        self.schedulers = {
            load.pool: Scheduler(load.pool, Rules(), 0.0) for load in experiment.loads
        }
        self.workers: dict[str, VirtualWorker] = {}
        self.machines: dict[str, Machine] = {}
        self.asked: dict[str, dict[str, int]] = {pool: {} for pool in self.schedulers}
        self.requests: dict[str, int] = {}
        self.played: dict[str, PlayedJob] = {}
        self.outcomes = {load.pool: Outcome() for load in experiment.loads}
        self.machine_s = 0.0
        self.moves = 0
        self._build()

    def run(self) -> None:
        """Play it to its end."""
        for load in self.experiment.loads:
            for at_s in self.maker.arrivals(load):
                self.at(at_s, partial(self._submit, load))
        ends_s = self.experiment.lasts_s + self.experiment.rest_s
        coordinate_s = 0.0
        while self.now_s < ends_s:
            self.now_s += TICK_S
            while self.events and self.events[0][0] <= self.now_s:
                _at_s, _number, act = heapq.heappop(self.events)
                act()
            self._listen()
            for pool in self.schedulers:
                self._round(pool)
            if self.now_s >= coordinate_s:
                coordinate_s += COORDINATE_S
                self._coordinate()
            working = [item for item in self.machines.values() if item.pool != STANDBY]
            self.machine_s += TICK_S * len(working)

    def at(self, delay_s: float, act) -> None:
        """Do something later."""
        event = (self.now_s + delay_s, next(self.count), act)
        heapq.heappush(self.events, event)

    def _build(self) -> None:
        pools = [load.pool for load in self.experiment.loads]
        sizes = dict.fromkeys(pools, self.experiment.machines)
        sizes[STANDBY] = self.experiment.standby
        capacity = Resources(self.experiment.machine_cores * 1000, 10**6)
        for pool, size in sizes.items():
            for number in range(size):
                name = f"{pool}-{number:03}"
                self.machines[name] = Machine(
                    name, pool, MachineState.UP, capacity=capacity
                )
                self._begin_life(name)
        for load in self.experiment.loads:
            need = Resources(int(load.lasting_cores * 1000), 1)
            step = Step(load.lasting, need, 1.0, lasting=True, may_miss=1)
            job = Job(
                f"{LASTING_ID}-{load.pool}", load.pool, load.pool, "", "", (step,)
            )
            self.schedulers[load.pool].add_job(job, None, 0.0)

    def _begin_life(self, name: str) -> None:
        machine = self.machines[name]
        self.machines[name] = replace(machine, state=MachineState.UP)
        if machine.pool == STANDBY:
            return
        life = next(self.count)
        info = WorkerInfo(
            f"w{life:06}", name, machine.pool, "dc", life, machine.capacity
        )
        self.workers[name] = VirtualWorker(info)
        self.schedulers[machine.pool].update_worker(info, self.now_s)

    def _submit(self, load: QueueLoad) -> None:
        played = self.maker.make(load, self.now_s)
        self.played[played.job.job_id] = played
        outcome = self.outcomes[load.pool]
        outcome.jobs += 1
        outcome.work += played.work
        self.schedulers[load.pool].add_job(played.job, None, self.now_s)

    def _listen(self) -> None:
        for worker in self.workers.values():
            if worker.ends or self.now_s - worker.heard_s >= RENEW_S:
                worker.heard_s = self.now_s
                scheduler = self.schedulers[worker.info.pool]
                held = scheduler.state.workers[worker.info.worker_id]
                report = worker.report(held.acked, self.now_s)
                if report.ends or not worker.alive or not held.fenced:
                    scheduler.handle_report(
                        worker.info.worker_id, report, self.now_s - 0.002, self.now_s
                    )

    def _round(self, pool: str) -> None:
        scheduler = self.schedulers[pool]
        scheduler.set_drains({}, self.asked[pool])
        scheduler.decide(self.now_s, self.now_s)
        for write in scheduler.take_writes(self.now_s):
            if write.status is not None and write.status.phase.final:
                self._finished(write.job_id)
            scheduler.stored(write.job_id, write.version, self.now_s)
        for order in scheduler.take_orders():
            self._carry_out(scheduler, order)
        scheduler.take_notes()

    def _finished(self, job_id: str) -> None:
        played = self.played.pop(job_id)
        if self.now_s <= played.due_s:
            outcome = self.outcomes[played.job.pool]
            outcome.on_time += 1
            outcome.work_on_time += played.work

    def _carry_out(self, scheduler: Scheduler, order) -> None:
        worker = self._worker(order.worker_id)
        if isinstance(order, StopOrder):
            if worker is not None:
                worker.end(order.task, order.number, Ending.STOPPED)
            scheduler.handle_stop_result(order, True, self.now_s)
        elif isinstance(order, StartOrder):
            if worker is None:
                scheduler.handle_start_result(order, StartResult.REFUSED, self.now_s)
                return
            worker.alive[order.task, order.number] = True
            scheduler.handle_start_result(order, StartResult.STARTED, self.now_s)
            if not order.task.job_id.startswith(LASTING_ID):
                length_s = self.played[order.task.job_id].lengths_s[order.task.step]
                length_s *= self.maker.random.uniform(0.85, 1.15)
                run = (order.task, order.number, Ending.DONE)
                self.at(
                    length_s + self.experiment.handling_s,
                    lambda: worker.end(*run),
                )

    def _worker(self, worker_id: str) -> VirtualWorker | None:
        return next(
            (
                worker
                for worker in self.workers.values()
                if worker.info.worker_id == worker_id
            ),
            None,
        )

    def _coordinate(self) -> None:
        if self.sizer is None:
            return
        needs = {}
        cleared = set()
        for pool, scheduler in self.schedulers.items():
            idle = frozenset(
                worker.info.machine
                for worker in scheduler.state.workers.values()
                if worker.present and not worker.runs
            )
            needs[pool] = PoolNeed(pool, scheduler.needed_cpu_m(self.now_s), idle)
            cleared.update(
                name
                for name, number in scheduler.cleared().items()
                if self.requests.get(name) == number
            )
        machines = dict(self.machines)
        fleet = FleetView(machines, needs, STANDBY, frozenset(), frozenset(cleared))
        # What is decided now takes effect once the holders know.
        self.at(REPORT_S, lambda: self._decide(fleet))

    def _decide(self, fleet: FleetView) -> None:
        fleet = replace(fleet, machines=dict(self.machines))
        change = self.sizer.plan(fleet, self.now_s)
        for name, pool in change.moves:
            self._move(name, pool)
        wanted = set(change.draining)
        for name in list(self.requests):
            if name not in wanted:
                del self.requests[name]
        for name in sorted(wanted):
            self.requests.setdefault(name, next(self.count))
        asked = {pool: {} for pool in self.schedulers}
        for name, number in self.requests.items():
            pool = self.machines[name].pool
            if pool in asked:
                asked[pool][name] = number
        self.at(ASK_S, lambda: setattr(self, "asked", asked))

    def _move(self, name: str, pool: str) -> None:
        self.moves += 1
        worker = self.workers.pop(name, None)
        if worker is not None:
            assert not worker.alive, f"{name} was not empty"
            self.schedulers[worker.info.pool].remove_worker(worker.info.worker_id)
        self.requests.pop(name, None)
        machine = self.machines[name]
        self.machines[name] = replace(machine, pool=pool, state=MachineState.MOVING)
        self.at(self.experiment.move_s, lambda: self._begin_life(name))
