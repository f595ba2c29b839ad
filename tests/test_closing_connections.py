"""A connection that closes loses no request, and no part of one is answered."""

import pytest
from gevent import socket

from heatherhatch_daemon.settings import Address, LimitSettings
from heatherhatch_daemon.transport.listener import Listener

TIMEOUT_S = 5.0
REQUEST = b"GET /q/job1 HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def paths():
    """Return the paths of the requests that the application received."""
    return []


@pytest.fixture
def listener(paths):
    def app(environ, start_response):
        paths.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    listener = Listener(Address("127.0.0.1", 0), app, LimitSettings())
    listener.start()
    yield listener
    listener.stop(TIMEOUT_S)


@pytest.fixture
def connection(listener):
    host, port = listener.server.address
    with socket.create_connection((host, port), TIMEOUT_S) as sock:
        yield sock


def read_until(sock, end: bytes) -> bytes:
    data = b""
    while not data.endswith(end) and (block := sock.recv(65_536)):
        data += block
    return data


# Guards against a connection that is closed without an answer while the instance
# shuts down and the balancer still uses it.
def test_a_request_that_arrives_as_its_connection_closes_is_answered(
    listener, connection
):
    connection.sendall(REQUEST)
    assert read_until(connection, b"ok")
    (handler,) = listener.idle_handlers
    handler.close_if_idle()
    connection.sendall(REQUEST)
    assert read_until(connection, b"ok").startswith(b"HTTP/1.1 200")


# Guards against an answer about another job, whose identifier is a part of the one
# that was sent.
def test_a_request_line_that_is_cut_off_is_not_run(connection, paths):
    connection.sendall(REQUEST[:9])
    connection.shutdown(socket.SHUT_WR)
    answer = read_until(connection, b"ok")
    assert paths == []
    assert not answer or answer.startswith(b"HTTP/1.1 400")


# Guards against a request that is run with a part of its key, or without its body.
def test_a_request_head_that_is_cut_off_is_not_run(connection, paths):
    connection.sendall(REQUEST[:-6])
    connection.shutdown(socket.SHUT_WR)
    assert read_until(connection, b"ok") == b""
    assert paths == []


@pytest.mark.parametrize("line", [b"GET /q/job1", b"GET /q/job1 HTTP/0.9"])
def test_a_request_of_http_0_9_is_refused(connection, paths, line):
    connection.sendall(line + b"\r\n\r\n")
    answer = read_until(connection, b"ok")
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"Connection: close" in answer
    assert paths == []
