"""Requests and responses take as long as their transfer makes progress."""

import contextlib

import gevent
import msgspec
import pytest
from gevent.server import StreamServer

from heatherhatch_core.coordination.scheduler import WorkerInfo
from heatherhatch_core.exceptions import ErrorKind, StoreError
from heatherhatch_daemon.pools.ports import DirectoryEntry, Permission, Renewal
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.etcd_store import EtcdStore
from heatherhatch_daemon.transport.http import ExchangeError, HttpClient, HttpRequest
from heatherhatch_daemon.transport.store import PendingCalls
from heatherhatch_platform import machines
from heatherhatch_platform.kv_store import CALL_TIMEOUT_S, KvStore
from heatherhatch_platform.machines import HttpMachines
from heatherhatch_platform.workers import HttpWorker

HANG_S = 30  # limits a test that hangs; normally nothing takes this long
PIECES = 10
LONG = "x" * 100_000
WORKER = WorkerInfo("w0", "m0", "pool", "dc", 1)


@pytest.fixture
def serve():
    """Return a factory of servers that send a response piece by piece."""
    servers = []

    def create(body: bytes, pause_s: float, sent: int = PIECES) -> Address:
        size = max(1, -(-len(body) // PIECES))
        pieces = [body[start : start + size] for start in range(0, len(body), size)]

        def handle(sock, _address):
            sock.recv(65_536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode())
            with contextlib.suppress(OSError):  # an aborted call closes its connection
                for piece in pieces[:sent]:
                    gevent.sleep(pause_s)
                    sock.sendall(piece)
            gevent.sleep(HANG_S)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return Address("127.0.0.1", server.server_port)

    yield create
    for server in servers:
        server.stop(timeout=0)


def read(address: Address, timeout_s: float) -> bytes:
    client = HttpClient(address, 1, 1.0)
    with gevent.Timeout(HANG_S):
        request = HttpRequest("GET", "/")
        return client.exchange(request, timeout_s, by_progress=True).body


# Guards against LOST: an instance read a large configuration over a slow link for ever,
# each time aborted after the same time, and refused every question about a job.
@pytest.mark.parametrize(
    ("call", "body"),
    [
        (
            lambda address: KvStore(address).range("op/"),
            {"storeRevision": 1, "items": []},
        ),
        (lambda address: HttpMachines(address).machines(), {"machines": []}),
        (
            lambda address: HttpWorker(DirectoryEntry(WORKER, address)).renew(
                Renewal(0, 0, 0.0), Permission(1, lambda: True)
            ),
            {"clockMs": 1, "numRunning": [], "ended": []},
        ),
        (
            lambda address: EtcdStore(address, CALL_TIMEOUT_S).range("log/"),
            {"header": {"revision": "1"}, "kvs": []},
        ),
    ],
    ids=["store", "machines", "worker", "log"],
)
def test_a_list_is_read_over_a_slow_link(serve, monkeypatch, call, body):
    monkeypatch.setattr(machines, "CALL_TIMEOUT_S", CALL_TIMEOUT_S)
    data = msgspec.json.encode({**body, "filler": LONG})
    with gevent.Timeout(HANG_S):
        call(serve(data, pause_s=1.5 * CALL_TIMEOUT_S / PIECES))


@pytest.mark.parametrize("sent", [0, 1, 5])
def test_a_response_that_stops_arriving_is_aborted(serve, sent):
    with pytest.raises(ExchangeError) as caught:
        read(serve(LONG.encode(), 0.0, sent), 0.2)
    assert caught.value.kind is ErrorKind.BACKEND_TIMEOUT


def test_a_response_that_trickles_is_aborted(serve):
    with pytest.raises(ExchangeError) as caught:
        read(serve(b"x" * 200, 0.1), 0.5)
    assert caught.value.kind is ErrorKind.BACKEND_TIMEOUT


# The probe of a store that seems silent must not abort what the store is sending.
def test_a_call_that_receives_data_is_not_overdue(serve):
    client = HttpClient(serve(LONG.encode(), 0.1), 1, 1.0)
    request = HttpRequest("GET", "/")
    reading = gevent.spawn(client.exchange, request, HANG_S)
    with gevent.Timeout(HANG_S):
        while not client.pending_calls:
            gevent.sleep(0)
        (call,) = client.pending_calls
        call.started_s -= 100.0
        call.active_s -= 100.0
        while call.received_bytes < len(LONG) / 2:
            gevent.sleep(0.001)
        assert client.abort_overdue(50.0) == 0
        assert reading.get().body == LONG.encode()


# Each submission during a change of a large configuration received a copy of it.
def test_a_store_tells_that_a_large_change_is_arriving(serve):
    store = KvStore(serve(LONG.encode(), 0.1))
    reading = gevent.spawn(store.poll, "op/", 1, 1.0)
    with gevent.Timeout(HANG_S):
        while not store.is_receiving("op/"):
            gevent.sleep(0.001)
        assert not store.is_receiving("jobs/")
        with pytest.raises(StoreError):
            reading.get()
    assert not store.is_receiving("op/")


def test_a_store_tells_which_calls_wait_for_an_answer(serve):
    store = KvStore(serve(LONG.encode(), 0.1))
    calls = [gevent.spawn(store.poll, "op/", 1, 1.0), gevent.spawn(store.get, "k")]
    with gevent.Timeout(HANG_S):
        while len(store.client.pending_calls) < 2:
            gevent.sleep(0)
        for call in store.client.pending_calls:
            call.started_s -= 100.0
        pending = store.pending()
        gevent.killall(calls)
    assert (pending.number, pending.oldest_s >= 100.0) == (1, True)
    assert store.pending() == PendingCalls()


class KeepAliveServer:
    """Answers each request for a key; open connections may be muted.

    Attributes:
        large_key: Key whose value arrives too slowly to be useful.
        generation: Connections of an earlier generation get no answer.
    """

    def __init__(self):
        self.large_key = b""
        self.generation = 0
        self.server = StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()
        self.address = Address("127.0.0.1", self.server.server_port)

    def handle(self, sock, _address):
        generation = self.generation
        while request := sock.recv(65_536):
            gevent.sleep(0.01)  # lets calls overlap, so that each has a connection
            if generation != self.generation:
                gevent.sleep(HANG_S)
            if self.large_key and self.large_key in request:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 800000\r\n\r\n")
                gevent.sleep(HANG_S)
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}")


@pytest.fixture
def keep_alive_server():
    server = KeepAliveServer()
    yield server
    server.server.stop(timeout=0)


# Guards against an outage that lasts longer the more connections were open before it.
def test_a_probe_of_the_store_uses_no_connection_that_may_be_dead(keep_alive_server):
    store = KvStore(keep_alive_server.address)
    gevent.joinall([gevent.spawn(store.get, "k") for _call in range(8)])
    keep_alive_server.generation += 1
    assert store.is_available()


# Guards against calls that each wait for one of the connections that went silent.
def test_calls_after_a_timeout_use_new_connections(keep_alive_server):
    store = KvStore(keep_alive_server.address)
    gevent.joinall([gevent.spawn(store.get, "k") for _call in range(8)])
    keep_alive_server.generation += 1
    with pytest.raises(StoreError):
        store.get("k")
    assert store.get("k") is None


# Guards against probes that each read the whole configuration and fill a slow link.
def test_a_probe_of_the_store_needs_no_large_response(keep_alive_server):
    keep_alive_server.large_key = b"config"
    assert KvStore(keep_alive_server.address).is_available()


# Guards against writes of a pool that are sent again and again over a slow link, each
# time aborted after the same time: while they are sent, or in the send buffer.
@pytest.mark.parametrize(
    ("size", "block_bytes", "block_pause_s", "answer_pause_s"),
    [(16_000_000, 160_000, 0.008, 0.0), (200_000, 65_536, 0.0, 0.8)],
    ids=["sending", "buffered"],
)
def test_a_large_request_is_sent_over_a_slow_link(
    size, block_bytes, block_pause_s, answer_pause_s
):
    def handle(sock, _address):
        received = 0
        while received < size:
            received += len(sock.recv(block_bytes))
            gevent.sleep(block_pause_s)
        gevent.sleep(answer_pause_s)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        gevent.sleep(HANG_S)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    client = HttpClient(Address("127.0.0.1", server.server_port), 1, 1.0)
    request = HttpRequest("POST", "/", b"x" * size)
    with gevent.Timeout(HANG_S):
        assert client.exchange(request, 0.4, by_progress=True).status == 200
    server.stop(timeout=0)
