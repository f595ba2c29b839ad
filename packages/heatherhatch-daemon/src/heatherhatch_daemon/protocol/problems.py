"""RFC 9457 problem details built from the table of error kinds."""

import math
from dataclasses import dataclass

import falcon

from heatherhatch_core.codec import MEDIA, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, Retry

from ..events import Event, log

PROBLEM_TYPE_PREFIX = "urn:heatherhatch:error:"
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Problem:
    """Body of an error response.

    Attributes:
        type: URN of the error kind.
        title: Summary of the error kind.
        status: HTTP status code.
        detail: Description of this occurrence.
        code: Number of the error kind.
        execution: ``not run`` or ``outcome unknown``.
        retry: When the client may retry the request.
    """

    type: str
    title: str
    status: int
    detail: str
    code: int
    execution: str
    retry: str


def problem_of(error: HeatherhatchError) -> Problem:
    """Return the problem details of an error."""
    answer = error.answer
    return Problem(
        type=PROBLEM_TYPE_PREFIX + error.kind.value,
        title=answer.title,
        status=answer.status,
        detail=error.detail,
        code=answer.code,
        execution=answer.execution.value,
        retry=answer.retry.value,
    )


def retry_after_of(error: HeatherhatchError) -> str | None:
    """Return the Retry-After value in whole seconds, or None if there is none."""
    if error.answer.retry is not Retry.LATER and error.retry_after_s is None:
        return None
    return str(math.ceil(error.retry_after_s or DEFAULT_RETRY_AFTER_S))


def write_problem(response: falcon.Response, error: HeatherhatchError) -> None:
    """Write an error to the response as problem details."""
    problem = problem_of(error)
    response.status = problem.status
    response.content_type = MEDIA.problem
    response.data = encode_json(problem)
    retry_after = retry_after_of(error)
    if retry_after is not None:
        response.set_header("Retry-After", retry_after)


def new_app() -> falcon.App:
    """Return a falcon application that answers every error with problem details."""
    app = falcon.App(media_type=MEDIA.json)
    app.add_error_handler(Exception, _on_exception)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_error_handler(HeatherhatchError, _on_error)
    return app


def _on_error(_request, response, error, _params):
    write_problem(response, error)


def _on_http_error(_request, response, error, _params):
    not_found = error.status_code == falcon.HTTP_404[:3]
    kind = ErrorKind.NOT_FOUND if not_found else ErrorKind.BAD_REQUEST
    write_problem(response, HeatherhatchError(kind, error.title or ""))


def _on_exception(_request, response, error, _params):
    log(Event.REQUEST_FAILED, error=repr(error))
    write_problem(response, HeatherhatchError(ErrorKind.INTERNAL))
