"""Requests that are in progress while a node shuts down."""

import gevent

from heatherhatch_daemon.transport.http import HttpClient, HttpRequest

from .load import CALL_TIMEOUT_S, says_not_run

HELD_REQUESTS = 5  # in progress when a node is ordered to shut down
# Two requests in sequence fit into the classes' target of 1 s. One request takes longer
# than all attempts together, so that the requests of all attempts overlap.
HELD_S = 0.4
HOLD_ATTEMPTS = 3  # a pool that is briefly full refuses requests as not run
ATTEMPT_WAIT_S = 0.1  # a refusal arrives well before this time


def hold_requests(
    client: HttpClient, request: HttpRequest
) -> tuple[list[gevent.Greenlet], list[str]]:
    """Return requests that are in progress, and an error for each unexpected answer.

    A request that was answered before the shutdown began cannot have been interrupted
    by it. Such an answer has to be a success or a refusal as not run; any other one
    is reported as an error.
    """
    held: list[gevent.Greenlet] = []
    errors: list[str] = []
    for _attempt in range(HOLD_ATTEMPTS):
        held += [
            gevent.spawn(client.exchange, request, CALL_TIMEOUT_S)
            for _ in range(HELD_REQUESTS - len(held))
        ]
        gevent.sleep(ATTEMPT_WAIT_S)
        early = [item for item in held if item.ready()]
        held = [item for item in held if not item.ready()]
        errors += [
            f"before the shutdown {outcome(item)}"
            for item in early
            if not is_success(item) and not _is_refused_as_not_run(item)
        ]
        if len(held) == HELD_REQUESTS:
            break
    if not held:
        errors.append("no request could be held")
    return held, errors


def is_success(call: gevent.Greenlet) -> bool:
    """Return whether a call was answered with status 200."""
    return call.successful() and call.value.status == 200


def outcome(call: gevent.Greenlet) -> str:
    """Return the answer or the exception of a call as text for a report."""
    if call.successful():
        return f"{call.value.status} {call.value.body.decode()}"
    return repr(call.exception)


def _is_refused_as_not_run(call: gevent.Greenlet) -> bool:
    return call.successful() and says_not_run(call.value.status, call.value.body)
