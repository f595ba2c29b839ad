"""How much of a pool its waiting work would take."""

from .state import PoolState


def wanted_cpu_m(state: PoolState) -> int:
    """Return the thousandths of a core that tasks wait for whose turn has come."""
    wanted = 0
    for job in state.jobs.values():
        if job.phase.final:
            continue
        for occurrence in job.expanded:
            for number, step in enumerate(job.job.steps):
                if step.fills or not job.ready(occurrence, number):
                    continue
                waiting = sum(
                    1
                    for task in job.step_tasks(occurrence, number)
                    if not task.settled and not task.runs
                )
                wanted += waiting * step.need.cpu_m
    return wanted
