"""Commands that list and cancel long jobs."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from urllib.parse import urlencode

import click

from heatherhatch_core.api import CancelAnswer, JobFilter, JobPage
from heatherhatch_core.state.jobs import ENDED_STATES, Job, JobState

from ..context import Context, output_option
from ..output import format_time


@dataclass(frozen=True, slots=True)
class JobRow:
    """One line of the list of jobs."""

    job_id: str
    team: str
    work_class: str
    state: JobState
    attempt: int
    workers: tuple[str, ...]
    submitted: str
    detail: str


def filter_options(command: Callable) -> Callable:
    """Add the options of a job filter and pass it as ``job_filter``."""

    @click.option("--team", default="", help="Only this team.")
    @click.option("--class", "work_class", default="", help="Only this class of work.")
    @click.option("--worker", default="", help="Only jobs that run on this worker.")
    @click.option("--state", type=click.Choice([item.value for item in JobState]))
    @wraps(command)
    def wrapped(*args, team, work_class, worker, state, **kwargs):
        job_filter = JobFilter(
            team, work_class, worker, JobState(state) if state else None
        )
        return command(*args, job_filter=job_filter, **kwargs)

    return wrapped


@click.group()
def job() -> None:
    """Long jobs."""


@job.command("list")
@filter_options
@output_option
def list_jobs(context: Context, job_filter: JobFilter) -> None:
    """List jobs, the most recently submitted first.

    \b
    Example:
      heatherhatch job list --team siop-bala --state running
    """
    jobs = _matching_jobs(context, job_filter)
    context.show(jobs, [_row(item) for item in jobs])


@job.command("cancel")
@filter_options
@click.option("--dry-run", is_flag=True, help="Only list the jobs to cancel.")
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@output_option
def cancel(context: Context, job_filter: JobFilter, dry_run: bool, yes: bool) -> None:
    """Cancel every job that matches the filter and has not ended.

    \b
    Examples:
      heatherhatch job cancel --team siop-bala --class reconcile --dry-run
      heatherhatch job cancel --worker bala-2 --yes
    """
    jobs = [
        item
        for item in _matching_jobs(context, job_filter)
        if item.state not in ENDED_STATES
    ]
    if dry_run:
        context.show(jobs, [_row(item) for item in jobs])
        return
    if not yes:
        click.confirm(f"cancel {len(jobs)} jobs?", abort=True)
    answer = context.client.post("/v1/jobs/cancel", job_filter, CancelAnswer)
    context.show(answer, (answer,))


def _matching_jobs(context: Context, job_filter: JobFilter) -> list[Job]:
    query = {
        "team": job_filter.team,
        "class": job_filter.work_class,
        "worker": job_filter.worker_id,
        "state": job_filter.state.value if job_filter.state else "",
    }
    path = "/v1/jobs?" + urlencode({key: v for key, v in query.items() if v})
    jobs = list(context.client.get(path, JobPage).jobs)
    return sorted(jobs, key=lambda item: -item.submitted_s)


def _row(item: Job) -> JobRow:
    return JobRow(
        item.job_id,
        item.team,
        item.spec.work_class,
        item.state,
        item.attempt,
        item.workers,
        format_time(item.submitted_s),
        item.detail,
    )
