"""HTTP client exchanges and listeners over loopback sockets."""

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
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


@pytest.fixture
def scripted_server():
    """Return a factory of servers that answer connection n with response n."""
    servers = []

    def create(*responses):
        accepted = []

        def handle(sock, _address):
            accepted.append(sock)
            response = responses[min(len(accepted), len(responses)) - 1]
            while sock.recv(65_536):
                if response is None:
                    gevent.sleep(60)
                sock.sendall(response)
                if not response.endswith(COMPLETE_RESPONSE):
                    return

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        client = HttpClient(Address("127.0.0.1", server.server_port), 4, 1.0)
        return client, accepted

    yield create
    for server in servers:
        server.stop(timeout=0)


@pytest.fixture
def hanging_server():
    """Return a factory of clients of servers that send a response and then nothing."""
    servers = []

    def create(response):
        def handle(sock, _address):
            sock.recv(65_536)
            sock.sendall(response or b"")
            gevent.sleep(60)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return HttpClient(Address("127.0.0.1", server.server_port), 4, 1.0)

    yield create
    for server in servers:
        server.stop(timeout=0)


def exchange(client, method="POST", timeout_s=5.0):
    return client.exchange(HttpRequest(method, "/", b"ask"), timeout_s)


@pytest.mark.parametrize(
    "truncated",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"nonsense",
    ],
)
def test_exchange_raises_for_a_truncated_response(scripted_server, truncated):
    client, _ = scripted_server(truncated)
    with pytest.raises(ExchangeError) as caught:
        exchange(client)
    assert caught.value.kind is ErrorKind.PARTIAL_ANSWER
    assert caught.value.sent


def test_exchange_returns_complete_responses_of_each_form(scripted_server):
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    )
    assert exchange(scripted_server(chunked)[0]).body == b"body"
    assert exchange(scripted_server(b"HTTP/1.1 204 None\r\n\r\n")[0]).body == b""
    head = exchange(
        scripted_server(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")[0], "HEAD"
    )
    assert (head.body, head.headers) == (b"", (("Content-Length", "4"),))


def test_exchange_does_not_reuse_a_connection_after_a_timeout(scripted_server):
    client, accepted = scripted_server(None, COMPLETE_RESPONSE)
    with pytest.raises(ExchangeError) as caught:
        exchange(client, timeout_s=0.05)
    assert (caught.value.kind, caught.value.sent) == (ErrorKind.BACKEND_TIMEOUT, True)
    assert exchange(client).body == b"body"
    assert len(accepted) == 2


# A response that is too large for its time was logged like a peer that is silent.
@pytest.mark.parametrize(("response", "received"), [(None, 0), (b"HTTP/1.1 200", 12)])
def test_exchange_states_how_much_arrived_before_a_timeout(
    hanging_server, response, received
):
    with pytest.raises(ExchangeError) as caught:
        exchange(hanging_server(response), timeout_s=0.5)
    assert caught.value.detail.endswith(f"s, {received} bytes received")


def test_exchange_checks_an_idle_connection_before_it_is_reused(scripted_server):
    client, accepted = scripted_server(COMPLETE_RESPONSE)
    exchange(client)
    exchange(client)
    assert len(accepted) == 1
    accepted[0].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
    (idle,) = client.pool.idle_since_s
    # Wait for the extra response to arrive, because a busy system may deliver it
    # late and the check is about data that is already in the socket buffer.
    wait_read(idle.fileno())
    assert exchange(client).body == b"body"
    assert len(accepted) == 2


def test_exchange_reports_unsent_when_the_connection_is_refused():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = Address(*closed.getsockname())
        with pytest.raises(ExchangeError) as caught:
            exchange(HttpClient(address, 1, 1.0))
    assert (caught.value.kind, caught.value.sent) == (ErrorKind.BACKEND_FAILED, False)


@pytest.fixture
def make_listener():
    """Return a factory of listeners with a small head limit and idle timeout."""
    started = []

    def create(app):
        limits = LimitSettings(header_bytes=300, idle_s=0.2)
        listener = Listener(LOOPBACK, app, limits)
        address = listener.start()
        started.append(listener)
        return listener, socket.create_connection((address.host, address.port))

    yield create
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


def test_listener_refuses_an_oversized_head(make_listener):
    _, sock = make_listener(plain_app)
    sock.sendall(b"GET / HTTP/1.1\r\nX: " + b"x" * 400 + b"\r\n\r\n")
    assert read_all(sock).startswith(b"HTTP/1.1 400")


def test_listener_times_out_a_head_that_is_sent_slowly(make_listener):
    _, sock = make_listener(plain_app)
    sock.sendall(b"GET / HTTP/1.1\r\n")

    def send_slowly():
        for _ in range(100):
            sock.sendall(b"X")
            gevent.sleep(0.05)

    sender = gevent.spawn(send_slowly)
    started_s = time.monotonic()
    assert read_all(sock).startswith(b"HTTP/1.1 400")
    assert time.monotonic() - started_s < 4.0
    sender.kill()


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 9\r\n\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\nnonsense\r\n",
    ],
)
def test_listener_reports_not_run_for_an_incomplete_body(make_listener, body):
    executed = []

    class Resource:
        def on_post(self, request, _response):
            executed.append(read_body(request, 100))

    app = new_app()
    app.add_route("/", Resource())
    _, sock = make_listener(app)
    sock.sendall(b"POST / HTTP/1.1\r\n" + body)
    answer = read_all(sock)
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"not run" in answer
    assert executed == []


def test_listener_passes_on_complete_chunked_bodies(make_listener):
    executed = []

    class Resource:
        def on_post(self, request, _response):
            executed.append(read_body(request, 100))

    app = new_app()
    app.add_route("/", Resource())
    _, sock = make_listener(app)
    head = b"POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    sock.sendall(head + b"4\r\nhalf\r\n4\r\nmore\r\n0\r\n\r\n")
    read_all(sock)
    assert executed == [b"halfmore"]


def test_listener_stop_waits_until_a_slow_body_is_written(make_listener):
    def slow_app(_environ, start_response):
        start_response("200 OK", [("Content-Length", "8")])
        yield b"half"
        gevent.sleep(0.3)
        yield b"done"

    listener, sock = make_listener(slow_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    read_until(sock, b"half")
    assert listener.stop(grace_s=5.0)
    assert read_all(sock) == b"done"


def test_listener_serves_idle_and_new_connections_while_it_lingers(make_listener):
    listener, sock = make_listener(plain_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    assert b"Connection: close" not in read_until(sock, b"body")
    stopping = gevent.spawn(listener.stop, 5.0, 0.1)
    gevent.sleep(0.01)
    new_connection = socket.create_connection(sock.getpeername())
    for client in (sock, new_connection):
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
        answer = read_all(client)
        assert b"Connection: close" in answer
        assert answer.endswith(b"body")
    assert stopping.get()


def test_listener_answers_a_request_sent_on_an_idle_connection_before_close(
    make_listener, monkeypatch
):
    def slow_app(_environ, start_response):
        gevent.sleep(0.3)
        start_response("200 OK", [("Content-Length", "4")])
        return [b"body"]

    listener, sock = make_listener(slow_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    read_until(sock, b"body")
    drain_accept_queue = listener_module._drain_accept_queue

    def send_last(descriptor):
        # The request is in the kernel's buffer, and its greenlet has not run yet.
        sock.send(b"GET / HTTP/1.1\r\n\r\n")
        return drain_accept_queue(descriptor)

    monkeypatch.setattr(listener_module, "_drain_accept_queue", send_last)
    assert listener.stop(grace_s=5.0)
    answer = read_all(sock)
    assert b"Connection: close" in answer
    assert answer.endswith(b"body")


def test_listener_waits_for_the_first_request_of_a_new_connection(make_listener):
    listener, sock = make_listener(plain_app)
    stopping = gevent.spawn(listener.stop, 5.0)
    gevent.sleep(0.1)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    assert read_all(sock).endswith(b"body")
    assert stopping.get()


def test_listener_reports_an_interrupted_request(make_listener):
    def endless_app(_environ, start_response):
        start_response("200 OK", [])
        gevent.sleep(60)
        return []

    listener, sock = make_listener(endless_app)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    gevent.sleep(0.05)
    assert not listener.stop(grace_s=0.05)


def test_client_cancels_long_waiting_calls_and_closes_their_connections(
    scripted_server,
):
    client, accepted = scripted_server(None, COMPLETE_RESPONSE)
    waiting = gevent.spawn(exchange, client, "POST", 60.0)
    with gevent.Timeout(30):
        while not client.pending_calls or not accepted:
            gevent.sleep(0.005)
        assert client.abort_overdue(3600.0) == 0
        assert client.abort_overdue(0.0) == 1
        with pytest.raises(ExchangeError) as caught:
            waiting.get()
    assert caught.value.sent
    assert caught.value.kind is ErrorKind.BACKEND_TIMEOUT
    assert exchange(client).body == b"body"
    assert len(accepted) == 2


def test_client_does_not_cancel_a_call_that_was_just_answered(scripted_server):
    client, _accepted = scripted_server(COMPLETE_RESPONSE)
    done = gevent.spawn(exchange, client)
    with gevent.Timeout(30):
        while not client.pending_calls:
            gevent.sleep(0)
        call = next(iter(client.pending_calls))
        done.join()
    client._time_out(call)
    assert done.value.body == b"body"


def test_a_stream_whose_request_cannot_be_sent_frees_its_connection(scripted_server):
    """Each failure used up a connection, until every call to the store waited."""
    client, accepted = scripted_server(COMPLETE_RESPONSE)
    exchange(client)
    for _stream in range(client.pool.size):
        sock = client.pool.get_socket()
        sock.shutdown(socket.SHUT_WR)
        client.pool.return_socket(sock)
        with pytest.raises(ExchangeError):
            next(client.stream_lines(HttpRequest("POST", "/")))
    assert exchange(client).body == b"body"
    assert accepted


def test_a_stream_that_gets_no_response_frees_its_connection(scripted_server):
    """A place in the pool that is freed twice, or never, fails a later call."""
    client, _accepted = scripted_server(b"HTTP/1.1 2")
    for _stream in range(2 * client.pool.size):
        with pytest.raises(ExchangeError):
            next(client.stream_lines(HttpRequest("POST", "/")))
    sockets = [client.pool.get_socket() for _place in range(client.pool.size)]
    assert len(sockets) == client.pool.size
    for sock in sockets:
        client.pool.release_socket(sock)
