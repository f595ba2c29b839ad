"""A status read does not wait for a connection of a submission."""

import contextlib

import gevent

from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.pools.keys import job_key, status_key
from heatherhatch_daemon.transport.store import Put, Transaction
from heatherhatch_platform import kv_store
from test_store_connections import HANG_S, held_writes  # noqa: F401

CALLER_CONNECTIONS = getattr(kv_store, "CALLER_CONNECTIONS", kv_store.CONNECTIONS)


# Guards against status requests that wait for submissions, also by their hedges.
def test_a_status_read_does_not_wait_for_a_connection_of_a_submission(held_writes):  # noqa: F811
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
