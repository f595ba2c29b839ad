"""Attempts and retries against backend servers that stall, fail or refuse.

A retry of a request that a server may have received could run its work twice, so only
idempotent work is retried after it was sent.
"""

import random
import time
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from heatherhatch_core.coordination.backend_choice import INITIAL_LIMIT
from heatherhatch_core.exceptions import ErrorKind, Execution, HeatherhatchError
from heatherhatch_core.state.entities import WorkClass, Worker, WorkKind
from heatherhatch_daemon.tasks.exchange import Exchange
from heatherhatch_daemon.transport.http import HttpRequest

STOCK = WorkClass("stock", "tills", WorkKind.REQUEST, 2.0, idempotent=True)
SETTLE = WorkClass("settle", "tills", WorkKind.REQUEST, 2.0)
REQUEST = HttpRequest("POST", "/", b"coins")
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"
NO_RESPONSE = b""


class FakePool:
    """Backend servers of one pool, and the configuration that lists them."""

    def __init__(self):
        self.servers = []
        self.addresses = []
        self.received = []
        self.standing = True

    def add(self, *responses):
        """Add a server that answers connection n with response n."""
        connections = []

        def handle(sock, _address):
            connections.append(sock)
            response = responses[min(len(connections), len(responses)) - 1]
            while data := sock.recv(65_536):
                self.received.append(data)
                if response is NO_RESPONSE:
                    gevent.sleep(60)
                sock.sendall(response)
                if response is TRUNCATED_RESPONSE:
                    return

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.servers.append(server)
        self.addresses.append(f"127.0.0.1:{server.server_port}")

    def add_refusing(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            self.addresses.append(f"127.0.0.1:{closed.getsockname()[1]}")

    def serving_workers(self, _pool):
        return [
            Worker(address, "fd", "r", address, "tills") for address in self.addresses
        ]

    def exchange(self, seed=1):
        follower = SimpleNamespace(config=self, has_standing=lambda: self.standing)
        return Exchange(follower, time.monotonic, random.Random(seed))


@pytest.fixture
def pool():
    created = FakePool()
    yield created
    for server in created.servers:
        server.stop(timeout=0)


def carry_out(exchange, work_class, seconds=2.0):
    return exchange.carry_out(work_class, REQUEST, time.monotonic() + seconds)


def error_of(exchange, work_class, seconds=2.0):
    with pytest.raises(HeatherhatchError) as caught:
        carry_out(exchange, work_class, seconds)
    return caught.value


@pytest.mark.parametrize("response", [NO_RESPONSE, TRUNCATED_RESPONSE])
def test_exchange_sends_non_idempotent_work_only_once(pool, response):
    for _ in range(3):
        pool.add(response)
    error = error_of(pool.exchange(), SETTLE, 0.2)
    assert error.answer.execution is Execution.UNKNOWN
    assert len(pool.received) == 1


def test_exchange_skips_servers_that_refuse_connections(pool):
    pool.add_refusing()
    pool.add_refusing()
    pool.add(COMPLETE_RESPONSE)
    for seed in range(10):
        pool.received.clear()
        assert carry_out(pool.exchange(seed), SETTLE).body == b"body"
        assert len(pool.received) == 1


def test_exchange_reports_not_run_when_every_server_refuses(pool):
    pool.add_refusing()
    pool.add_refusing()
    error = error_of(pool.exchange(), SETTLE)
    assert (error.kind, error.answer.execution) == (
        ErrorKind.NO_BACKEND,
        Execution.NOT_RUN,
    )


@pytest.mark.parametrize("response", [NO_RESPONSE, TRUNCATED_RESPONSE])
def test_exchange_retries_idempotent_work_over_a_new_connection(pool, response):
    pool.add(response, COMPLETE_RESPONSE)
    assert carry_out(pool.exchange(), STOCK, 1.0).body == b"body"
    assert len(pool.received) == 2


def test_exchange_does_not_eject_servers_for_short_caller_deadlines(pool):
    pool.add(NO_RESPONSE)
    pool.add(NO_RESPONSE)
    pool.add(NO_RESPONSE)
    exchange = pool.exchange()
    for _ in range(40):
        error_of(exchange, SETTLE, 0.002)
    states = exchange.pools["tills"].choice.backends.values()
    assert [state.ejections for state in states] == [0, 0, 0]
    assert [state.running for state in states] == [0, 0, 0]
    assert all(state.limit == INITIAL_LIMIT for state in states)


def test_exchange_sends_its_timeout_to_the_server(pool):
    pool.add(COMPLETE_RESPONSE)
    carry_out(pool.exchange(), SETTLE, 1.5)
    head = pool.received[0].decode()
    seconds = float(head.split("X-Request-Timeout: ")[1].split("\r\n")[0])
    assert 1.0 < seconds <= 1.5


def test_exchange_fails_at_once_when_the_retry_budget_is_exhausted(pool):
    pool.add(TRUNCATED_RESPONSE)
    exchange = pool.exchange()
    exchange.budget.tokens = 0.0
    assert error_of(exchange, STOCK).kind is ErrorKind.PARTIAL_ANSWER
    assert len(pool.received) == 1


def test_exchange_reports_the_first_error_when_a_retry_is_refused(pool):
    pool.add(TRUNCATED_RESPONSE)
    exchange = pool.exchange()

    def lose_standing(data):
        received.append(data)
        pool.standing = False

    received = []
    pool.received = SimpleNamespace(append=lose_standing)
    assert error_of(exchange, STOCK).kind is ErrorKind.PARTIAL_ANSWER
    assert len(received) == 1


def test_exchange_sends_nothing_without_standing_or_remaining_time(pool):
    pool.add(COMPLETE_RESPONSE)
    exchange = pool.exchange()
    assert error_of(exchange, SETTLE, -0.1).kind is ErrorKind.DEADLINE_UNREACHABLE
    pool.standing = False
    assert error_of(exchange, SETTLE).kind is ErrorKind.NO_STANDING
    assert pool.received == []


def test_exchange_refuses_at_once_when_no_server_is_in_the_pool(pool):
    error = error_of(pool.exchange(), SETTLE, 60.0)
    assert error.kind is ErrorKind.NO_BACKEND


def test_exchange_sends_nothing_to_a_removed_server(pool):
    pool.add(TRUNCATED_RESPONSE)
    pool.add(COMPLETE_RESPONSE)
    exchange = pool.exchange()
    carry_out(exchange, STOCK)
    remaining = FakePool()
    remaining.addresses = pool.addresses[1:]
    remaining.standing = True
    exchange.follower.config = remaining
    pool.received.clear()
    for _ in range(20):
        assert carry_out(exchange, SETTLE).body == b"body"
    assert len(pool.received) == 20


# Guards against a request that crashes each of the servers that it is tried on.
def test_exchange_stops_after_two_servers_broke_off(pool):
    for _server in range(4):
        pool.add(TRUNCATED_RESPONSE)
    error = error_of(pool.exchange(), STOCK)
    assert len(pool.received) == 2
    assert error.kind is ErrorKind.PARTIAL_ANSWER
