"""Bounds on the numbers of a job that the arithmetic of the scheduler relies on."""

from dataclasses import replace

from .resources import NO_RESOURCES, Resources
from .work import Job, Step

MAX_AMOUNT = 10**9  # thousandths of a core, MB or accelerators
MAX_SECONDS = 2.5e11  # of a time since the epoch, an interval or an estimate
_MOST = Resources(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT)


def bounded(job: Job) -> Job:
    """Return a job with each number moved into its bounds.

    Callers' jobs are checked when they are accepted, but the store may hold jobs that
    an earlier version accepted. One that needs less than nothing would add capacity to
    its worker, and to its team's limit.
    """
    schedule = replace(
        job.schedule,
        first_s=_seconds(job.schedule.first_s),
        interval_s=_seconds(job.schedule.interval_s),
        count=max(0, job.schedule.count),
    )
    return replace(
        job, steps=tuple(_bounded_step(step) for step in job.steps), schedule=schedule
    )


def _bounded_step(step: Step) -> Step:
    return replace(
        step,
        count=max(1, step.count),
        need=step.need.elementwise_max(NO_RESOURCES).elementwise_min(_MOST),
        estimate_s=_seconds(step.estimate_s),
        spread=max(0, step.spread),
        tail_target_ms=max(0.0, step.tail_target_ms),
        may_miss=max(0, step.may_miss),
    )


def _seconds(value: float) -> float:
    return min(max(0.0, value), MAX_SECONDS)
