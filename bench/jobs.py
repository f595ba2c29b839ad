"""Measures long jobs: targets met, shares, decision time and cancellations."""

import dataclasses
import random
import time
from dataclasses import dataclass, field
from itertools import pairwise

from heatherhatch_core.coordination import attempts
from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.dispatch_round import DispatchRound
from heatherhatch_core.coordination.placement import clamp, worker_capacities
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_core.state.jobs import JOBS_PREFIX, Job, JobSpec, JobState, Usage
from heatherhatch_daemon.tasks.job_records import JobRecords
from heatherhatch_daemon.transport.memory_store import MemoryStore

TICK_S = 2.0
USAGE_DELAY_S = 10.0
LOAD_FRACTION = 0.9
ESTIMATE_ERROR_FACTOR = 10.0
HOUR_S = 3600.0
WARM_UP_S = 600.0
SHARE_ERROR_TARGET = 0.02
SHARE_SEED = 2
OVERLOAD_FACTOR = 6.0
STEP_TARGET_MS = 10.0
TEAMS = ("red", "blue", "green", "gold")


def run() -> None:
    """Print all measurements of long jobs."""
    _measure_targets()
    _measure_shares()
    _measure_decisions()
    _measure_cancellations()


def fleet(workers: int, teams: dict[str, float]) -> Configuration:
    """Return a configuration of equal workers with one pool and two classes."""
    job = WorkKind.JOB
    return Configuration(
        seq=1,
        pools={"long": Pool("long", 0)},
        teams={name: Team(name, share, 10**9) for name, share in teams.items()},
        classes={
            "short": WorkClass("short", "long", job, 300.0, 0.95),
            "night": WorkClass("night", "long", job, 1800.0, 0.9),
        },
        workers={
            f"w{i:04d}": Worker(f"w{i:04d}", "fd", "r", "a", "long", "c")
            for i in range(workers)
        },
    )


@dataclass
class _Task:
    job: Job
    worker: str
    started_s: float
    progress_s: float = 0.0


@dataclass
class PolicySimulation:
    """Simulates one scheduling policy on a history of jobs in virtual time.

    If the tasks of a worker use more processors than it has, all of them slow down.
    If they use more memory than it has, the latest task is killed and queued again.
    """

    config: Configuration
    arrivals: list
    actual_usage: dict
    uses_estimates: bool
    now: float = 0.0
    tasks: dict = field(default_factory=dict)
    ended_s: dict = field(default_factory=dict)
    used_seconds: dict = field(default_factory=dict)
    revision: int = 0
    killed: int = 0

    def __post_init__(self):
        self.dispatch = Dispatch(0.0)

    def run(self, seconds: float) -> None:
        """Simulate until a time, in seconds since the start."""
        while self.now < seconds:
            while self.arrivals and self.arrivals[0].submitted_s <= self.now:
                self._update_job(self.arrivals.pop(0))
            self._start()
            self._run_tasks()
            self.now += TICK_S

    def on_time(self, work_class: str, until_s: float) -> float:
        """Return the fraction of the jobs of a class that ended within its target."""
        target = self.config.classes[work_class].target_s
        jobs = [
            job_id
            for job_id, (job, _) in self.actual_usage.items()
            if job.spec.work_class == work_class
            and WARM_UP_S <= job.submitted_s <= until_s
        ]
        on_time_jobs = [
            job_id
            for job_id in jobs
            if self.ended_s.get(job_id, 1e18)
            <= self.actual_usage[job_id][0].submitted_s + target
        ]
        return len(on_time_jobs) / max(1, len(jobs))

    def _update_job(self, job: Job) -> None:
        self.revision += 1
        self.dispatch.put(job, self.revision)

    def _start(self) -> None:
        chosen = (
            self._scheduled_starts()
            if self.uses_estimates
            else self._first_fit_starts()
        )
        for job, worker_id in chosen:
            started = attempts.start(job, (worker_id,), self.now)
            self._update_job(started)
            self.tasks[job.job_id] = _Task(started, worker_id, self.now)

    def _scheduled_starts(self):
        rounds = DispatchRound(
            self.dispatch, self.config, lambda _w: None, self.now, self.now
        )
        starts = rounds.starts(lambda _t: 10**9)
        return [(item.job, item.workers[0]) for item in starts]

    def _first_fit_starts(self):
        rooms = worker_capacities(self.config, lambda _w: None)["long"]
        for task in self.tasks.values():
            rooms[task.worker].take(_declared(task.job, rooms))
        found = []
        for job in sorted(
            self.dispatch.queue.jobs(), key=lambda item: item.submitted_s
        ):
            declared = _declared(job, rooms)
            room = next((room for room in rooms.values() if room.fits(declared)), None)
            if room is None:
                break
            room.take(declared)
            found.append((job, room.worker.worker_id))
        return found

    def _run_tasks(self) -> None:
        by_worker: dict[str, list[_Task]] = {}
        for task in self.tasks.values():
            by_worker.setdefault(task.worker, []).append(task)
        for worker_id, tasks in by_worker.items():
            self._run_worker(self.config.workers[worker_id], tasks)

    def _run_worker(self, worker: Worker, tasks: list[_Task]) -> None:
        tasks.sort(key=lambda task: task.started_s)
        while sum(self._use(task).memory_mb for task in tasks) > worker.memory_mb:
            task = tasks.pop()
            self.killed += 1
            del self.tasks[task.job.job_id]
            self._update_job(attempts.requeue(task.job, "memory"))
        cpus = sum(self._use(task).cpus for task in tasks)
        speed = min(1.0, worker.cpus / max(cpus, 1e-9))
        for task in tasks:
            used = self._use(task)
            team = task.job.team
            # The use of a team is its dominant share: the largest over the resources.
            fraction = max(used.cpus / worker.cpus, used.memory_mb / worker.memory_mb)
            self.used_seconds[team] = (
                self.used_seconds.get(team, 0.0) + fraction * TICK_S
            )
            task.progress_s += TICK_S * speed
            if task.progress_s >= used.run_s:
                self._end_task(task, used)
            elif self.now - task.started_s >= USAGE_DELAY_S:
                self.dispatch.live[task.job.job_id].reported_usage = used

    def _end_task(self, task: _Task, used: Usage) -> None:
        job_id = task.job.job_id
        del self.tasks[job_id]
        self.ended_s[job_id] = self.now + TICK_S
        done = attempts.end(task.job, JobState.DONE, "", self.now, used)
        self.dispatch.drop(job_id)
        self.dispatch.estimator.observe(done)

    def _use(self, task: _Task) -> Usage:
        return self.actual_usage[task.job.job_id][1]


def _declared(job: Job, rooms) -> Usage:
    spec = job.spec
    declared = Usage(spec.cpus, spec.memory_mb, spec.accelerators, spec.run_s)
    return clamp(declared, rooms.values())


def _draw_estimate_error(rng: random.Random) -> float:
    return ESTIMATE_ERROR_FACTOR ** rng.uniform(-1, 1)


def history(config: Configuration, seconds: float, load: float, seed: int):
    """Return random arrivals and the actual usage of each job.

    The load is the fraction of the processors of the fleet that the jobs need.
    """
    rng = random.Random(seed)
    kinds = [
        (team, name, 2.0 + 3 * i, 4000.0 + 1500 * i, base + 15 * i)
        for i, team in enumerate(config.teams)
        for name, base in (("short", 30.0), ("night", 180.0))
    ]
    work = sum(cpus * run for _, _, cpus, _, run in kinds) / len(kinds)
    capacity = sum(worker.cpus for worker in config.workers.values())
    rate = load * capacity / work
    arrivals, actual_usage, now = [], {}, 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        team, name, cpus, memory, run_s = rng.choice(kinds)
        used = Usage(
            cpus * rng.uniform(0.8, 1.2),
            memory * rng.uniform(0.8, 1.2),
            0,
            run_s * rng.uniform(0.8, 1.2),
        )
        spec = JobSpec(
            name,
            "",
            max(1, round(used.cpus * _draw_estimate_error(rng))),
            max(64, round(used.memory_mb * _draw_estimate_error(rng))),
            run_s=used.run_s * _draw_estimate_error(rng),
        )
        job = Job(f"{len(arrivals):06d}", team, spec, now)
        arrivals.append(job)
        actual_usage[job.job_id] = (job, used)
    return arrivals, actual_usage


def _measure_targets() -> None:
    config = fleet(16, dict.fromkeys(TEAMS, 1.0))
    for label, uses_estimates in (("learned", True), ("first_fit", False)):
        arrivals, actual_usage = history(config, HOUR_S, LOAD_FRACTION, 1)
        simulation = PolicySimulation(config, arrivals, actual_usage, uses_estimates)
        simulation.run(HOUR_S)
        for name, work_class in config.classes.items():
            # For jobs submitted later than this, the target ends after the simulation.
            share = simulation.on_time(name, HOUR_S - work_class.target_s)
            _print_figure(
                f"jobs.on_time.{name}.{label}",
                share,
                "of jobs",
                uses_estimates and share < work_class.on_time_share,
                f"at least {work_class.on_time_share}",
            )
        print(f"jobs.ended_for_memory.{label} {simulation.killed} tasks")


def _measure_shares() -> None:
    error = _share_error(True)
    missed = error > SHARE_ERROR_TARGET
    _print_figure("jobs.share_error.learned", error, "of share", missed, "at most 0.02")
    print(f"jobs.share_error.first_fit {_share_error(False):.4f} of share")


def _share_error(uses_estimates: bool) -> float:
    config = fleet(8, {"red": 3.0, "blue": 1.0})
    arrivals, actual_usage = history(config, HOUR_S, OVERLOAD_FACTOR, SHARE_SEED)
    # Both teams submit far more work than their share from the start.
    arrivals = [dataclasses.replace(job, submitted_s=0.0) for job in arrivals]
    simulation = PolicySimulation(config, arrivals, actual_usage, uses_estimates)
    simulation.run(HOUR_S)
    if simulation.dispatch.queue.teams() != {"red", "blue"}:
        raise RuntimeError("a team ran out of jobs; increase OVERLOAD_FACTOR")
    total = sum(simulation.used_seconds.values())
    shares = {"red": 0.75, "blue": 0.25}
    return max(
        abs(simulation.used_seconds[t] / total - fraction) / fraction
        for t, fraction in shares.items()
    )


def _measure_decisions() -> None:
    config = fleet(2600, dict.fromkeys(TEAMS, 1.0))
    dispatch = Dispatch(0.0)
    for i in range(10_000):
        spec = JobSpec(("short", "night")[i % 2], "", 8, 8192, run_s=60.0)
        dispatch.put(Job(f"{i:05d}", TEAMS[i % 4], spec, float(i)), i + 1)
    started_s = time.perf_counter()
    step_times_s = [started_s]
    rounds = DispatchRound(dispatch, config, lambda _w: None, 1.0, 1.0)
    step_times_s.append(time.perf_counter())
    starts = []
    for step in rounds.steps(lambda _t: 10**9):
        step_times_s.append(time.perf_counter())
        if step is not None:
            starts.append(step)
    elapsed_s = time.perf_counter() - started_s
    longest_ms = 1e3 * max(after - before for before, after in pairwise(step_times_s))
    print(f"jobs.decision {elapsed_s / len(starts) * 1e3:.3f} ms/job")
    print(f"jobs.round_of_{len(starts)}_starts {elapsed_s * 1e3:.1f} ms")
    missed = longest_ms > STEP_TARGET_MS
    target = f"at most {STEP_TARGET_MS}"
    _print_figure("jobs.round.longest_step", longest_ms, "ms", missed, target)


def _measure_cancellations() -> None:
    store = MemoryStore(time.monotonic)
    records = JobRecords(store, 60.0, time.monotonic)
    spec = JobSpec("short", "")
    for first in range(0, 5000, 50):
        records.create([Job(f"{first + i:05d}", "red", spec, 0.0) for i in range(50)])
    before, started_s = store.calls, time.perf_counter()
    for page in list(records.pages(JOBS_PREFIX)):
        records.cancel(list(page), 1.0)
    elapsed_s = time.perf_counter() - started_s
    print(f"jobs.cancel_5000.store_calls {store.calls - before} calls")
    print(f"jobs.cancel_5000.time {elapsed_s:.3f} s")


def _print_figure(
    name: str, value: float, unit: str, missed: bool, target: str
) -> None:
    print(f"{name} {value:.4f} {unit}" + (f" MISSED {target}" if missed else ""))


if __name__ == "__main__":
    run()
