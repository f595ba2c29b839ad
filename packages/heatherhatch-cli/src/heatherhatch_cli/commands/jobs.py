"""Long jobs."""

from dataclasses import dataclass

import click

from heatherhatch_core.api import JobPage
from heatherhatch_core.state.jobs import Job, JobState

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
    workers: str
    submitted: str
    detail: str


@click.group()
def job() -> None:
    """Long jobs."""


@job.command("list")
@click.option("--team", default="", help="Only this team.")
@click.option("--state", type=click.Choice([item.value for item in JobState]))
@output_option
def list_jobs(context: Context, team: str, state: str | None) -> None:
    """List jobs, the latest first."""
    jobs = [
        item
        for item in context.client.get("/v1/jobs", JobPage).jobs
        if team in ("", item.team) and state in (None, item.state.value)
    ]
    jobs.sort(key=lambda item: -item.submitted_s)
    context.show(jobs, [_row(item) for item in jobs])


def _row(item: Job) -> JobRow:
    return JobRow(
        item.job_id,
        item.team,
        item.spec.work_class,
        item.state,
        item.attempt,
        " ".join(item.workers),
        time_text(item.submitted_s),
        item.detail,
    )
