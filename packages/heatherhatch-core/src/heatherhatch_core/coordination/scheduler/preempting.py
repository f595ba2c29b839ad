"""Stops tasks that save checkpoints where that makes urgent jobs be on time."""

from ...state.resources import NO_RESOURCES, Resources
from ..competition.preemption import (
    MAX_AT_ONCE,
    Victim,
    choose_victims,
    total_held,
    total_loss,
)
from .job_claims import ends_in_s, expected_s, remaining_s, waiting_tasks
from .live import LiveJob
from .ordering import CHAIN_OVERHEAD_S
from .permits import step_name
from .placement_round import PlacementRound
from .run import Run
from .task import Task
from .victims import may_stop
from .worker import Worker
from .worker_choice import fits_allowance

CHECK_INTERVAL_S = 0.1  # a fifth of the time in which a preemption is considered
MAX_JOBS_PER_CHECK = 5  # more preemptions than for these are not allowed anyway
# Workers and runs examined in one check. In a pool of 100 workers with 3,200 runs, five
# jobs of 600 tasks took 0.26 s without a bound; this many take some tens of
# milliseconds.
MAX_EXAMINED = 20_000
# Runs may end earlier than expected, so a preemption waits until its last chance is as
# far away as it takes itself.
LEAD_FACTOR = 2.0


class Preemptor:
    """Finds room for the urgent jobs of one round, most urgent first.

    Args:
        placement: The placement round, after its tasks were placed.
        wall_s: Seconds since the epoch.

    Attributes:
        left_s: How long the job in hand can still wait, seconds.
        freed: Resources of each worker that become free within that time.
        taken: Resources of each worker that more urgent jobs will take.
        offers: Runs of each worker to stop for a task of the job in hand, by step.
        lengths_s: Expected run time of each run, seconds.
        examined: Number of workers and runs examined so far.
    """

    def __init__(self, placement: PlacementRound, wall_s: float):
        self.placement = placement
        self.state = placement.state
        self.now_s = placement.now_s
        self.wall_s = wall_s
        self.left_s = 0.0
        self.freed: dict[str, Resources] = {}
        self.taken: dict[str, Resources] = {}
        self.offers: dict[tuple[str, int], tuple[Victim, ...] | None] = {}
        self.lengths_s: dict[Run, float] = {}
        self.examined = 0

    def is_last_chance(self, job: LiveJob) -> bool:
        """Return whether a preemption now, but hardly later, makes a job be on time."""
        least_s = self.state.rules.stop_s + CHAIN_OVERHEAD_S
        return least_s <= job.begin_by_s - self.wall_s <= LEAD_FACTOR * least_s

    def serve(self, job: LiveJob) -> None:
        """Stop runs for the waiting tasks of a job, if it is on time only with that."""
        tasks = waiting_tasks(job, self.now_s)
        if self.examined > MAX_EXAMINED or not tasks or not self._is_allowed(tasks):
            return
        self.left_s = job.begin_by_s - self.wall_s
        self.offers = {}
        self.freed = {
            worker.worker_id: self._free_in_time(worker)
            for worker in self.placement.workers
        }
        chosen: list[Victim] = []
        before = dict(self.taken)
        for task in tasks:
            found = self._find_room(task, chosen)
            if found is None:
                self.taken = before
                return
            chosen += found
        gain = job.claim.running + job.claim.waiting
        loss = total_loss(chosen)
        if not chosen:
            return
        if loss >= gain or not self.state.competition.preemptions.spend(
            len(chosen), self.now_s
        ):
            self.taken = before
            return
        for victim in chosen:
            self._stop(victim, job, loss, gain)

    def _find_room(self, task: Task, chosen: list[Victim]) -> tuple[Victim, ...] | None:
        """Return the runs to stop for a task; None if there is no room for it."""
        need = task.step.occupies
        worker = None
        for candidate in self.placement.workers:
            self.examined += 1
            if self.examined > MAX_EXAMINED:
                return None
            free = self._free(candidate, task)
            if need.fits(free) and self._may_run(task, candidate):
                worker = candidate
                break
        best: tuple[Victim, ...] | None = () if worker else None
        for candidate in self.placement.workers if worker is None else ():
            if not self._may_run(task, candidate):
                continue
            offer = self._offer(candidate, task, chosen)
            if offer is not None and (
                best is None or total_loss(offer) < total_loss(best)
            ):
                best, worker = offer, candidate
        if best is None or len(chosen) + len(best) > MAX_AT_ONCE:
            return None
        taken = self.taken.get(worker.worker_id, NO_RESOURCES)
        self.taken[worker.worker_id] = taken + need - total_held(best)
        self.offers.pop((worker.worker_id, task.name.step), None)
        return best

    def _free(self, worker: Worker, task: Task) -> Resources:
        taken = self.taken.get(worker.worker_id, NO_RESOURCES)
        kept = self.state.evacuated.kept_for_others(task.name, worker.worker_id)
        return self.freed[worker.worker_id] - taken - kept

    def _offer(
        self, worker: Worker, task: Task, chosen: list[Victim]
    ) -> tuple[Victim, ...] | None:
        """Return the runs of a worker to stop for a task, as choose_victims does."""
        key = (worker.worker_id, task.name.step)
        if key not in self.offers:
            self.examined += len(worker.runs)
            victims = [
                victim
                for run in worker.runs.values()
                if not self._ends_in_time(run)
                and (victim := self._victim(task, run))
                and victim not in chosen
            ]
            need = task.step.occupies
            self.offers[key] = choose_victims(need, self._free(worker, task), victims)
        return self.offers[key]

    def _victim(self, task: Task, run: Run) -> Victim | None:
        """Return a run as a victim; None if it must not be stopped for a task."""
        if not may_stop(run, task.job):
            return None
        job = run.task.job
        step = run.task.step
        length_s = self.lengths_s[run]
        rest_s = remaining_s(run.task, length_s, self.now_s)
        saved_s = max(0.0, run.checkpoint_s - run.begun_s)
        restart_s = self.state.rules.stop_s + CHAIN_OVERHEAD_S
        lost_s = self.now_s - max(run.begun_s, run.checkpoint_s) + restart_s
        if rest_s < lost_s:
            return None
        loss = step.need.cpu_m / 1000.0 * lost_s
        pause_s = (
            expected_s(self.state, task) + self.state.rules.stop_s + CHAIN_OVERHEAD_S
        )
        latest_s = job.order_key[3] - self.wall_s
        if rest_s - length_s <= latest_s < pause_s - saved_s:
            # Its job is on time now and would be late.
            loss += job.claim.running + job.claim.waiting
        return Victim(run, run.held, loss)

    def _stop(self, victim: Victim, job: LiveJob, loss: float, gain: float) -> None:
        run = victim.run
        run.task.preemptions += 1
        self.state.touch(run.task.job)
        self.state.stop_run(run, self.now_s)
        self.state.note(
            "run preempted",
            task=run.name,
            run=run.number,
            worker=run.worker_id,
            preemptions=run.task.preemptions,
            urgent=job.job.job_id,
            left_s=round(self.left_s, 2),
            loss_core_s=round(loss, 2),
            gain_core_s=round(gain, 2),
        )

    def _ends_in_time(self, run: Run) -> bool:
        """Return whether a run is expected to end before the job must begin."""
        length_s = self.lengths_s.get(run)
        if length_s is None:
            length_s = expected_s(self.state, run.task) if run.task else 0.0
            self.lengths_s[run] = length_s
        return ends_in_s(run, length_s, self.now_s) <= self.left_s

    def _free_in_time(self, worker: Worker) -> Resources:
        """Return what is free on a worker once the job in hand must begin."""
        self.examined += len(worker.runs)
        held = (run.held for run in worker.runs.values() if self._ends_in_time(run))
        return sum(held, worker.free)

    def _may_run(self, task: Task, worker: Worker) -> bool:
        step = task.step
        if task.is_suspect or step.spread or worker.worker_id in task.avoid:
            return False
        if self.state.queue_rules.permit_rules(task.job.job) is not None:
            permits = self.state.permits
            name = step_name(task.name)
            if not permits.allows(name, worker.worker_id, self.now_s):
                return False
        return not step.label or step.label in worker.info.labels

    def _is_allowed(self, tasks: list[Task]) -> bool:
        need = sum((task.step.occupies for task in tasks), NO_RESOURCES)
        return fits_allowance(self.state, tasks[0], need)


def preempt_for_urgent(
    placement: PlacementRound, jobs: list[LiveJob], wall_s: float
) -> None:
    """Stop runs of a lower priority for jobs that are on time only with that.

    Args:
        placement: The placement round, after its tasks were placed.
        jobs: Jobs in the order of placement.
        wall_s: Seconds since the epoch.
    """
    competition = placement.state.competition
    if len(competition.priorities) < 2:
        return
    if placement.now_s - competition.preempted_s < CHECK_INTERVAL_S:
        return
    competition.preempted_s = placement.now_s
    lowest = max(competition.priorities)
    preemptor = Preemptor(placement, wall_s)
    urgent = [
        job
        for job in jobs
        if job.job.terms.priority < lowest
        and job.claim is not None
        and job.claim.waiting_cores
        and preemptor.is_last_chance(job)
    ]
    for job in urgent[:MAX_JOBS_PER_CHECK]:
        preemptor.serve(job)
