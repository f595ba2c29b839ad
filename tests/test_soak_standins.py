"""What the stand-ins of the soak do, and what its ledger notices."""

import time

import gevent
import gevent.server
import pytest
from gevent import socket

from heatherhatch_core.state.fleet_configuration import PermitRules
from heatherhatch_daemon.settings import Address
from heatherhatch_platform.machines import HttpPolicy
from heatherhatch_platform_standin import ledger as ledger_module
from heatherhatch_platform_standin.ledger import Ledger
from heatherhatch_platform_standin.limited_jobs import APPLY_S
from heatherhatch_platform_standin.policy import StandinPolicy, is_valid_ticket
from heatherhatch_platform_standin.proxy import Link, Proxy
from heatherhatch_platform_standin.run_ends import RunEnds

HANG_S = 30  # limits a test that hangs; normally nothing takes this long
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"


class Sink:
    """A server that keeps what it receives."""

    def __init__(self):
        self.received = b""
        self.closed = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        while data := sock.recv(1000):
            self.received += data
        self.closed += 1


@pytest.fixture
def sink():
    server = Sink()
    yield server
    server.server.stop(timeout=0)


@pytest.fixture
def proxy(sink):
    link = Proxy(f"127.0.0.1:{sink.server.server_port}")
    yield link
    link.stop()


def wait_for(condition):
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.01)


def send_while_held(proxy, sink):
    """Send on an open connection while the link holds data, and close it."""
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b"early ")
        wait_for(lambda: sink.received)
        proxy.link = Link.HELD
        sock.sendall(b"held")
        gevent.sleep(0.05)
    assert sink.received == b"early "


def test_a_held_link_delivers_what_a_sender_has_given_up(proxy, sink):
    send_while_held(proxy, sink)
    proxy.link = Link.UP
    wait_for(lambda: sink.closed)
    assert sink.received == b"early held"


def test_a_reset_loses_what_a_link_holds(proxy, sink):
    send_while_held(proxy, sink)
    proxy.reset()
    proxy.link = Link.UP
    wait_for(lambda: sink.closed)
    assert sink.received == b"early "


def test_a_ticket_holds_for_the_tasks_of_one_step_on_one_worker_for_a_while():
    policy = StandinPolicy(PermitRules(validity_s=0.2))
    client = HttpPolicy(Address.parse(policy.address))
    granted, lifetime_s = client.request_permits(f"{JOB}.0.0", ["w1"], 5.0)
    policy.stop()
    ticket = granted["w1"]
    assert lifetime_s == 0.2
    assert not is_valid_ticket(ticket, TASK, "w2")
    assert not is_valid_ticket(ticket, f"{JOB}.0.1.0", "w1")
    assert not is_valid_ticket("", TASK, "w1")
    until_s = float(ticket.split()[2])
    late_ticket = f"{JOB}.0.0 w1 {until_s - 1.0}"
    assert not is_valid_ticket(late_ticket, TASK, "w1")
    assert is_valid_ticket(f"{JOB}.0.0 w1 {until_s + 60.0}", TASK, "w1")


def test_a_start_after_an_acknowledged_cancellation_is_noticed():
    ledger = Ledger()
    ledger.cancelled_s[JOB] = time.monotonic()
    ledger.start(TASK, "w1")
    assert ledger.violations == []
    ledger.cancelled_s[JOB] -= ledger_module.CANCEL_S
    ledger.end(TASK, "w1")
    ledger.start(TASK, "w1")
    assert len(ledger.violations) == 1


# Guards against an end that counts although its task was started again before it was
# acknowledged; only the expiry of the worker's lease in between allows that.
def test_a_start_between_an_end_and_its_acknowledgement_is_noticed():
    ledger = Ledger()
    ends = RunEnds(ledger)
    for has_expired in (True, False):
        ledger.start(TASK, "w1")
        ledger.end(TASK, "w1")
        ends.add(TASK, 1, "done")
        ledger.start(TASK, "w2")
        ledger.end(TASK, "w2")
        if has_expired:
            ends.note_lease_expired()
        assert ledger.violations == []
        ends.acknowledge(ends.count)
        ledger.acknowledged.clear()
    assert len(ledger.violations) == 1


def test_jobs_wait_until_a_task_of_theirs_is_started():
    ledger = Ledger()
    for job_id in (JOB, "other", "cancelled"):
        ledger.note_accepted(job_id)
    ledger.cancelled_s["cancelled"] = time.monotonic()
    ledger.start(TASK, "w1")
    assert ledger.find_waiting(time.monotonic() + 1.0) == ["other"]
    assert ledger.find_waiting(time.monotonic() - 1.0) == []


def test_the_ledger_notices_a_start_above_a_limit(monkeypatch):
    now_s = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now_s[0])
    ledger = Ledger()
    ledger.limit_use.set_limit(8)
    ledger.limit_use.cores.update({"a": 8, "b": 1, "c": 1})
    ledger.start("a.0.0.0", "w1")
    ledger.start("b.0.0.0", "w2")  # one task more is allowed
    ledger.start("d.0.0.0", "w2")  # of another team
    assert ledger.violations == []
    ledger.start("c.0.0.0", "w2")
    assert len(ledger.violations) == 1
    ledger.end("a.0.0.0", "w1")
    ledger.end("c.0.0.0", "w2")
    ledger.limit_use.set_limit(1)
    now_s[0] += APPLY_S + 1.0
    ledger.start("c.0.0.1", "w2")
    ledger.start("a.0.0.0", "w1")
    assert len(ledger.violations) == 2
