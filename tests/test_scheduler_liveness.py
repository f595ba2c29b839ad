"""Once all faults have ended, no task waits long while workers have room for it.

Workers refuse starts, do not answer them, fail what they run, restart and go silent;
holders take over from what is stored. The bounds are those of the users' rule LOST:
room for the task twice over, and for tasks that end, a job with nothing running in a
pool of which under half is in use.
"""

from random import Random

import pytest

from heatherhatch_core.coordination.scheduler import Ending, StartOrder, StartResult
from pool_model import make_job, make_step
from scheduler_environment import CAPACITY, SchedulerEnvironment, used_resources

SETTLE_S = 4.0  # time after the last fault in which tasks may wait
MAX_WAIT_S = 3.0
MAX_LASTING_WAIT_S = 6.0
ROUND_S = 0.1
RUN_S = 0.8
FAULTY_ROUNDS = 200
SEEDS = 30
FAULTS = (None, StartResult.UNWELL, StartResult.UNKNOWN, Ending.FAILED)
STEP_LISTS = (
    (make_step(2),),
    (make_step(3, lasting=True),),
    (make_step(1), make_step(2, lasting=True, spread=1, after=(0,))),
    (make_step(2, cores=2, spread=1), make_step(2, after=(0,))),
    (make_step(1, lasting=True), make_step(4, cores=0.5)),
)


class FaultyEnvironment(SchedulerEnvironment):
    """An environment whose workers may refuse, ignore or fail what they are to start.

    Attributes:
        faults: What each faulty worker does with a start.
    """

    def __init__(self):
        self.faults: dict[str, StartResult | Ending] = {}
        super().__init__()

    def execute_order(self, worker, holder, order, deadline_s):
        fault = self.faults.get(worker.worker_id)
        if isinstance(order, StartOrder) and isinstance(fault, StartResult):
            return fault if holder.token >= worker.highest_token else None
        result = super().execute_order(worker, holder, order, deadline_s)
        key = (order.task, order.number)
        if fault is Ending.FAILED and key in worker.runs:
            self.end_run(worker, key, fault)
        return result

    def end_run(self, worker, key, ending):
        lasting = self.jobs[key[0].job_id].steps[key[0].step].lasting
        failed = lasting and ending is Ending.DONE
        super().end_run(worker, key, Ending.FAILED if failed else ending)

    def play_round(self) -> None:
        """Let every holder's call and every worker's answer succeed."""
        self.now_s += ROUND_S
        self.decide()
        while self.holder.writes:
            self.apply_write(self.holder)
        while self.pending_orders:
            self.deliver_order(0, True)
        for worker in list(self.workers.values()):
            self.renew(worker, True)

    def end_runs(self) -> None:
        """End the runs that do not last and have worked long enough."""
        for worker in self.workers.values():
            for task, number in list(worker.runs):
                step = self.jobs[task.job_id].steps[task.step]
                if not step.lasting and self.now_s - self.starts_s[task][-1] > RUN_S:
                    self.end_run(worker, (task, number), Ending.DONE)

    def max_waits_s(self) -> dict:
        """Return how long each task without a run may stay so, by task."""
        running = {key[0] for worker in self.workers.values() for key in worker.runs}
        busy_jobs = {task.job_id for task in running}
        used = [used_resources(self, worker) for worker in self.workers.values()]
        full = 2 * sum(item.cpu_m for item in used) >= CAPACITY.cpu_m * len(used)
        limits = {}
        for live in self.holder.scheduler.state.jobs.values():
            if live.phase.final:
                continue
            for (occurrence, number, _index), task in live.tasks.items():
                if task.settled or task.name in running:
                    continue
                if not live.ready(occurrence, number) or not self.has_room(task):
                    continue
                if task.step.lasting:
                    limits[task.name] = MAX_LASTING_WAIT_S
                elif not full and task.name.job_id not in busy_jobs:
                    limits[task.name] = MAX_WAIT_S
        return limits

    def has_room(self, task) -> bool:
        """Return whether the workers have room for a task twice over."""
        places = 0
        for worker in self.workers.values():
            free = CAPACITY - used_resources(self, worker)
            fitting = free.cpu_m // task.step.need.cpu_m
            siblings = sum(1 for name, _run in worker.runs if name[:3] == task.name[:3])
            spread = task.step.spread
            places += max(0, min(fitting, spread - siblings)) if spread else fitting
        return places >= 2

    def check_no_task_waits(self) -> None:
        """Let all faults end, and check how long tasks wait from then on."""
        self.faults.clear()
        end_s = self.now_s + SETTLE_S
        while self.now_s < end_s:
            self.play_round()
            self.end_runs()
        since_s: dict = {}
        end_s = self.now_s + MAX_LASTING_WAIT_S + 1.0
        while self.now_s < end_s:
            self.play_round()
            limits = self.max_waits_s()
            since_s = {name: since_s.get(name, self.now_s) for name in limits}
            for name, limit_s in limits.items():
                waited_s = self.now_s - since_s[name]
                assert waited_s <= limit_s, f"{name} has waited for {waited_s:.1f} s"
            self.end_runs()


def play_faults(environment: FaultyEnvironment, seed: int) -> None:
    """Submit jobs and let workers and holders fail at random."""
    random = Random(seed)
    for number in range(FAULTY_ROUNDS):
        environment.play_round()
        environment.end_runs()
        if number % 12 == 0:
            steps = random.choice(STEP_LISTS)
            environment.submit(make_job(*steps, job_id=f"j{number}"))
        if random.random() < 0.08:
            worker = random.choice(sorted(environment.workers))
            environment.faults[worker] = random.choice(FAULTS)
        if random.random() < 0.02:
            environment.change_holder()
        if random.random() < 0.02:
            environment.restart_worker(random.choice([*environment.workers.values()]))
        if random.random() < 0.05:
            environment.renew(random.choice([*environment.workers.values()]), False)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_task_waits_once_faults_have_ended(seed):
    """Workers that had failed runs or refused starts got nothing more for long."""
    environment = FaultyEnvironment()
    play_faults(environment, seed)
    environment.check_no_task_waits()
