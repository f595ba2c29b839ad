"""RFC 9457 problem details made from the table of error kinds."""

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
    """Body of an error answer.

    Attributes:
        type: URN of the error kind.
        title: What the kind means.
        status: HTTP status code.
        detail: What happened this time.
        code: Number of the error kind.
        execution: ``not run`` or ``outcome unknown``.
        retry: When the client may send the request again.
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
    """Return the value of Retry-After in whole seconds, if there is one."""
    if error.answer.retry is not Retry.LATER and error.retry_after_s is None:
        return None
    return str(math.ceil(error.retry_after_s or DEFAULT_RETRY_AFTER_S))


def write_problem(response: falcon.Response, error: HeatherhatchError) -> None:
    """Make an error the answer."""
    problem = problem_of(error)
    response.status = problem.status
    response.content_type = MEDIA.problem
    response.data = encode_json(problem)
    retry_after = retry_after_of(error)
    if retry_after is not None:
        response.set_header("Retry-After", retry_after)


def new_app() -> falcon.App:
    """Return a falcon application whose errors are all problem details."""
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
