"""The bodies of all requests together take a bounded share of the memory."""

import contextlib
import json

import gevent
import pytest
from gevent import socket
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_daemon.pools.serving import StoreView
from heatherhatch_daemon.settings import Address, LimitSettings
from heatherhatch_daemon.transport.body_memory import (
    FREE_BYTES,
    FREE_HEAD_BYTES,
    HEAD_FACTOR,
    BodyMemory,
)
from heatherhatch_daemon.transport.listener import RECEIVE_BUFFER_BYTES, Listener
from heatherhatch_platform.entry import EntryApp
from hostile_crowd import unread_bytes

TIMEOUT_S = 5.0
LARGE_BYTES = 65_536
VIEW = StoreView(0.1, 0.2, 0.3, 0.0, 0.0, 7)


class AcceptingIntake:
    """An intake that accepts every job."""

    def submit(self, *_args):
        pass


@pytest.fixture
def memory():
    return BodyMemory(LARGE_BYTES)


@pytest.fixture
def listener(memory):
    app = EntryApp(AcceptingIntake(), lambda: VIEW)
    running = Listener(
        Address("127.0.0.1", 0), app, LimitSettings(), body_memory=memory
    )
    running.start()
    yield running
    running.stop(0.0)


@pytest.fixture
def address(listener):
    return Address(*listener.server.address)


@pytest.fixture
def connect(address):
    sockets = []

    def open_connection() -> socket.socket:
        sock = socket.create_connection((address.host, address.port), TIMEOUT_S)
        sockets.append(sock)
        return sock

    yield open_connection
    for sock in sockets:
        sock.close()


def job(size: int) -> bytes:
    """Return the request of a job whose body has a size."""
    body = json.dumps({"spec": "run", "steps": [{"count": 2}]}).encode().ljust(size)
    return b"POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def hold(connect, memory, size):
    """Send a job but for its last byte; return the connection once it was read."""
    sock = connect()
    sock.sendall(job(size)[:-1])
    sock.settimeout(TIMEOUT_S)
    with gevent.Timeout(TIMEOUT_S):
        while memory.taken_bytes < size - FREE_BYTES:
            gevent.sleep(0.01)
    return sock


# Guards against large bodies that keep out callers with ordinary ones.
def test_an_ordinary_body_needs_none_of_the_memory_for_large_ones(connect, memory):
    hold(connect, memory, LARGE_BYTES)
    sock = connect()
    sock.sendall(job(FREE_BYTES))
    assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_a_body_without_memory_is_refused_as_not_run_until_another_one_ends(
    connect, memory
):
    first = hold(connect, memory, LARGE_BYTES)
    second = connect()
    second.sendall(job(LARGE_BYTES))
    answer = second.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1\r\n" in answer
    first.sendall(b" ")
    assert first.recv(65_536).startswith(b"HTTP/1.1 200 ")
    third = connect()
    third.sendall(job(LARGE_BYTES))
    assert third.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_the_memory_of_a_caller_that_leaves_is_returned(connect, memory):
    hold(connect, memory, LARGE_BYTES).close()
    with gevent.Timeout(TIMEOUT_S):
        while memory.taken_bytes:
            gevent.sleep(0.01)


# Guards against an error of the instance for each caller whose connection stalls.
def test_a_body_that_stalls_is_answered_as_unknown(listener, connect, memory):
    listener.limits = LimitSettings(idle_s=0.1)
    sock = hold(connect, memory, LARGE_BYTES)
    assert sock.recv(65_536).startswith(b"HTTP/1.1 504 ")


# Guards against the memory of a body that is kept while its rest is dropped.
def test_the_memory_of_a_body_is_returned_with_the_answer(listener, connect, memory):
    listener.limits = LimitSettings(idle_s=0.1)
    sock = hold(connect, memory, LARGE_BYTES)
    sock.recv(65_536)
    assert memory.taken_bytes == 0


# Guards against the rest of a body that is taken for the next request, or the reverse:
# a read that ends with an error loses what it had received.
def test_the_connection_of_a_body_that_stalled_is_closed(listener, connect, memory):
    listener.limits = LimitSettings(idle_s=0.1)
    sock = hold(connect, memory, FREE_BYTES)
    answer = b""
    while piece := sock.recv(65_536):
        answer += piece
    assert b"\r\nConnection: close\r\n" in answer


# Guards against unread bytes, sent on while a request is served, that fill the memory.
def test_a_connection_takes_little_that_is_not_read(address, connect, monkeypatch):
    is_served = Signal()
    monkeypatch.setattr(AcceptingIntake, "submit", lambda *_args: is_served.wait())
    sock = connect()
    sock.sendall(job(100))
    sock.settimeout(0.2)
    with contextlib.suppress(TimeoutError):
        sock.sendall(b"x" * 1_000_000)
    unread = unread_bytes(address.port)
    is_served.set()
    assert 0 < unread <= 2 * RECEIVE_BUFFER_BYTES  # the kernel doubles it


def test_what_a_request_has_is_taken_once():
    memory = BodyMemory(100)
    charge = memory.charge()
    charge.reserve(FREE_BYTES)
    assert memory.taken_bytes == 0
    charge.reserve(FREE_BYTES + 60)
    charge.reserve(FREE_BYTES + 60)
    assert memory.taken_bytes == 60
    with pytest.raises(HeatherhatchError) as raised:
        memory.charge().reserve(FREE_BYTES + 41)
    assert raised.value.kind is ErrorKind.MEMORY_LIMIT
    charge.release()
    assert memory.taken_bytes == 0


# Guards against long heads that are kept while bodies or answers are awaited.
def test_a_head_takes_memory_beyond_an_ordinary_size():
    memory = BodyMemory(1_000)
    memory.charge(FREE_HEAD_BYTES).reserve(FREE_BYTES)
    assert memory.taken_bytes == 0
    memory.charge(FREE_HEAD_BYTES + 100).reserve(0)
    assert memory.taken_bytes == 100 * HEAD_FACTOR
    with pytest.raises(HeatherhatchError):
        memory.charge(FREE_HEAD_BYTES + 101).reserve(0)
