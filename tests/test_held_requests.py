"""Requests that the demo keeps running while a node shuts down.

A refusal by a full pool is retried. Any other early response is an error.
"""

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_daemon.protocol.problems import problem_of
from heatherhatch_daemon.transport.http import HttpAnswer, HttpRequest
from heatherhatch_standins import held_requests
from heatherhatch_standins.held_requests import HELD_REQUESTS, hold_requests

REQUEST = HttpRequest("POST", "/run/stock/demo")


class ScriptedClient:
    """Returns scripted responses to the first calls and blocks the others."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.done = Signal()

    def exchange(self, _request, _timeout_s):
        if self.answers:
            return self.answers.pop(0)
        self.done.wait()
        return HttpAnswer(200, (), b"")


def refusal(kind: ErrorKind) -> HttpAnswer:
    body = encode_json(problem_of(HeatherhatchError(kind)))
    return HttpAnswer(503, (), body)


@pytest.fixture(autouse=True)
def short_retry_interval(monkeypatch):
    monkeypatch.setattr(held_requests, "ATTEMPT_WAIT_S", 0.005)


def all_succeed(client, held):
    client.done.set()
    gevent.joinall(held)
    return all(held_requests.is_success(item) for item in held)


def test_held_requests_are_retried_when_the_pool_is_full():
    full_pool_refusal = refusal(ErrorKind.DEADLINE_UNREACHABLE)
    client = ScriptedClient(full_pool_refusal, full_pool_refusal)
    held, errors = hold_requests(client, REQUEST)
    assert (len(held), errors) == (HELD_REQUESTS, [])
    assert all_succeed(client, held)


def test_held_requests_report_any_other_early_response():
    client = ScriptedClient(refusal(ErrorKind.CHANGE_UNKNOWN))
    held, errors = hold_requests(client, REQUEST)
    assert len(errors) == 1
    assert all_succeed(client, held)


def test_held_requests_report_an_error_if_none_is_held():
    full_pool_refusal = refusal(ErrorKind.DEADLINE_UNREACHABLE)
    held, errors = hold_requests(ScriptedClient(*[full_pool_refusal] * 100), REQUEST)
    assert (held, errors) == ([], ["no request could be held"])
