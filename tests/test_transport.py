"""Exchanges and listeners over loopback sockets."""

import time

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from gevent.socket import wait_read

from heatherhatch_core.exceptions import ErrorKind
from heatherhatch_daemon.protocol.bodies import read_body
from heatherhatch_daemon.protocol.problems import new_app
from heatherhatch_daemon.settings import Address, LimitSettings
from heatherhatch_daemon.transport import listener as listener_module
from heatherhatch_daemon.transport.http import ExchangeError, HttpClient, HttpRequest
from heatherhatch_daemon.transport.listener import Listener

LOOPBACK = Address("127.0.0.1", 0)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


@pytest.fixture
def scripted():
    """Return a maker of servers that answer connection n with script n."""
    servers = []

    def make(*scripts):
        accepted = []

        def handle(sock, _address):
            accepted.append(sock)
            script = scripts[min(len(accepted), len(scripts)) - 1]
            while sock.recv(65_536):
                if script is None:
                    gevent.sleep(60)
                sock.sendall(script)
                if not script.endswith(WHOLE):
                    return

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        client = HttpClient(Address("127.0.0.1", server.server_port), 4, 1.0)
        return client, accepted

    yield make
    for server in servers:
        server.stop(timeout=0)


def exchange(client, method="POST", timeout_s=5.0):
    return client.exchange(HttpRequest(method, "/", b"ask"), timeout_s)


@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"nonsense",
    ],
)
def test_exchange_never_passes_a_cut_answer_as_whole(scripted, cut):
    client, _ = scripted(cut)
    with pytest.raises(ExchangeError) as caught:
        exchange(client)
    assert caught.value.kind is ErrorKind.PARTIAL_ANSWER
    assert caught.value.sent


def test_exchange_returns_whole_answers_of_each_form(scripted):
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    )
    assert exchange(scripted(chunked)[0]).body == b"body"
    assert exchange(scripted(b"HTTP/1.1 204 None\r\n\r\n")[0]).body == b""
    head = exchange(
        scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")[0], "HEAD"
    )
    assert (head.body, head.headers) == (b"", (("Content-Length", "4"),))


def test_exchange_never_reuses_a_connection_that_went_silent(scripted):
    client, accepted = scripted(None, WHOLE)
    with pytest.raises(ExchangeError) as caught:
        exchange(client, timeout_s=0.05)
    assert (caught.value.kind, caught.value.sent) == (ErrorKind.BACKEND_TIMEOUT, True)
    assert exchange(client).body == b"body"
    assert len(accepted) == 2


def test_exchange_checks_an_idle_connection_before_it_is_reused(scripted):
    client, accepted = scripted(WHOLE)
    exchange(client)
    exchange(client)
    assert len(accepted) == 1
    accepted[0].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
    (idle,) = client.pool.idle_since_s
    # A busy system may deliver late, and the case is about what has arrived.
    wait_read(idle.fileno())
    assert exchange(client).body == b"body"
    assert len(accepted) == 2


def test_exchange_says_unsent_only_when_nothing_left():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = Address(*closed.getsockname())
        with pytest.raises(ExchangeError) as caught:
            exchange(HttpClient(address, 1, 1.0))
    assert (caught.value.kind, caught.value.sent) == (ErrorKind.BACKEND_FAILED, False)


@pytest.fixture
def listening():
    """Return a maker of started listeners with a small head and a short wait."""
    started = []

    def make(app):
        limits = LimitSettings(header_bytes=300, idle_s=0.2)
        listener = Listener(LOOPBACK, app, limits)
        address = listener.start()
        started.append(listener)
        return listener, socket.create_connection((address.host, address.port))

    yield make
    for listener in started:
        listener.server.stop(timeout=0)


def read_all(sock):
    sock.settimeout(5.0)
    return b"".join(iter(lambda: sock.recv(65_536), b""))


def read_until(sock, end):
    data = b""
    while not data.endswith(end):
        data += sock.recv(65_536)
    return data


def plain_app(_environ, start_response):
    start_response("200 OK", [("Content-Length", "4")])
    return [b"body"]


def test_listener_answers_a_head_that_is_too_large(listening):
    _, sock = listening(plain_app)
    sock.sendall(b"GET / HTTP/1.1\r\nX: " + b"x" * 400 + b"\r\n\r\n")
    assert read_all(sock).startswith(b"HTTP/1.1 400")


def test_listener_ends_a_head_that_drips(listening):
    _, sock = listening(plain_app)
    sock.sendall(b"GET / HTTP/1.1\r\n")

    def drip():
        for _ in range(100):
            sock.sendall(b"X")
            gevent.sleep(0.05)

    dripping = gevent.spawn(drip)
    begun = time.monotonic()
    assert read_all(sock).startswith(b"HTTP/1.1 400")
    assert time.monotonic() - begun < 4.0
    dripping.kill()


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 9\r\n\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\nnonsense\r\n",
    ],
)
def test_listener_says_not_run_to_a_body_that_does_not_end(listening, body):
    executed = []

    class Resource:
        def on_post(self, request, _response):
            executed.append(read_body(request, 100))

    app = new_app()
    app.add_route("/", Resource())
    _, sock = listening(app)
    sock.sendall(b"POST / HTTP/1.1\r\n" + body)
    answer = read_all(sock)
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"not run" in answer
    assert executed == []


def test_listener_passes_chunked_bodies_on_whole(listening):
    executed = []

    class Resource:
        def on_post(self, request, _response):
            executed.append(read_body(request, 100))

    app = new_app()
    app.add_route("/", Resource())
    _, sock = listening(app)
    head = b"POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    sock.sendall(head + b"4\r\nhalf\r\n4\r\nmore\r\n0\r\n\r\n")
    read_all(sock)
    assert executed == [b"halfmore"]


def test_listener_stop_waits_until_a_slow_body_is_written(listening):
    def slow_app(_environ, start_response):
        start_response("200 OK", [("Content-Length", "8")])
        yield b"half"
        gevent.sleep(0.3)
        yield b"done"

    listener, sock = listening(slow_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    read_until(sock, b"half")
    assert listener.stop(grace_s=5.0)
    assert read_all(sock) == b"done"


def test_listener_serves_idle_connections_and_newcomers_while_it_lingers(listening):
    listener, sock = listening(plain_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    assert b"Connection: close" not in read_until(sock, b"body")
    stopping = gevent.spawn(listener.stop, 5.0, 0.1)
    gevent.sleep(0.01)
    newcomer = socket.create_connection(sock.getpeername())
    for client in (sock, newcomer):
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
        answer = read_all(client)
        assert b"Connection: close" in answer
        assert answer.endswith(b"body")
    assert stopping.get()


def test_listener_answers_what_an_idle_connection_sent_before_the_close(
    listening, monkeypatch
):
    def slow_app(_environ, start_response):
        gevent.sleep(0.3)
        start_response("200 OK", [("Content-Length", "4")])
        return [b"body"]

    listener, sock = listening(slow_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    read_until(sock, b"body")
    take_all = listener_module._take_all

    def send_last(descriptor):
        # The request lies in the kernel's buffer; its greenlet has not run yet.
        sock.send(b"GET / HTTP/1.1\r\n\r\n")
        return take_all(descriptor)

    monkeypatch.setattr(listener_module, "_take_all", send_last)
    assert listener.stop(grace_s=5.0)
    answer = read_all(sock)
    assert b"Connection: close" in answer
    assert answer.endswith(b"body")


def test_listener_waits_for_the_first_request_of_a_new_connection(listening):
    listener, sock = listening(plain_app)
    stopping = gevent.spawn(listener.stop, 5.0)
    gevent.sleep(0.1)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    assert read_all(sock).endswith(b"body")
    assert stopping.get()


def test_listener_says_when_a_request_was_cut(listening):
    def endless_app(_environ, start_response):
        start_response("200 OK", [])
        gevent.sleep(60)
        return []

    listener, sock = listening(endless_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    gevent.sleep(0.05)
    assert not listener.stop(grace_s=0.05)


def test_calls_that_have_waited_are_cut_and_their_connections_closed(scripted):
    client, accepted = scripted(None, WHOLE)
    waiting = gevent.spawn(exchange, client, "POST", 60.0)
    with gevent.Timeout(30):
        while not client.waiting or not accepted:
            gevent.sleep(0.005)
        assert client.cut(3600.0) == 0
        assert client.cut(0.0) == 1
        with pytest.raises(ExchangeError) as caught:
            waiting.get()
    assert caught.value.sent
    assert caught.value.kind is ErrorKind.BACKEND_TIMEOUT
    assert exchange(client).body == b"body"
    assert len(accepted) == 2


def test_a_cut_reaches_no_call_that_was_just_answered(scripted):
    client, _accepted = scripted(WHOLE)
    done = gevent.spawn(exchange, client)
    with gevent.Timeout(30):
        while not client.waiting:
            gevent.sleep(0)
        call = next(iter(client.waiting))
        done.join()
    client._end_wait(call)
    assert done.value.body == b"body"
