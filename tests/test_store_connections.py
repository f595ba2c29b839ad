"""What callers wait for doesn't queue behind the calls of a role to the store."""

import contextlib

import gevent
import msgspec
import pytest
from gevent.event import Event as Signal
from gevent.server import StreamServer

from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.pools.keys import job_key, status_key
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.store import Put, Transaction
from heatherhatch_platform.kv_store import (
    CALLER_CONNECTIONS,
    CONNECTIONS,
    KvStore,
)

HANG_S = 30  # limits a test that hangs; normally nothing takes this long


@pytest.fixture
def held_writes():
    """Return a store that answers reads at once, and how many writes it holds."""
    held = []
    item = {"key": "k", "value": "", "revision": 1}
    body = msgspec.json.encode(item)

    def handle(sock, _address):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                if data.startswith(b"POST"):
                    held.append(sock)
                    Signal().wait()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                sock.sendall(head.encode() + body)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    yield KvStore(Address("127.0.0.1", server.server_port)), held
    server.stop(timeout=0)


# Guards against status requests that wait for the writes of a role on a slow store.
def test_a_status_read_does_not_wait_for_a_connection_of_a_write(held_writes):
    store, held = held_writes

    def write():
        with contextlib.suppress(StoreError):
            store.transact(Transaction((), (Put("runs/till/j1", b""),)))

    writes = [gevent.spawn(write) for _number in range(CONNECTIONS)]
    with gevent.Timeout(HANG_S):
        while len(held) < CONNECTIONS:
            gevent.sleep(0.001)
        read = gevent.spawn(store.get, status_key("j1"))
        (first,) = gevent.wait([read, *writes], count=1)
    gevent.killall([read, *writes])
    assert first is read


# Guards against status requests that wait for submissions, also by their hedges.
def test_a_status_read_does_not_wait_for_a_connection_of_a_submission(held_writes):
    store, held = held_writes

    def write():
        with contextlib.suppress(StoreError):
            store.transact(Transaction((), (Put(job_key("till", "j1"), b""),)))

    writes = [gevent.spawn(write) for _number in range(CALLER_CONNECTIONS)]
    with gevent.Timeout(HANG_S):
        while len(held) < CALLER_CONNECTIONS:
            gevent.sleep(0.001)
        read = gevent.spawn(store.get, status_key("j1"))
        (first,) = gevent.wait([read, *writes], count=1)
    gevent.killall([read, *writes])
    assert first is read
