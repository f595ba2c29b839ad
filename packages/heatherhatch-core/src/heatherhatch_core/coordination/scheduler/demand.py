"""Estimates the CPU demand of a pool."""

from dataclasses import dataclass, field
from statistics import fmean

from ...feature_gates import ALL_ENABLED, FeatureGates
from ...state.resources import Resources
from ...state.work import Step
from .arrival_rate import Arrival, ArrivalRate
from .deadline_demand import OpenWork, cpu_to_be_on_time
from .learning import mean_length_s
from .live import LiveJob
from .ordering import critical_path_s, is_late, objective_s
from .placement_round import find_exclusion
from .state import PoolState
from .task import Task

# Time to see that a pool lacks a machine, to order the move and to start the first run.
MOVE_OVERHEAD_S = 0.5
# Half-life of an arrival in the share of urgent work. Between two peaks of a queue its
# jobs arrive seldom.
URGENCY_HALF_LIFE_S = 30.0
MIN_URGENCY_WEIGHT = 3.0  # with fewer recent jobs, all work counts as urgent
# Weight of the waiting tasks of late jobs; they are no reason to add many machines.
LATE_BACKLOG_WEIGHT = 0.25


class Arrivals:
    """Work that arrived recently.

    Attributes:
        rate: Rate of the work that arrives.
        weight: Decayed number of jobs.
        urgent_weight: The same of urgent jobs, which could not wait until another
            machine is added.
        decayed_s: When the two weights were last decayed, monotonic seconds.
    """

    def __init__(self):
        self.rate = ArrivalRate()
        self.weight = 0.0
        self.urgent_weight = 0.0
        self.decayed_s = 0.0

    def note(self, state: PoolState, job: LiveJob, now_s: float) -> None:
        """Add a job that has just arrived.

        Jobs with tasks that last, or that fit no worker, do not count.
        """
        work = 0.0
        largest = largest_worker(state)
        for number, step in enumerate(job.job.steps):
            if step.lasting or not _fits(step, largest):
                return
            length_s = mean_length_s(state, job, number)
            work += step.count * taken_cpu_m(state, step, largest) * length_s
        self.rate.note(Arrival(now_s, work))
        self._decay(now_s)
        self.weight += 1.0
        slack_s = objective_s(state, job, 0) - critical_path_s(state, job, 0, False)
        if slack_s < state.rules.machine_move_s + MOVE_OVERHEAD_S:
            self.urgent_weight += 1.0

    def urgent_share(self, now_s: float) -> float:
        """Return the share of jobs that could not wait for another machine, 0 to 1.

        It is 1 if too few jobs have arrived recently to tell.
        """
        self._decay(now_s)
        if self.weight < MIN_URGENCY_WEIGHT:
            return 1.0
        return min(1.0, self.urgent_weight / self.weight)

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self.decayed_s) / URGENCY_HALF_LIFE_S)
        self.weight *= factor
        self.urgent_weight *= factor
        self.decayed_s = now_s

    def cpu_m(self, now_s: float, gates: FeatureGates = ALL_ENABLED) -> float:
        """Return the CPU that keeps up with arrivals, in thousandths of a core."""
        return self.rate.work_per_s(now_s) if gates.arrival_rate else 0.0


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """CPU demand of a pool, in thousandths of a core.

    Attributes:
        cpu_m: Demand of all work.
        on_time_cpu_m: The same without the jobs that can no longer be on time.
    """

    cpu_m: int
    on_time_cpu_m: int


def measure_demand(
    state: PoolState, arrivals: Arrivals, now_s: float, wall_s: float
) -> PoolDemand:
    """Return the CPU demand of the pool.

    It covers the tasks that run, what has to be added so that those that wait are on
    time, and a part of the late ones that wait. Batch demand is at least what is needed
    to keep up with recent arrivals. Filler tasks do not count. Tasks that fit no worker
    of the pool count as one worker together, which may be a larger one.

    Args:
        state: State of the pool.
        arrivals: Work that arrived recently.
        now_s: Monotonic time, seconds.
        wall_s: Seconds since the epoch.
    """
    found = _open_demand(state, now_s, wall_s)
    on_time = float(found.running_cpu_m)
    arriving = arrivals.cpu_m(now_s, state.rules.gates)
    if state.rules.gates.deadline_demand:
        have_cpu_m = _serving_cpu_m(state) - found.lasting_cpu_m - found.late_running
        needed = cpu_to_be_on_time(
            found.on_time,
            max(0.0, have_cpu_m),
            state.rules.machine_move_s + MOVE_OVERHEAD_S,
        )
        on_time = max(on_time, needed)
    else:
        on_time += sum(work.cpu_m for work in found.on_time if not work.runs)
    late = found.late_running + LATE_BACKLOG_WEIGHT * found.late_waiting
    return PoolDemand(
        int(found.lasting_cpu_m + max(on_time + late, arriving)),
        int(found.lasting_cpu_m + max(on_time, arriving)),
    )


@dataclass(slots=True)
class _OpenDemand:
    """CPU that the open tasks of a pool use, in thousandths of a core.

    Attributes:
        lasting_cpu_m: Of tasks that run until their job is cancelled.
        running_cpu_m: Of tasks that run and can be on time.
        late_running: Of tasks that run and are late.
        late_waiting: Of tasks that wait and are late.
        on_time: Tasks that run or wait and can be on time, by step.
    """

    lasting_cpu_m: int = 0
    running_cpu_m: int = 0
    late_running: int = 0
    late_waiting: int = 0
    on_time: list[OpenWork] = field(default_factory=list)


def _open_demand(state: PoolState, now_s: float, wall_s: float) -> _OpenDemand:
    largest = largest_worker(state)
    found = _OpenDemand()
    oversized = False
    for job in state.jobs.values():
        if job.phase.final:
            continue
        for occurrence in job.expanded:
            for number, step in enumerate(job.job.steps):
                if step.fills or not job.ready(occurrence, number):
                    continue
                if not _fits(step, largest):
                    oversized = True
                    continue
                cpu_m = taken_cpu_m(state, step, largest)
                key = (occurrence, number)
                _add_step(found, state, job, key, cpu_m, now_s, wall_s)
    if oversized:
        found.lasting_cpu_m += largest.cpu_m
    return found


def _add_step(
    found: _OpenDemand,
    state: PoolState,
    job: LiveJob,
    key: tuple[int, int],
    cpu_m: int,
    now_s: float,
    wall_s: float,
) -> None:
    """Add the open tasks of one step that may run now.

    Args:
        found: Demand to add to.
        state: State of the pool.
        job: Job of the step.
        key: Occurrence and number of the step.
        cpu_m: CPU that each of its tasks takes, thousandths of a core.
        now_s: Monotonic time, seconds.
        wall_s: Seconds since the epoch.
    """
    step = job.job.steps[key[1]]
    tasks = [task for task in job.step_tasks(*key) if not task.settled]
    if step.lasting:
        found.lasting_cpu_m += len(tasks) * cpu_m
        return
    running = [task for task in tasks if task.runs]
    running_cpu_m = len(running) * cpu_m
    waiting_cpu_m = (len(tasks) - len(running)) * cpu_m
    if is_late(job):
        found.late_running += running_cpu_m
        found.late_waiting += waiting_cpu_m
        return
    found.running_cpu_m += running_cpu_m
    if running:
        age_s = fmean(_age_s(task, now_s) for task in running)
        left_s = mean_length_s(state, job, key[1], age_s)
        found.on_time.append(OpenWork(running_cpu_m, left_s, runs=True))
    if waiting_cpu_m:
        length_s = mean_length_s(state, job, key[1])
        # A job without a sort key has only just arrived.
        begin_in_s = job.begin_by_s - wall_s if job.order_key else 0.0
        found.on_time.append(OpenWork(waiting_cpu_m, length_s, begin_in_s))


def _age_s(task: Task, now_s: float) -> float:
    begun_s = min(run.begun_s for run in task.runs.values())
    return max(0.0, now_s - begun_s)


def _serving_cpu_m(state: PoolState) -> int:
    """Return the CPU of the workers that may get new runs, thousandths of a core."""
    return sum(
        worker.info.capacity.cpu_m
        for worker in state.workers.values()
        if worker.present
        and not worker.info.draining
        and not find_exclusion(state, worker)
    )


def taken_cpu_m(state: PoolState, step: Step, largest: Resources | None) -> int:
    """Return the CPU that a task takes from an empty worker, thousandths of a core.

    It is more than the task needs if the tasks do not fill a worker, or if they need
    more of another resource.
    """
    if largest is None or not state.rules.gates.packed_demand:
        return step.need.cpu_m
    count = step.occupies.times_in(largest)
    return largest.cpu_m // count if count else step.need.cpu_m


def largest_worker(state: PoolState) -> Resources | None:
    """Return the largest capacity of a worker in each dimension; None without one."""
    largest = None
    for worker in state.evacuated.in_service(state.workers.values()):
        capacity = worker.info.capacity
        largest = capacity.elementwise_max(largest or capacity)
    return largest


def _fits(step: Step, largest: Resources | None) -> bool:
    return largest is None or step.occupies.fits(largest)
