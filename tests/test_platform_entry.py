"""The callers' side over HTTP: every call gets one answer that is true."""

import json

import gevent
import pytest

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.work import JobStatus, Phase
from heatherhatch_platform.entry import EntryApp, ReadyApp


class FakeIntake:
    """An intake that does what a test says."""

    def __init__(self):
        self.act = lambda: None

    def submit(self, *_args):
        return self.act()

    cancel = submit

    def status(self, *_args):
        self.act()
        return JobStatus(Phase.RUNNING, "p", "q")

    def waiting(self, *_args):
        self.act()
        return 3


@pytest.fixture
def intake() -> FakeIntake:
    return FakeIntake()


def call(intake, method="GET", path="/q/1", body=b"", **headers):
    answer = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": "h:80",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": Body(body),
        **headers,
    }
    data = b"".join(
        EntryApp(intake)(environ, lambda status, found: answer.append((status, found)))
    )
    status, found = answer[0]
    return int(status.split()[0]), dict(found), json.loads(data)


class Body:
    """A request body."""

    def __init__(self, data):
        self.data = data

    def read(self, size):
        return self.data[:size]


def test_states_and_counts_are_told(intake):
    assert call(intake)[2] == {"state": "running"}
    assert call(intake, path="/q/")[2] == {"numWaiting": 3}


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        (ErrorKind.NOT_FOUND, 404),
        (ErrorKind.NO_SUCH_JOB, 410),
        (ErrorKind.UNAUTHENTICATED, 401),
        (ErrorKind.STORE_UNAVAILABLE, 503),
        (ErrorKind.CHANGE_UNKNOWN, 504),
    ],
)
def test_each_error_has_its_answer(intake, kind, status):
    def fail():
        raise HeatherhatchError(kind, "why")

    intake.act = fail
    found, headers, _body = call(intake)
    assert found == status
    assert ("Retry-After" in headers) == (status == 503)


def test_a_call_is_answered_before_its_deadline(intake):
    intake.act = lambda: gevent.sleep(30)
    assert call(intake, HTTP_DEADLINE_MS="200")[0] == 504


def test_a_call_that_the_end_of_the_node_cuts_is_answered_as_unknown(intake):
    intake.act = lambda: gevent.sleep(30)
    greenlet = gevent.spawn(call, intake)
    gevent.sleep(0.01)
    greenlet.kill(block=False)
    assert greenlet.get(timeout=30)[0] == 504


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"steps": 5}', b"\xff"])
def test_a_body_that_is_no_job_is_refused(intake, body):
    assert call(intake, "POST", body=body)[0] == 400


def test_a_fault_of_ours_is_told_as_such(intake):
    intake.act = lambda: 1 / 0
    assert call(intake)[0] == 500


def test_readiness_is_told_by_the_status():
    seen = []
    for ready in (True, False):
        ReadyApp(lambda ready=ready: ready)({}, lambda line, _rest: seen.append(line))
    assert [line[:3] for line in seen] == ["200", "503"]
