"""A request that gets no answer, or a late one, leaves a log line that tells why.

The status of one accepted job was not answered in time, and no line told whether the
request was read, what it waited for, and whether its caller was still there.
"""

import gevent
import pytest
from gevent import socket
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.events import LOG, Event
from heatherhatch_daemon.metrics import METER, Metric
from heatherhatch_daemon.pools import retries
from heatherhatch_daemon.pools.hedged_call import HedgedCall
from heatherhatch_daemon.pools.watched_store import WatchedStore
from heatherhatch_daemon.settings import Address, LimitSettings
from heatherhatch_daemon.transport import request_watch
from heatherhatch_daemon.transport.listener import Listener
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.request_watch import (
    MAX_LINES_PER_S,
    NO_BOUNDS,
    AnswerBounds,
    RequestWatch,
)

HANG_S = 30  # limits a test that hangs; normally nothing takes this long
LINE = "GET /q/j1?x=1 HTTP/1.1"
GET = f"{LINE}\r\nHost: h\r\n\r\n".encode()
TCP_STATE = (socket.IPPROTO_TCP, socket.TCP_INFO, 1)
TCP_FIN_WAIT2 = 5  # the other side knows that this one has closed


class Records:
    """The lines and counts about requests."""

    def __init__(self):
        self.lines = []
        self.counts = []

    def count(self, metric, _amount=1, label=""):
        self.counts.append((metric, label))

    def of(self, event: Event) -> list[dict]:
        return [fields for found, fields in self.lines if found is event]

    def wait_for(self, event: Event) -> dict:
        wait_until(lambda: self.of(event))
        return self.of(event)[0]


@pytest.fixture
def records(monkeypatch) -> Records:
    found = Records()
    monkeypatch.setattr(LOG, "sink", lambda *line: found.lines.append(line))
    monkeypatch.setattr(METER, "sink", found)
    return found


@pytest.fixture
def listen(monkeypatch):
    """Return a function that starts a listener and returns it with a connection."""
    monkeypatch.setattr(request_watch, "CHECK_PERIOD_S", 0.01)
    started = []

    def start(app, bounds=NO_BOUNDS):
        listener = Listener(Address("127.0.0.1", 0), app, LimitSettings(), bounds)
        address = listener.start()
        started.append(listener)
        return listener, socket.create_connection((address.host, address.port), HANG_S)

    yield start
    for listener in started:
        listener.stop(0.0)


@pytest.fixture
def clock(monkeypatch) -> list[float]:
    now = [10.0]
    monkeypatch.setattr(request_watch.time, "monotonic", lambda: now[0])
    return now


def answer(_environ, start_response):
    start_response("200 OK", [("Content-Length", "4")])
    return [b"body"]


def wait_until(condition) -> None:
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.005)


class HalfDeafStore(MemoryStore):
    """A store that does not answer the first read and holds the second."""

    def __init__(self):
        super().__init__(lambda: 0.0)
        self.released = Signal()
        self.errors = [StoreError("no answer")]

    def get(self, key):
        if self.errors:
            raise self.errors.pop()
        HedgedCall(None, self)._send_hedge()
        self.released.wait()
        return super().get(key)

    def count(self, _outcome, _amount):
        """Ignore the hedge, as the context of hedged calls."""


def test_a_request_is_logged_while_it_waits_and_when_it_is_answered(
    listen, records, monkeypatch
):
    store = HalfDeafStore()
    watched = WatchedStore(store)
    monkeypatch.setattr(retries, "sleep", lambda _pause_s: None)
    # The hedge itself is not sent.
    monkeypatch.setattr(HedgedCall, "_hedge", lambda _call: None)

    def read(environ, start_response):
        retries.call_with_retries(lambda: watched.get("s/j1"), lambda: 0.0, "s/j1")
        return answer(environ, start_response)

    listener, sock = listen(read, AnswerBounds(slow_s=0.0, open_s=0.0))
    sock.sendall(GET)
    line = records.wait_for(Event.CALL_OPEN)
    assert (line["stage"], line["subject"]) == ("store read", "s/j1")
    listener.watch.check()
    assert len(records.of(Event.CALL_OPEN)) == 1
    store.released.set()
    line = records.wait_for(Event.CALL_SLOW)
    assert (line["method"], line["path"], line["status"]) == ("GET", "/q/j1", "200")
    stages = {"head", "other", "store read", "retry pause", "answer"}
    assert set(line["stages_ms"]) == stages
    assert (line["attempts"], line["hedges"]) == (2, 1)
    assert [(key, error[-9:]) for key, _ms, error in line["store_calls"]] == [
        ("s/j1", "no answer"),
        ("s/j1", ""),
    ]
    counted = [metric for metric, _label in records.counts]
    assert counted == [Metric.OPEN_CALLS, Metric.SLOW_CALLS]


def test_lines_are_limited_and_the_left_out_ones_counted(records, clock):
    watch = RequestWatch(AnswerBounds(open_s=0.0), ())
    for number in range(MAX_LINES_PER_S + 5):
        watch.begin(f"GET /q/{number} HTTP/1.1")
    watch.check()
    assert len(records.of(Event.CALL_OPEN)) == MAX_LINES_PER_S
    assert len(records.counts) == MAX_LINES_PER_S + 5
    clock[0] += 1.0
    watch.begin(LINE)
    watch.check()
    assert records.of(Event.CALL_OPEN)[-1]["skipped"] == 5


def test_a_stall_of_the_process_is_part_of_the_line(records, clock):
    watch = RequestWatch(AnswerBounds(slow_s=1.0), ())
    watch.due_s = 11.0
    trace = watch.begin(LINE)
    clock[0] = 14.0
    watch.end(trace, "200", None)
    line = records.of(Event.CALL_SLOW)[0]
    assert (line["took_s"], line["stalled_s"]) == (4.0, 3.0)


@pytest.mark.parametrize("fails", [False, True])
def test_an_answer_to_a_caller_that_has_left_is_logged(listen, records, fails):
    has_left = Signal()

    def wait(environ, start_response):
        has_left.wait()
        yield from answer(environ, start_response)
        if fails:
            raise BrokenPipeError("the peer has closed")

    listener, sock = listen(wait)
    sock.sendall(GET)
    wait_until(lambda: listener.watch.open)
    sock.shutdown(socket.SHUT_WR)
    wait_until(lambda: sock.getsockopt(*TCP_STATE)[0] == TCP_FIN_WAIT2)
    has_left.set()
    assert "had closed" in records.wait_for(Event.CALL_UNANSWERED)["why"]
    assert records.counts == [(Metric.UNANSWERED_CALLS, "caller_left")]


@pytest.mark.parametrize("error", [OSError("broken"), ValueError("broken")])
@pytest.mark.parametrize(("part", "why"), [(b"half", "in part"), (b"", "not written")])
def test_an_answer_that_an_error_ends_is_logged(listen, records, error, part, why):
    def fail(_environ, start_response):
        start_response("200 OK", [("Content-Length", "8")])
        yield part
        raise error

    sock = listen(fail)[1]
    sock.sendall(GET)
    if part or isinstance(error, OSError):
        line = records.wait_for(Event.CALL_UNANSWERED)
        assert (why in line["why"], "broken" in line["error"]) == (True, True)
    else:
        # This one is answered with 500.
        assert "broken" in records.wait_for(Event.REQUEST_FAILED)["error"]
        assert records.of(Event.CALL_UNANSWERED) == []


def test_a_request_whose_greenlet_is_killed_is_logged(listen, records):
    listener, sock = listen(answer)
    sock.sendall(GET[:-2])
    wait_until(lambda: listener.watch.open)
    listener.pool.kill()
    line = records.wait_for(Event.CALL_UNANSWERED)
    assert ("greenlet" in line["why"], line["stage"]) == (True, "head")


def test_requests_that_are_open_as_the_process_stops_are_logged_once(records):
    watch = RequestWatch(NO_BOUNDS, ())
    trace = watch.begin(LINE)
    watch.stop()
    watch.end(trace, "200", None)
    paths = [line["path"] for line in records.of(Event.CALL_UNANSWERED)]
    assert paths == ["/q/j1"]


def test_a_head_that_cannot_be_read_is_logged_as_refused(listen, records):
    sock = listen(answer)[1]
    sock.sendall(GET[:-2] + b"Content-Length: +4\r\n\r\n")
    line = records.wait_for(Event.CALL_REFUSED)
    assert (line["path"], line["status"]) == ("/q/j1", 400)


def test_an_answer_in_time_and_the_close_of_its_connection_are_not_logged(
    listen, records
):
    listener, sock = listen(answer)
    sock.sendall(GET)
    wait_until(lambda: listener.idle_handlers)
    sock.close()
    wait_until(lambda: not len(listener.pool))
    assert records.lines == []


# Guards against a log that takes a caller that only half-closes for one that has left.
def test_a_caller_that_has_ended_its_direction_and_reads_is_not_lost(records, listen):
    def app(environ, start_response):
        gevent.sleep(0.1)
        return answer(environ, start_response)

    _listener, caller = listen(app)
    caller.sendall(GET)
    caller.shutdown(socket.SHUT_WR)
    received = b""
    with gevent.Timeout(HANG_S):
        while data := caller.recv(4096):
            received += data
    gevent.sleep(0.05)
    assert received.endswith(b"body")
    assert not records.of(Event.CALL_UNANSWERED)
