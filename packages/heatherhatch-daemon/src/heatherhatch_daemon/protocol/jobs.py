"""Long jobs in the HTTP APIs for callers and operators."""

import falcon

from heatherhatch_core.api import (
    CancelAnswer,
    CancelRequest,
    JobAnswer,
    JobFilter,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.entities import Role
from heatherhatch_core.state.jobs import JobSpec, JobState

from ..tasks.job_service import JobService
from .bodies import bearer_token, read_message, write_message

MAX_CANCEL_IDS = 10_000
MAX_LISTED_JOBS = 10_000


def add_caller_routes(
    app: falcon.App, job_service: JobService, body_bytes: int
) -> None:
    """Add the routes that submitters of jobs use."""
    jobs = JobsResource(job_service, body_bytes)
    app.add_route("/jobs", jobs)
    app.add_route("/jobs/cancel", jobs, suffix="cancel")
    app.add_route("/jobs/{job_id}", jobs, suffix="one")


class JobsResource:
    """Accepts, shows and cancels the jobs of a team."""

    def __init__(self, job_service: JobService, body_bytes: int):
        self.job_service = job_service
        self.body_bytes = body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept and record one job."""
        spec = read_message(request, JobSpec, self.body_bytes)
        key = request.get_header("Idempotency-Key") or ""
        job = self.job_service.submit(bearer_token(request), spec, key)
        response.status = falcon.HTTP_201
        write_message(response, JobAnswer(job.job_id))

    def on_get_one(
        self, request: falcon.Request, response: falcon.Response, job_id: str
    ) -> None:
        """Show one job."""
        write_message(response, self.job_service.show(bearer_token(request), job_id))

    def on_delete_one(
        self, request: falcon.Request, response: falcon.Response, job_id: str
    ) -> None:
        """Cancel one job."""
        count = self.job_service.cancel(bearer_token(request), (job_id,))
        write_message(response, CancelAnswer(count))

    def on_post_cancel(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Cancel many jobs by their ids."""
        cancel_request = read_message(request, CancelRequest, self.body_bytes)
        if len(cancel_request.job_ids) > MAX_CANCEL_IDS:
            detail = f"more than {MAX_CANCEL_IDS} job ids"
            raise HeatherhatchError(ErrorKind.TOO_LARGE, detail)
        count = self.job_service.cancel(bearer_token(request), cancel_request.job_ids)
        write_message(response, CancelAnswer(count))


class OperatorJobsResource:
    """Lists and cancels the jobs of all teams.

    Args:
        job_service: Accepts, lists and cancels long jobs.
        authorize: Checks that the key of a request has a role.
        body_bytes: Maximum size of a request body, bytes.
    """

    def __init__(self, job_service: JobService, authorize, body_bytes: int):
        self.job_service = job_service
        self.authorize = authorize
        self.body_bytes = body_bytes

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the jobs that match the query parameters."""
        self.authorize(request, Role.VIEWER)
        write_message(response, self.job_service.list_jobs(_parse_filter(request)))

    def on_post_cancel(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Cancel every job that matches a filter and has not ended."""
        self.authorize(request, Role.OPERATOR)
        job_filter = read_message(request, JobFilter, self.body_bytes)
        write_message(
            response, CancelAnswer(self.job_service.cancel_matching(job_filter))
        )


def _parse_filter(request: falcon.Request) -> JobFilter:
    state = request.get_param("state")
    try:
        job_state = JobState(state) if state else None
    except ValueError as error:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, f"unknown job state {state!r}"
        ) from error
    limit = request.get_param_as_int("limit", min_value=1, max_value=MAX_LISTED_JOBS)
    return JobFilter(
        team=request.get_param("team", default=""),
        work_class=request.get_param("class", default=""),
        worker_id=request.get_param("worker", default=""),
        state=job_state,
        after=request.get_param("after", default=""),
        limit=limit or MAX_LISTED_JOBS,
    )
