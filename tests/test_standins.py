"""The stand-ins for external services behave as the tests configure them."""

import time
from urllib.error import URLError

import pytest

from callers import call
from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.etcd_store import EtcdStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction
from heatherhatch_standins.faults import Faults
from heatherhatch_standins.ledger import Ledger


def set_faults(address, faults):
    assert call(address, "PUT", "/faults", body=encode_json(faults)).status == 204


@pytest.fixture
def store(trial):
    address = trial.start_standin("store", "store")
    return address, EtcdStore(Address.parse(address), 1.0)


def test_standin_store_applies_only_the_first_of_two_conflicting_writes(store):
    _, client = store
    first = Transaction((Expect("k", 0),), (Put("k", b"1"),))
    assert client.transact(first).succeeded
    assert not client.transact(first).succeeded
    entry = client.get("k")
    assert entry.value == b"1"
    second = Transaction((Expect("k", entry.revision),), (Put("k", b"2"),))
    assert client.transact(second).succeeded


def test_standin_store_drops_responses_after_applying_the_write(store):
    address, client = store
    set_faults(address, Faults(lost_share=1.0))
    with pytest.raises(StoreError) as caught:
        client.transact(Transaction((), (Put("k", b"1"),)))
    assert caught.value.maybe_applied
    set_faults(address, Faults())
    assert client.get("k").value == b"1"


def test_standin_store_is_unavailable_while_down(store):
    address, client = store
    set_faults(address, Faults(down=True))
    with pytest.raises(StoreError):
        client.get("k")
    set_faults(address, Faults())
    assert client.get("k") is None


def test_standin_store_expires_leases_and_notifies_watchers(store):
    _, client = store
    lease = client.grant_lease(1)
    client.transact(Transaction((), (Put("w/k", b"1", lease),)))
    events = client.watch("w/", 1)
    assert not next(events).deleted
    assert next(events).deleted
    assert not client.keep_lease(lease)


def test_standin_backend_drops_connections_while_down(trial):
    address = trial.start_standin("backend", "backend")
    set_faults(address, Faults(down=True))
    with pytest.raises((URLError, ConnectionError)):
        call(address, "POST", "/x", body=b"1")


def test_standin_member_list_delays_changes(trial):
    address = trial.start_standin("members", "members")
    set_faults(address, Faults(lag_s=3600.0))
    call(address, "PUT", "/members", body=b'[{"name":"n1"}]')
    assert call(address, "GET", "/members").json() == []
    set_faults(address, Faults())
    assert call(address, "GET", "/members").json()[0]["name"] == "n1"


def test_standin_ledger_records_the_peak_concurrency_of_a_team():
    ledger = Ledger()
    with ledger.work("a", "1", "red"), ledger.work("b", "2", "red"):
        pass
    with ledger.work("a", "3", "red"):
        pass
    page = ledger.page()
    assert page.peaks == {"red": 2}
    assert [start.request_id for start in page.starts] == ["1", "2", "3"]
    assert page.starts[0].at_s <= time.time()
