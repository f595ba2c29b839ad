"""Runs the real schedulers and sizer with simulated workers and machines."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from heatherhatch_core.coordination.pool_sizes import PoolSizer
from heatherhatch_core.coordination.run_times import RunTimes
from heatherhatch_core.coordination.scheduler import (
    Ending,
    Rules,
    Scheduler,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerInfo,
)
from heatherhatch_core.feature_gates import ALL_ENABLED, FeatureGates
from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Job, Step

from .coordinator import STANDBY, VirtualCoordinator
from .experiment import Experiment, Fault, QueueLoad
from .jobs import JobGenerator, Outcome, SimulatedJob
from .predictions import TrueTimes
from .samples import PoolSample, sample_pools
from .workers import VirtualWorker

TICK_S = 0.02  # period of the rounds of each scheduler
COORDINATOR_PERIOD_S = 0.1  # period of the rounds of the coordinator
RETURN_S = 1.0  # until a caller returns while the store is away
REPORT_PERIOD_S = 0.5  # report period of a worker without ended runs
LASTING_ID = "lasting"
SAMPLE_PERIOD_S = 1.0


class World:
    """Simulates one experiment.

    Args:
        experiment: Parameters of the simulation.
        sizer: Policy for the sizes of pools; None to keep them fixed.
        new_run_times: Returns what predicts the run times of a pool.
        gates: Optional mechanisms that the schedulers use.

    Attributes:
        samples: Once a second, the time, and for each pool its machines, its demand
            and its machines without runs.
    """

    def __init__(
        self,
        experiment: Experiment,
        sizer: PoolSizer | None,
        new_run_times: Callable[[], RunTimes] = RunTimes,
        gates: FeatureGates = ALL_ENABLED,
    ):
        self.experiment = experiment
        self.generator = JobGenerator(experiment)
        self.now_s = 0.0
        self.count = itertools.count(1)
        self.events: list = []
        rules = Rules(machine_move_s=experiment.move_s, gates=gates)
        self.schedulers = {
            load.pool: Scheduler(load.pool, rules, 0.0) for load in experiment.loads
        }
        for scheduler in self.schedulers.values():
            scheduler.state.run_times = new_run_times()
        self.stalled_runs = 0
        self.workers: dict[str, VirtualWorker] = {}
        self.machines: dict[str, Machine] = {}
        self.unfinished: dict[str, SimulatedJob] = {}
        self.outcomes = {load.pool: Outcome() for load in experiment.loads}
        self.machine_s = 0.0
        self.moves = 0
        self.samples: list[tuple[float, dict[str, PoolSample]]] = []
        self.coordinator = VirtualCoordinator(self, sizer)
        self._build()

    def run(self) -> None:
        """Simulate the whole experiment."""
        self._schedule_events()
        end_s = self.experiment.load_s + self.experiment.completion_s
        coordinate_s = 0.0
        while self.now_s < end_s:
            self.now_s += TICK_S
            while self.events and self.events[0][0] <= self.now_s:
                _at_s, _number, action = heapq.heappop(self.events)
                action()
            if not self._is_store_away():
                self._run_pools()
                if self.now_s >= coordinate_s:
                    coordinate_s = self.now_s + COORDINATOR_PERIOD_S
                    self.coordinator.step()
            working = [item for item in self.machines.values() if item.pool != STANDBY]
            self.machine_s += TICK_S * len(working)
            if self.now_s >= len(self.samples) * SAMPLE_PERIOD_S:
                self.samples.append((self.now_s, sample_pools(self)))

    def _schedule_events(self) -> None:
        for load in self.experiment.loads:
            for at_s in self.generator.arrivals(load):
                self.schedule(at_s, partial(self._submit, load))
        for fault in self.experiment.faults:
            if fault.kind == "crash":
                self.schedule(fault.at_s, partial(self._crash, fault))

    def _run_pools(self) -> None:
        self._deliver_reports()
        for pool in self.schedulers:
            self._run_round(pool)

    def schedule(self, delay_s: float, action) -> None:
        """Schedule an action after a delay in seconds of virtual time."""
        event = (self.now_s + delay_s, next(self.count), action)
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
                self._start_worker(name)
        for load in self.experiment.loads:
            need = Resources(int(load.lasting_cores * 1000), 1)
            step = Step(load.lasting, need, 1.0, lasting=True, may_miss=1)
            job = Job(
                f"{LASTING_ID}-{load.pool}", load.pool, load.pool, "", "", (step,)
            )
            self.schedulers[load.pool].add_job(job, None, 0.0)

    def _start_worker(self, name: str) -> None:
        machine = self.machines[name]
        self.machines[name] = replace(machine, state=MachineState.UP)
        if machine.pool == STANDBY:
            return
        born_ms = next(self.count)
        info = WorkerInfo(
            f"w{born_ms:06}", name, machine.pool, "dc", born_ms, machine.capacity
        )
        self.workers[name] = VirtualWorker(info)
        self.schedulers[machine.pool].update_worker(info, self.now_s)

    def _submit(self, load: QueueLoad) -> None:
        simulated = self.generator.next_job(load, self.now_s)
        self.outcomes[load.pool].submitted.append(simulated)
        self._accept(simulated)

    def _accept(self, simulated: SimulatedJob) -> None:
        if self._is_store_away():
            self.schedule(RETURN_S, partial(self._accept, simulated))
            return
        pool = simulated.job.pool
        self.unfinished[simulated.job.job_id] = simulated
        outcome = self.outcomes[pool]
        outcome.jobs += 1
        outcome.work += simulated.work
        scheduler = self.schedulers[pool]
        if isinstance(scheduler.state.run_times, TrueTimes):
            scheduler.state.run_times.note_job(simulated)
        scheduler.add_job(simulated.job, None, self.now_s)

    def _is_store_away(self) -> bool:
        return any(
            fault.kind == "store" and fault.covers(self.now_s)
            for fault in self.experiment.faults
        )

    def _crash(self, fault: Fault) -> None:
        """End the workers of some machines with their runs; they come back later."""
        up = [
            name
            for name, machine in sorted(self.machines.items())
            if machine.pool != STANDBY and name in self.workers
        ]
        for name in self.generator.random.sample(up, round(fault.share * len(up))):
            worker = self.workers.pop(name)
            self.schedulers[worker.info.pool].remove_worker(worker.info.worker_id)
            self.coordinator.forget(name)
            self.machines[name] = replace(
                self.machines[name], state=MachineState.DOWN, worker_id=""
            )
            self.schedule(fault.for_s, partial(self._start_worker, name))

    def _deliver_reports(self) -> None:
        for worker in self.workers.values():
            if worker.ends or self.now_s - worker.last_report_s >= REPORT_PERIOD_S:
                worker.last_report_s = self.now_s
                scheduler = self.schedulers[worker.info.pool]
                worker_state = scheduler.state.workers[worker.info.worker_id]
                report = worker.report(worker_state.acked, self.now_s)
                scheduler.handle_report(
                    worker.info.worker_id, report, self.now_s - 0.002, self.now_s
                )

    def _run_round(self, pool: str) -> None:
        scheduler = self.schedulers[pool]
        scheduler.set_drains({}, self.coordinator.delivered[pool])
        scheduler.decide(self.now_s, self.now_s)
        for write in scheduler.take_writes(self.now_s):
            if write.status is not None and write.status.phase.final:
                self._record_completion(write.job_id)
            scheduler.stored(write.job_id, write.version, self.now_s)
        for order in scheduler.take_orders():
            self._execute(scheduler, order)
        notes = scheduler.take_notes()
        self.stalled_runs += sum(1 for what, _ in notes if what == "run stands still")

    def _record_completion(self, job_id: str) -> None:
        simulated = self.unfinished.pop(job_id)
        self.outcomes[simulated.job.pool].finished.append((simulated, self.now_s))
        if self.now_s <= simulated.due_s:
            outcome = self.outcomes[simulated.job.pool]
            outcome.on_time += 1
            outcome.work_on_time += simulated.work

    def _execute(self, scheduler: Scheduler, order) -> None:
        worker = self._find_worker(order.worker_id)
        if isinstance(order, StopOrder):
            if worker is not None:
                worker.end(order.task, order.number, Ending.STOPPED)
            scheduler.handle_stop_result(order, True, self.now_s)
        elif isinstance(order, StartOrder):
            if worker is None:
                scheduler.handle_start_result(order, StartResult.REFUSED, self.now_s)
                return
            worker.running[order.task, order.number] = True
            scheduler.handle_start_result(order, StartResult.STARTED, self.now_s)
            if not order.task.job_id.startswith(LASTING_ID):
                run_time_s = self.unfinished[order.task.job_id].run_times_s[
                    order.task.step
                ]
                run_time_s *= self.generator.task_factor(order.task)
                run = (order.task, order.number, Ending.DONE)
                self.schedule(
                    run_time_s + self.experiment.start_delay_s,
                    lambda: worker.end(*run),
                )

    def _find_worker(self, worker_id: str) -> VirtualWorker | None:
        return next(
            (
                worker
                for worker in self.workers.values()
                if worker.info.worker_id == worker_id
            ),
            None,
        )

    def move(self, name: str, pool: str) -> None:
        """Move a machine without runs to a pool."""
        self.moves += 1
        worker = self.workers.pop(name, None)
        if worker is not None:
            assert not worker.running, f"{name} still has running tasks"
            self.schedulers[worker.info.pool].remove_worker(worker.info.worker_id)
        self.coordinator.forget(name)
        machine = self.machines[name]
        self.machines[name] = replace(machine, pool=pool, state=MachineState.MOVING)
        self.schedule(self.experiment.move_s, lambda: self._start_worker(name))
