"""The length of a request body is stated once, or the connection is closed.

Two recipients that disagree about where a body ends take different bytes for the next
request, so one caller could place a request on the connection of another.
"""

import json

import gevent
import pytest
from gevent import socket

from heatherhatch_daemon.pools.serving import StoreView
from heatherhatch_daemon.settings import Address, LimitSettings
from heatherhatch_daemon.transport.listener import Listener
from heatherhatch_daemon.transport.request_stream import (
    BUFFER_BYTES,
    YIELD_BYTES,
    RequestStream,
)
from heatherhatch_platform import entry

TIMEOUT_S = 5.0
VIEW = StoreView(0.1, 0.2, 0.3, 0.0, 0.0, 7)
BODY = b'{"spec": "run", "steps": [{"count": 2}]}'
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class RecordingIntake:
    """An intake that records the submitted jobs."""

    def __init__(self):
        self.jobs = []

    def submit(self, _host, path, _key, payload, steps, _schedule):
        self.jobs.append((path, payload, steps[0].count))


@pytest.fixture
def intake():
    return RecordingIntake()


@pytest.fixture
def address(intake):
    app = entry.EntryApp(intake, lambda: VIEW)
    listener = Listener(Address("127.0.0.1", 0), app, LimitSettings())
    yield listener.start()
    listener.stop(TIMEOUT_S)


def exchange(address, head: bytes, body: bytes) -> tuple[int, bytes]:
    """Send one request; return the status and all that follows until a close."""
    with socket.create_connection((address.host, address.port), TIMEOUT_S) as sock:
        sock.settimeout(TIMEOUT_S)
        sock.sendall(b"POST /q/1 HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n" + body)
        data = b""
        while chunk := sock.recv(65_536):
            data += chunk
    return int(data.split()[1]), data


def in_chunks(data: bytes) -> bytes:
    parts = (data[:7], data[7:])
    return (
        b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    )


def test_a_chunked_body_is_read(address, intake):
    head = CHUNKED + b"Connection: close\r\n"
    assert exchange(address, head, in_chunks(BODY))[0] == 200
    assert intake.jobs == [("/q/1", "run", 2)]


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 40\r\nContent-Length: 5\r\n",
        b"Content-Length: 40\r\nContent-Length: 40\r\n",
        b"Content-Length: 40\r\n" + CHUNKED,
        b"Content-Length: +40\r\n",
        b"Content-Length: 4_0\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        CHUNKED + CHUNKED,
    ],
)
def test_an_ambiguous_length_is_refused_and_the_connection_closed(
    address, intake, head
):
    # exchange() returns because the listener closes the connection.
    assert exchange(address, head, BODY)[0] == 400
    assert intake.jobs == []


# Guards against a chunk without a size that is logged as an error of the instance.
@pytest.mark.parametrize("size", [b"zz", b""], ids=["not a number", "empty"])
def test_malformed_chunks_are_refused(address, intake, size):
    head = CHUNKED + b"Connection: close\r\n"
    status, data = exchange(address, head, size + b"\r\n" + BODY + b"\r\n0\r\n\r\n")
    assert status == 400
    assert "chunks" in json.loads(data.split(b"\r\n\r\n")[1])["error"]
    assert intake.jobs == []


def test_a_chunked_body_that_is_too_large_is_refused(address, intake, monkeypatch):
    monkeypatch.setattr(entry, "MAX_BODY_BYTES", 20)
    head = CHUNKED + b"Connection: close\r\n"
    assert exchange(address, head, in_chunks(BODY))[0] == 413
    assert intake.jobs == []


# Guards against a connection that is reset before the caller has read its refusal.
@pytest.mark.parametrize(
    "head", [b"Content-Length: 600000\r\n", CHUNKED], ids=["announced", "chunks"]
)
def test_a_refusal_arrives_although_the_body_is_sent_on(address, intake, head):
    body = b"%x\r\n%s" % (600_000, b"x" * 600_000)
    status, data = exchange(address, head, body)
    assert status == 413
    assert b"\r\nConnection: close\r\n" in data
    assert intake.jobs == []


@pytest.fixture
def ticks():
    """Return a list that grows by a timer of a millisecond."""
    seen = []

    def run():
        while True:
            gevent.sleep(0.001)
            seen.append(None)

    timer = gevent.spawn(run)
    yield seen
    timer.kill()


# Guards against a sender that keeps the timers and all other connections from running.
def test_timers_run_while_a_connection_always_has_data(ticks):
    class Sender:
        def recv_into(self, buffer):
            return len(buffer)

    stream = RequestStream(Sender())
    for _ in range(6 * YIELD_BYTES // BUFFER_BYTES):
        stream.readinto(bytearray(BUFFER_BYTES))
    assert len(ticks) >= 2


def test_timers_run_between_requests_that_arrive_together(address, intake, ticks):
    seen = []
    intake.submit = lambda *_args: seen.append(len(ticks))
    head = b"POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n"
    requests = (head + b"\r\n" + BODY) * 20 + head + b"Connection: close\r\n\r\n" + BODY
    with socket.create_connection((address.host, address.port), TIMEOUT_S) as sock:
        sock.sendall(requests)
        while sock.recv(65_536):
            pass
    assert len(seen) == 21
    assert seen[-1] - seen[0] >= 10
