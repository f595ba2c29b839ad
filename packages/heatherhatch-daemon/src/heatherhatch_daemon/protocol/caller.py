"""HTTP API for callers: requests, tickets and long jobs."""

import falcon

from heatherhatch_core.api import TicketPage

from ..tasks.gateway import Gateway, Work
from ..tasks.job_service import JobService
from ..transport.http import HttpRequest
from .bodies import bearer_token, read_body, read_timeout_s, write_message
from .jobs import add_caller_routes
from .problems import new_app

# Headers that are not forwarded: they apply to one connection or to this system.
DROPPED_HEADERS = frozenset(
    [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-timeout",
    ]
)


def caller_app(
    gateway: Gateway, job_service: JobService, body_bytes: int
) -> falcon.App:
    """Return the WSGI application that serves callers."""
    app = new_app()
    add_caller_routes(app, job_service, body_bytes)
    app.add_route("/tickets", TicketsResource(gateway))
    app.add_sink(RequestSink(gateway, body_bytes), r"/run/(?P<work_class>[^/]+)")
    return app


class RequestSink:
    """Forwards ``/run/<class>/<path>`` to a backend server as ``/<path>``."""

    def __init__(self, gateway: Gateway, body_bytes: int):
        self.gateway = gateway
        self.body_bytes = body_bytes

    def __call__(self, request: falcon.Request, response: falcon.Response, **params):
        """Forward one request and return its answer."""
        prefix = f"/run/{params['work_class']}"
        path = request.relative_uri[len(prefix) :] or "/"
        headers = tuple(
            (name.title(), value)
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_HEADERS
        )
        work = Work(
            work_class=params["work_class"],
            token=bearer_token(request),
            idempotency_key=request.get_header("Idempotency-Key") or "",
            request=HttpRequest(
                request.method, path, read_body(request, self.body_bytes), headers
            ),
            timeout_s=read_timeout_s(request),
        )
        answer = self.gateway.handle(work)
        response.status = answer.status
        for name, value in answer.headers:
            if name.lower() not in DROPPED_HEADERS:
                response.append_header(name, value)
            elif name.lower() == "content-length" and request.method == "HEAD":
                response.set_header(name, value)
        response.data = answer.body


class TicketsResource:
    """Issues tickets: idempotency keys that do not need the store."""

    def __init__(self, gateway: Gateway):
        self.gateway = gateway

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Issue ``count`` tickets, one by default."""
        count = request.get_param_as_int("count", default=1)
        tickets = self.gateway.issue_tickets(bearer_token(request), count)
        response.status = falcon.HTTP_201
        write_message(response, TicketPage(tickets))
