"""No order is sent on a permission that ran out while the order waited.

Guards against a process that is suspended, or waits for a connection, between the check
of its claim and the order: by then another instance may hold the role.
"""

from dataclasses import dataclass, field

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.coordination.scheduler import (
    PaceOrder,
    StartOrder,
    StartResult,
    StopOrder,
    TaskName,
    WorkerInfo,
)
from heatherhatch_daemon.pools.machine_orders import MachineOrders, Maintain, Move
from heatherhatch_daemon.pools.ports import (
    Deadline,
    DirectoryEntry,
    Permission,
    Renewal,
)
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError
from heatherhatch_platform import machines, workers
from heatherhatch_platform.machines import HttpMachines
from heatherhatch_platform.workers import HttpWorker
from heatherhatch_platform_standin.serving import JsonServer

HANG_S = 30  # limits a test that hangs
TASK = TaskName("j1", 0, 0, 0)


@dataclass
class Peer:
    """A server that answers once the test lets it.

    Attributes:
        paths: Path of each request that arrived.
        gate: Set when requests are to be answered.
    """

    paths: list[str] = field(default_factory=list)
    gate: Signal = field(default_factory=Signal)

    def handle(self, environ, _body):
        self.paths.append(environ["PATH_INFO"])
        self.gate.wait()
        return 200, {"clockMs": 1, "born": 1, "numRunning": [], "ended": []}


@dataclass
class Claim:
    """A claim that lapses when the test says so."""

    held: bool = True

    def is_held(self):
        return self.held


@pytest.fixture
def peer():
    return Peer()


@pytest.fixture
def address(peer, monkeypatch):
    """Return the address of the peer, to which each client has one connection."""
    monkeypatch.setattr(workers, "CONNECTIONS", 1)
    monkeypatch.setattr(machines, "CONNECTIONS", 1)
    server = JsonServer(peer.handle)
    yield Address.parse(server.address)
    server.stop()


@pytest.fixture
def claim():
    return Claim()


@pytest.fixture
def permission(claim):
    return Permission(5, claim.is_held)


def worker_orders(permission):
    return {
        "start": lambda worker: worker.start(
            StartOrder("w1", TASK, 1, "run"), Deadline(10, 1), permission
        ),
        "stop": lambda worker: worker.stop(StopOrder("w1", TASK, 1), permission),
        "pace": lambda worker: worker.pace(PaceOrder("w1", TASK, 1, 50), permission),
        "renew": lambda worker: worker.renew(Renewal(10, 0, 0.0), permission),
    }


@pytest.mark.parametrize("order", ["start", "stop", "pace", "renew"])
def test_no_order_reaches_a_worker_after_the_claim_lapsed(
    peer, address, claim, permission, order
):
    worker = HttpWorker(DirectoryEntry(WorkerInfo("w1", "m1", "p", "dc", 1), address))
    send = worker_orders(permission)[order]
    before = "renew" if order == "renew" else "stop"
    first = gevent.spawn(worker_orders(permission)[before], worker)
    gevent.sleep(0.05)
    paths = ["/hold" if order == "renew" else "/run-stop"]
    assert peer.paths == paths
    second = gevent.spawn(send, worker)
    gevent.sleep(0.05)
    claim.held = False
    peer.gate.set()
    with gevent.Timeout(HANG_S):
        first.get()
        if order == "start":
            # The worker certainly did not start it, and is not at fault: it would be
            # left without runs for half a second or more.
            assert second.get() is StartResult.REFUSED
        else:
            with pytest.raises(ExchangeError) as caught:
                second.get()
            assert not caught.value.sent
    assert peer.paths == paths


@pytest.mark.parametrize("late", [Move("m2", "wall"), Maintain("m2", 1)])
def test_no_order_for_a_machine_is_sent_after_the_claim_lapsed(
    peer, address, claim, late
):
    orders = MachineOrders(HttpMachines(address), "me", 5, claim.is_held, 2.0)
    sending = gevent.spawn(orders.send_all, [Move("m1", "till"), late])
    gevent.sleep(0.05)
    assert peer.paths == ["/machine-move"]
    claim.held = False
    peer.gate.set()
    with gevent.Timeout(HANG_S):
        assert sending.get() == 1
    assert peer.paths == ["/machine-move"]


def test_orders_are_sent_while_the_claim_is_held(peer, address, permission):
    worker = HttpWorker(DirectoryEntry(WorkerInfo("w1", "m1", "p", "dc", 1), address))
    peer.gate.set()
    for send in worker_orders(permission).values():
        send(worker)
    greeting = "/hold"  # on the connection for orders, which had no answer yet
    assert peer.paths == [greeting, "/run-start", "/run-stop", "/pace", "/hold"]
