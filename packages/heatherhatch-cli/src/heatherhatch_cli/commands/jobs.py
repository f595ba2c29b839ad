"""Long jobs."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from urllib.parse import urlencode

import click

from heatherhatch_core.api import CancelAnswer, JobFilter, JobPage
from heatherhatch_core.state.jobs import ENDED_STATES, Job, JobState

from ..context import Context, output_option
from ..output import time_text


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
    """Add the options of a job filter and pass it as ``wanted``."""

    @click.option("--team", default="", help="Only this team.")
    @click.option("--class", "work_class", default="", help="Only this class.")
    @click.option("--worker", default="", help="Only jobs that run there.")
    @click.option("--state", type=click.Choice([item.value for item in JobState]))
    @wraps(command)
    def wrapped(*args, team, work_class, worker, state, **kwargs):
        wanted = JobFilter(team, work_class, worker, JobState(state) if state else None)
        return command(*args, wanted=wanted, **kwargs)

    return wrapped


@click.group()
def job() -> None:
    """Long jobs."""


@job.command("list")
@filter_options
@output_option
def list_jobs(context: Context, wanted: JobFilter) -> None:
    """List jobs, the latest first.

    \b
    Example:
      heatherhatch job list --team siop-bala --state running
    """
    jobs = _matching(context, wanted)
    context.show(jobs, [_row(item) for item in jobs])


@job.command("cancel")
@filter_options
@click.option("--dry-run", is_flag=True, help="List what would be cancelled only.")
@click.option("--yes", is_flag=True, help="Do not ask.")
@output_option
def cancel(context: Context, wanted: JobFilter, dry_run: bool, yes: bool) -> None:
    """Cancel every live job that the filter matches.

    \b
    Examples:
      heatherhatch job cancel --team siop-bala --class reconcile --dry-run
      heatherhatch job cancel --worker bala-2 --yes
    """
    jobs = [
        item for item in _matching(context, wanted) if item.state not in ENDED_STATES
    ]
    if dry_run:
        context.show(jobs, [_row(item) for item in jobs])
        return
    if not yes:
        click.confirm(f"cancel {len(jobs)} jobs?", abort=True)
    answer = context.client.post("/v1/jobs/cancel", wanted, CancelAnswer)
    context.show(answer, (answer,))


def _matching(context: Context, wanted: JobFilter) -> list[Job]:
    query = {
        "team": wanted.team,
        "class": wanted.work_class,
        "worker": wanted.worker_id,
        "state": wanted.state.value if wanted.state else "",
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
        time_text(item.submitted_s),
        item.detail,
    )
