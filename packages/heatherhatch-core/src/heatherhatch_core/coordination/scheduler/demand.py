"""Estimates the CPU demand of a pool."""

import math
from collections import deque
from dataclasses import dataclass

from ...feature_gates import ALL_ENABLED, FeatureGates
from ...state.resources import Resources
from ...state.work import Step
from .learning import mean_length_s
from .live import LiveJob
from .ordering import critical_path_s, is_late, objective_s
from .state import PoolState

# Arrivals in this window forecast those until another machine can be added.
ARRIVAL_WINDOW_S = 2.0
MIN_ARRIVAL_WINDOW_S = 0.7  # so that a few first jobs do not look like a burst
MIN_JOBS_FOR_RATE = 3  # fewer jobs give no arrival rate; one large job is no burst
# Time to see that a pool lacks a machine, to order the move and to start the first run.
MOVE_OVERHEAD_S = 0.5
# Half-life of an arrival in the share of urgent work. Between two peaks of a queue its
# jobs arrive seldom.
URGENCY_HALF_LIFE_S = 30.0
MIN_URGENCY_WEIGHT = 3.0  # with fewer recent jobs, all work counts as urgent
# Jobs arrive at random, so the CPU in use varies around its mean (square-root
# staffing).
HEADROOM_DEVIATIONS = 1.0
# Weight of the waiting tasks of late jobs; they are no reason to add many machines.
LATE_BACKLOG_WEIGHT = 0.25


class Arrivals:
    """Work that arrived recently.

    Attributes:
        recent: Arrival time of each job, monotonic seconds, its work in thousandths
            of a core times seconds, and its part of the variance of the CPU in use:
            the square of what it uses at a time, times seconds.
        weight: Decayed number of jobs.
        urgent_weight: The same of urgent jobs, which could not wait until another
            machine is added.
        decayed_s: When the two weights were last decayed, monotonic seconds.
    """

    def __init__(self):
        self.recent: deque[tuple[float, float, float]] = deque()
        self.weight = 0.0
        self.urgent_weight = 0.0
        self.decayed_s = 0.0

    def note(self, state: PoolState, job: LiveJob, now_s: float) -> None:
        """Add a job that has just arrived.

        Jobs with tasks that last, or that fit no worker, do not count.
        """
        work = variance = 0.0
        largest = largest_worker(state)
        for number, step in enumerate(job.job.steps):
            if step.lasting or not _fits(step, largest):
                return
            length_s = mean_length_s(state, job, number)
            work += step.count * step.need.cpu_m * length_s
            variance += (step.count * step.need.cpu_m) ** 2 * length_s
        self.recent.append((now_s, work, variance))
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
        while self.recent and now_s - self.recent[0][0] > ARRIVAL_WINDOW_S:
            self.recent.popleft()
        if not self.recent or not gates.arrival_rate:
            return 0.0
        work = sum(item[1] for item in self.recent)
        if len(self.recent) < MIN_JOBS_FOR_RATE:
            return work / ARRIVAL_WINDOW_S
        span_s = max(MIN_ARRIVAL_WINDOW_S, now_s - self.recent[0][0])
        if not gates.arrival_headroom:
            return work / span_s
        variance = sum(item[2] for item in self.recent)
        return work / span_s + HEADROOM_DEVIATIONS * math.sqrt(variance / span_s)


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """CPU demand of a pool, in thousandths of a core.

    Attributes:
        cpu_m: Demand of all work.
        on_time_cpu_m: The same without the jobs that can no longer be on time.
    """

    cpu_m: int
    on_time_cpu_m: int


def measure_demand(state: PoolState, arrivals: Arrivals, now_s: float) -> PoolDemand:
    """Return the CPU demand of the pool.

    Waiting tasks count as if they ran, but those of late jobs only in part. Batch
    demand is at least what is needed to keep up with recent arrivals. Filler
    tasks do not count. Tasks that fit no worker of the pool count as one worker
    together, which may be a larger one.
    """
    largest = largest_worker(state)
    oversized = False
    lasting = 0.0
    on_time = 0.0
    late = 0.0
    for job in state.jobs.values():
        if job.phase.final:
            continue
        batch = 0.0
        weight = LATE_BACKLOG_WEIGHT if is_late(job) else 1.0
        for occurrence in job.expanded:
            for number, step in enumerate(job.job.steps):
                if step.fills or not job.ready(occurrence, number):
                    continue
                if not _fits(step, largest):
                    oversized = True
                    continue
                tasks = job.step_tasks(occurrence, number)
                open_tasks = [task for task in tasks if not task.settled]
                if step.lasting:
                    lasting += len(open_tasks) * step.need.cpu_m
                    continue
                running = sum(1 for task in open_tasks if task.runs)
                waiting = len(open_tasks) - running
                batch += (running + weight * waiting) * step.need.cpu_m
        if is_late(job):
            late += batch
        else:
            on_time += batch
    if oversized:
        lasting += largest.cpu_m
    arriving = arrivals.cpu_m(now_s, state.rules.gates)
    return PoolDemand(
        int(lasting + max(on_time + late, arriving)),
        int(lasting + max(on_time, arriving)),
    )


def largest_worker(state: PoolState) -> Resources | None:
    """Return the largest capacity of a worker in each dimension; None without one."""
    largest = None
    for worker in state.evacuated.in_service(state.workers.values()):
        capacity = worker.info.capacity
        largest = capacity.elementwise_max(largest or capacity)
    return largest


def _fits(step: Step, largest: Resources | None) -> bool:
    return largest is None or step.occupies.fits(largest)
