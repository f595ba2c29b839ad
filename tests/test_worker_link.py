"""Lease renewals and fencing on the connection to one worker."""

import dataclasses

import gevent
import pytest

from heatherhatch_core.coordination.scheduler import StartOrder, StartResult
from heatherhatch_core.exceptions import ErrorKind, FencedError
from heatherhatch_core.state.resources import Resources
from heatherhatch_daemon.pools import clock
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.ports import DirectoryEntry
from heatherhatch_daemon.pools.start_gate import StartGate
from heatherhatch_daemon.pools.worker_link import WorkerLink
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction
from pool_model import PoolModel, make_job, make_step
from pool_node import RECORDS


class FakeControl:
    """The control interface of a simulated worker that may stop answering."""

    def __init__(self, worker):
        self.worker = worker
        self.renewals = []
        self.silent = False
        self.fenced = False

    def renew(self, renewal, token):
        gevent.sleep(0.005)
        self.renewals.append(renewal)
        if self.fenced:
            raise FencedError("a newer holder")
        if self.silent:
            raise ExchangeError(ErrorKind.BACKEND_TIMEOUT, "no answer", True)
        return self.worker.report(renewal.acked)

    def start(self, order, deadline, permission):
        self.deadline = deadline
        self.before_send()
        if not permission.is_valid():
            return StartResult.REFUSED
        return self.worker.start(order)

    def before_send(self):
        pass

    def close(self):
        pass


class FakeHolder:
    """The part of a pool's holder that a link uses."""

    def __init__(self, model, control):
        self.scheduler = model.scheduler
        self.token = 7
        self.external_ports = self
        self.control = control
        self.fencing_reasons = []
        self.directory = self
        self.recent = True
        self.left_s = 1.7  # what is usually left right after a confirmed claim
        self.operators = Operators(MemoryStore(lambda: 0.0), RECORDS, print)
        self.operators.feed.last_response_s = clock.now_s()
        self.starts = StartGate(self.operators, self, model.scheduler)

    def open_worker(self, _entry):
        return self.control

    def may_renew(self):
        return self.renewal_left_s() > 0

    def renewal_left_s(self):
        return self.left_s

    def is_recent(self):
        return self.recent

    def may_order(self):
        return True

    def wake(self):
        pass

    def on_fenced(self, reason):
        self.fencing_reasons.append(reason)

    def unlink(self, worker_id):
        pass


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1)


@pytest.fixture
def link(model):
    control = FakeControl(model.workers["w0"])
    holder = FakeHolder(model, control)
    entry = DirectoryEntry(model.workers["w0"].info, Address("127.0.0.1", 1))
    worker_link = WorkerLink(holder, entry)
    yield worker_link
    worker_link.stop()


def wait_for(condition):
    with gevent.Timeout(30):
        while not condition():
            gevent.sleep(0.005)


def test_a_silent_worker_is_polled_without_extending_its_lease(link):
    wait_for(lambda: len(link.control.renewals) > 2)
    assert link.control.renewals[-1].deadline_ms > 0
    link.control.silent = True
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 3)
    assert [item.deadline_ms for item in link.control.renewals[before + 2 :]] == [
        0 for _item in link.control.renewals[before + 2 :]
    ]


def test_the_lease_of_a_worker_that_answers_again_is_extended(link):
    link.control.silent = True
    wait_for(lambda: len(link.control.renewals) > 1)
    link.control.silent = False
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 2)
    assert link.control.renewals[-1].deadline_ms > 0


def test_the_lease_expiry_of_a_silent_worker_does_not_move(link, model):
    """A silent worker's tasks run again once its lease has expired."""
    model.now_s = clock.now_s()
    model.add(make_job(make_step()))
    wait_for(lambda: len(link.control.renewals) > 1)
    link.control.silent = True
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 3)
    worker = model.scheduler.state.workers["w0"]
    expires_s = worker.lease_expiry_s()
    wait_for(lambda: len(link.control.renewals) > before + 8)
    assert worker.lease_expiry_s() == expires_s


def test_a_link_reports_a_newer_holder_once(link):
    link.control.fenced = True
    wait_for(lambda: link.holder.fencing_reasons)
    assert len(link.holder.fencing_reasons) == 1


# Guards against lasting tasks whose leases lapse right after an outage of the store of
# 4.2 s: the last renewal waited for a response for a second while the permission to
# renew ran out.
@pytest.mark.parametrize(
    ("left_s", "wait_s"), [(1.7, 1.0), (1.0, 0.75), (0.3, 0.1), (0.05, 0.1)]
)
def test_no_renewal_waits_until_the_permission_to_renew_has_run_out(
    link, left_s, wait_s
):
    link.holder.left_s = left_s
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 2)
    assert link.control.renewals[-1].wait_s == pytest.approx(wait_s)


def test_nothing_is_renewed_after_the_permission_has_run_out(link):
    wait_for(lambda: link.control.renewals)
    link.holder.left_s = 0.0
    gevent.sleep(0.05)
    before = len(link.control.renewals)
    gevent.sleep(0.05)
    assert len(link.control.renewals) == before


def place(model) -> StartOrder:
    """Place one task of six cores and return the order to start it."""
    model.scheduler.add_job(make_job(make_step(1, cores=6)), None, model.now_s)
    model.scheduler.decide(model.now_s, model.now_s)
    for write in model.scheduler.take_writes(model.now_s):
        model.scheduler.stored(write.job_id, write.version, model.now_s)
    return model.scheduler.take_orders()[0]


def shrink(model) -> None:
    """Let the worker say that it has only four cores left."""
    info = model.workers["w0"].info
    smaller = dataclasses.replace(info, capacity=Resources(4000, 64_000))
    model.scheduler.update_worker(smaller, model.now_s)


# Guards against a start beyond a capacity that shrank while the start was on its way.
def test_a_start_is_not_sent_once_its_worker_has_shrunk(model, link):
    order = place(model)
    link.control.before_send = lambda: shrink(model)
    link.send(order)
    assert model.workers["w0"].runs == {}
    assert model.scheduler.state.jobs["j1"].tasks[0, 0, 0].runs == {}


# Guards against a start by capacities from before an outage of the store.
def test_a_start_is_not_sent_by_an_old_directory(model, link):
    order = place(model)
    link.holder.recent = False
    link.send(order)
    assert model.workers["w0"].runs == {}


# Guards against a start on its way while the request to evacuate is read.
def test_a_start_is_not_sent_once_its_data_centre_is_evacuated(model, link):
    order = place(model)
    operators = link.holder.operators
    operators.store.transact(Transaction((), (Put("op/evacuate/dc", b"{}"),)))
    link.control.before_send = operators.feed.read
    link.send(order)
    assert model.workers["w0"].runs == {}
    assert model.scheduler.state.jobs["j1"].tasks[0, 0, 0].runs == {}


# Guards against a lease by the clock of an incarnation that the directory has replaced.
def test_a_start_waits_for_the_clock_of_a_new_incarnation(model, link):
    link.greenlet.kill()
    order = place(model)
    info = dataclasses.replace(model.workers["w0"].info, born_ms=2)
    model.scheduler.update_worker(info, model.now_s)
    link.send(order)
    assert model.workers["w0"].runs == {}
    assert model.scheduler.state.jobs["j1"].tasks[0, 0, 0].runs == {}


# Guards against a worker whose entry names its incarnation and whose reports do not: no
# start would ever be admitted.
@pytest.mark.parametrize("born_ms", [0, 1])
def test_a_start_is_meant_for_the_incarnation_of_the_last_report(model, link, born_ms):
    link.greenlet.kill()
    order = place(model)
    report = model.workers["w0"].report(0)
    report = dataclasses.replace(report, born_ms=born_ms)
    model.scheduler.handle_report("w0", report, model.now_s, model.now_s)
    link.send(order)
    assert model.scheduler.state.workers["w0"].info.born_ms == 1
    assert link.control.deadline.born_ms == born_ms
