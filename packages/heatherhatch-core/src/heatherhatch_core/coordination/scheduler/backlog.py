"""Sums up the backlog of a pool for those who accept jobs."""

from ..competition.rejection import ClassBacklog, PoolBacklog
from .ordering import LATE
from .run import FULL_PACE_PERCENT
from .state import PoolState
from .worker import Worker


def pool_backlog(state: PoolState, spare_cores: float) -> PoolBacklog:
    """Return what a pool has to do, and with what.

    Args:
        state: State of the pool.
        spare_cores: Cores that may be added by moving machines.
    """
    cores, speed = _serving(state)
    running: dict[int, float] = {}
    on_time: dict[int, float] = {}
    late: dict[int, float] = {}
    for job in state.jobs.values():
        claim = job.claim
        if claim is None or job.phase.final:
            continue
        priority = job.job.terms.priority
        running[priority] = running.get(priority, 0.0) + claim.running
        if claim.on_time:
            on_time[priority] = on_time.get(priority, 0.0) + claim.waiting
        elif job.order_key[0] == LATE:
            late[priority] = late.get(priority, 0.0) + claim.waiting
    classes = tuple(
        ClassBacklog(
            priority,
            round(running[priority], 2),
            round(on_time.get(priority, 0.0), 2),
            round(late.get(priority, 0.0), 2),
        )
        for priority in sorted(running)
    )
    return PoolBacklog(
        classes, round(cores, 3), spare_cores, round(speed, 3), _lengths(state)
    )


def _serving(state: PoolState) -> tuple[float, float]:
    """Return the cores that serve work that ends, and the mean speed of its runs.

    The cores of workers that get no new runs serve those that end there, which are a
    part of the running work.
    """
    cpu_m = 0
    percents = []
    for worker in state.workers.values():
        if not worker.present:
            continue
        if worker.info.draining or state.evacuated.covers(worker):
            cpu_m += _ending_cpu_m(worker)
            continue
        lasting_cpu_m = 0
        for run in worker.runs.values():
            if run.task is None or run.task.step.fills:
                continue
            if run.task.step.lasting:
                lasting_cpu_m += run.held.cpu_m
            elif run.percent:
                percents.append(run.percent)
        cpu_m += max(0, worker.info.capacity.cpu_m - lasting_cpu_m)
    mean = sum(percents) / len(percents) if percents else FULL_PACE_PERCENT
    return cpu_m / 1000.0, mean / FULL_PACE_PERCENT


def _ending_cpu_m(worker: Worker) -> int:
    """Return the CPU of the runs of a worker that end by themselves."""
    return sum(
        run.held.cpu_m
        for run in worker.runs.values()
        if run.task is not None and not (run.task.step.fills or run.task.step.lasting)
    )


def _lengths(state: PoolState) -> dict[str, float]:
    """Return expected over estimated run time of the open steps of each queue."""
    sums: dict[str, tuple[float, float]] = {}
    for job in state.jobs.values():
        if job.claim is None or job.phase.final:
            continue
        queue = job.job.queue
        expected, estimated = sums.get(queue, (0.0, 0.0))
        for number, step in enumerate(job.job.steps):
            expected += state.run_times.expect(queue, number, step.estimate_s)
            estimated += step.estimate_s
        sums[queue] = (expected, estimated)
    return {
        queue: round(expected / estimated, 2)
        for queue, (expected, estimated) in sums.items()
        if estimated > 0
    }
