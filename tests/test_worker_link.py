"""The holder's connection to one worker."""

import gevent
import pytest

from heatherhatch_core.exceptions import ErrorKind, FencedError
from heatherhatch_daemon.pools import clock
from heatherhatch_daemon.pools.ports import DirectoryEntry
from heatherhatch_daemon.pools.worker_link import WorkerLink
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError
from pool_model import PoolModel, job_of, step_of


class Control:
    """The control of a model worker that can be silent."""

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

    def close(self):
        pass


class Holder:
    """As much of a pool's holder as a link needs."""

    def __init__(self, model, control):
        self.scheduler = model.scheduler
        self.token = 7
        self.external_ports = self
        self.control = control
        self.lost = []

    def open_worker(self, _entry):
        return self.control

    def may_renew(self):
        return True

    def may_order(self):
        return True

    def wake(self):
        pass

    def on_fenced(self, reason):
        self.lost.append(reason)

    def unlink(self, worker_id):
        pass


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1)


@pytest.fixture
def link(model):
    control = Control(model.workers["w0"])
    holder = Holder(model, control)
    entry = DirectoryEntry(model.workers["w0"].info, Address("127.0.0.1", 1))
    found = WorkerLink(holder, entry)
    yield found
    found.stop()


def wait_for(condition):
    with gevent.Timeout(30):
        while not condition():
            gevent.sleep(0.005)


def test_a_silent_worker_is_asked_but_its_lease_is_not_prolonged(link):
    wait_for(lambda: len(link.control.renewals) > 2)
    assert link.control.renewals[-1].deadline_ms > 0
    link.control.silent = True
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 3)
    assert [item.deadline_ms for item in link.control.renewals[before + 2 :]] == [
        0 for _item in link.control.renewals[before + 2 :]
    ]


def test_a_worker_that_answers_again_gets_its_lease_prolonged(link):
    link.control.silent = True
    wait_for(lambda: len(link.control.renewals) > 1)
    link.control.silent = False
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 2)
    assert link.control.renewals[-1].deadline_ms > 0


def test_the_tasks_of_a_silent_worker_run_again_once_its_lease_is_over(link, model):
    model.now_s = clock.now_s()
    model.add(job_of(step_of()))
    wait_for(lambda: len(link.control.renewals) > 1)
    link.control.silent = True
    before = len(link.control.renewals)
    wait_for(lambda: len(link.control.renewals) > before + 3)
    worker = model.scheduler.state.workers["w0"]
    over_s = worker.lease_expiry_s()
    wait_for(lambda: len(link.control.renewals) > before + 8)
    assert worker.lease_expiry_s() == over_s


def test_a_link_ends_its_role_when_a_newer_holder_gives_orders(link):
    link.control.fenced = True
    wait_for(lambda: link.holder.lost)
    assert len(link.holder.lost) == 1
