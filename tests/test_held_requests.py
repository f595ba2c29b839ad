"""What the demo holds under way while a node ends, and what it passes over."""

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_daemon.protocol.problems import problem_of
from heatherhatch_daemon.transport.http import HttpAnswer, HttpRequest
from heatherhatch_standins import held_requests
from heatherhatch_standins.held_requests import HELD_REQUESTS, hold

REQUEST = HttpRequest("POST", "/run/stock/demo")


class Client:
    """Answers the first calls as scripted, and holds the others."""

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
def quick(monkeypatch):
    monkeypatch.setattr(held_requests, "TRY_S", 0.005)


def ended(client, held):
    client.done.set()
    gevent.joinall(held)
    return all(held_requests.ok(item) for item in held)


def test_a_refusal_of_a_full_pool_is_asked_again():
    full = refusal(ErrorKind.DEADLINE_UNREACHABLE)
    client = Client(full, full)
    held, found = hold(client, REQUEST)
    assert (len(held), found) == (HELD_REQUESTS, [])
    assert ended(client, held)


def test_any_other_early_answer_is_wrong():
    client = Client(refusal(ErrorKind.CHANGE_UNKNOWN))
    held, found = hold(client, REQUEST)
    assert len(found) == 1
    assert ended(client, held)


def test_it_is_wrong_if_nothing_can_be_held():
    full = refusal(ErrorKind.DEADLINE_UNREACHABLE)
    held, found = hold(Client(*[full] * 100), REQUEST)
    assert (held, found) == ([], ["no request could be held"])
