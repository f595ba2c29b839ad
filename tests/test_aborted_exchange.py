"""A call to the store that its caller's time ends leaves no connection behind."""

import gc

import pytest
from gevent.event import Event as Signal
from gevent.server import StreamServer

from heatherhatch_daemon.pools.keys import status_key
from heatherhatch_daemon.settings import Address
from heatherhatch_platform.kv_store import KvStore
from test_platform_entry import call, intake  # noqa: F401


@pytest.fixture
def silent_store():
    server = StreamServer(("127.0.0.1", 0), lambda _sock, _address: Signal().wait())
    server.start()
    yield KvStore(Address("127.0.0.1", server.server_port))
    server.stop(timeout=0)


# Guards against connections that are held until the next collection of cycles.
def test_a_read_that_its_time_ends_returns_its_connection(silent_store, intake):  # noqa: F811
    pool = silent_store.client.pool
    free = pool._semaphore.counter
    intake.action = lambda: silent_store.get(status_key("j1"))
    gc.collect()
    gc.disable()
    try:
        assert call(intake, HTTP_DEADLINE_MS="600")[0] == 503
        assert pool._semaphore.counter == free
        assert not silent_store.client.pending_calls
    finally:
        gc.enable()
