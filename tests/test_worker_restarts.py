"""A worker restarts under its name between two renewals, unnoticed by its holder."""

import gevent
import pytest

from heatherhatch_core.coordination.scheduler import (
    StartOrder,
    StartResult,
    TaskName,
    WorkerInfo,
)
from heatherhatch_core.exceptions import WrongIncarnationError
from heatherhatch_daemon.pools.ports import (
    Deadline,
    DirectoryEntry,
    Permission,
    Renewal,
)
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError
from heatherhatch_platform.workers import HttpWorker
from heatherhatch_platform_standin.ledger import Ledger
from heatherhatch_platform_standin.store import StandinStore
from heatherhatch_platform_standin.worker import StandinWorker

PERMISSION = Permission(1, lambda: True)
DEADLINE_MS = 60_000
LEASE_MS = 9_000


@pytest.fixture
def worker():
    store = StandinStore()
    running = StandinWorker("i-1", "m-1", "till", store, Ledger())
    yield running
    running.stop()
    store.stop()


@pytest.fixture
def client(worker):
    opened = open_client(worker, worker.server.address)
    yield opened
    opened.close()


def open_client(worker, address: str) -> HttpWorker:
    info = WorkerInfo("i-1", "m-1", "till", "z1", worker.born_ms)
    return HttpWorker(DirectoryEntry(info, Address.parse(address)))


def run_task(client, worker, job_id: str) -> None:
    """Start a task and wait until the worker has ended it."""
    order = StartOrder("i-1", TaskName(job_id, 0, 0, 0), 1, "done 0")
    deadline = Deadline(DEADLINE_MS, worker.born_ms)
    assert client.start(order, deadline, PERMISSION) is StartResult.STARTED
    gevent.sleep(0.1)


# Guards against a renewal that acknowledges ends of an incarnation not heard of yet:
# the result was lost and the task ran again.
def test_ends_of_a_new_incarnation_are_not_acknowledged_unseen(worker, client):
    run_task(client, worker, "before")
    assert len(client.renew(Renewal(DEADLINE_MS, 0, 0.0), PERMISSION).ends) == 1
    worker.restart()
    run_task(client, worker, "after")
    report = client.renew(Renewal(DEADLINE_MS, 1, 0.0), PERMISSION)
    assert [end.task.job_id for end in report.ends] == ["after"]
    assert worker.ledger.acknowledged == set()


def test_ends_that_were_reported_are_acknowledged(worker, client):
    run_task(client, worker, "before")
    client.renew(Renewal(DEADLINE_MS, 0, 0.0), PERMISSION)
    assert client.renew(Renewal(DEADLINE_MS, 1, 0.0), PERMISSION).ends == ()
    assert worker.ledger.acknowledged == {"before.0.0.0"}


# Guards against a lease that is counted by the clock of the former incarnation.
def test_no_lease_is_requested_by_the_clock_of_a_former_incarnation(worker, client):
    run_task(client, worker, "before")
    client.renew(Renewal(LEASE_MS, 0, 0.0), PERMISSION)
    worker.restart()
    client.renew(Renewal(LEASE_MS, 1, 0.0), PERMISSION)
    assert worker.deadline_ms == 0
    client.renew(Renewal(LEASE_MS, 1, 0.0), PERMISSION)
    assert worker.deadline_ms == LEASE_MS


# Guards against a run on an incarnation that is not heard of yet: it holds a lease by
# its own clock, longer than its holder counts.
def test_no_run_starts_on_an_incarnation_that_is_not_heard_of(worker, client):
    former = Deadline(DEADLINE_MS, worker.born_ms)
    order = StartOrder("i-1", TaskName("j1", 0, 0, 0), 1, "done 9")
    gevent.sleep(0.002)  # two incarnations start at different milliseconds
    worker.restart()
    for _attempt in range(2):
        with pytest.raises(WrongIncarnationError):
            client.start(order, former, PERMISSION)
    assert not worker.runs


# Guards against a start at an incarnation that does not name itself, though its worker
# has named the one whose clock the deadline is read from.
@pytest.mark.parametrize("has_named", [True, False])
def test_a_greeting_without_an_incarnation_admits_starts_if_no_report_names_one(
    worker, client, monkeypatch, has_named
):
    renew = worker._renew_lease
    monkeypatch.setattr(
        worker, "_renew_lease", lambda body: (200, {**renew(body)[1], "born": 0})
    )
    deadline = Deadline(DEADLINE_MS, worker.born_ms if has_named else 0)
    order = StartOrder("i-1", TaskName("j1", 0, 0, 0), 1, "done 9")
    if has_named:
        with pytest.raises(WrongIncarnationError):
            client.start(order, deadline, PERMISSION)
    else:
        assert client.start(order, deadline, PERMISSION) is StartResult.STARTED
    assert bool(worker.runs) is not has_named


def test_the_renewal_under_way_ends_once_another_incarnation_answers(worker):
    client = open_client(worker, worker.proxy.address)
    client.renew(Renewal(LEASE_MS, 0, 0.0), PERMISSION)
    waiting = gevent.spawn(client.renew, Renewal(LEASE_MS, 0, 2.0), PERMISSION)
    gevent.sleep(0.1)
    former = Deadline(DEADLINE_MS, worker.born_ms)
    worker.restart_silently(entry_after_s=0.0)
    order = StartOrder("i-1", TaskName("j1", 0, 0, 0), 1, "done 9")
    with pytest.raises(WrongIncarnationError):
        client.start(order, former, PERMISSION)
    with pytest.raises(ExchangeError), gevent.Timeout(1.0):
        waiting.get()


def test_a_start_was_not_sent_if_its_greeting_was_refused(worker, client, monkeypatch):
    monkeypatch.setattr(worker, "_renew_lease", lambda _body: (503, {}))
    order = StartOrder("i-1", TaskName("j1", 0, 0, 0), 1, "done 9")
    deadline = Deadline(DEADLINE_MS, worker.born_ms)
    assert client.start(order, deadline, PERMISSION) is StartResult.UNWELL
    assert not worker.runs


def test_a_connection_is_greeted_once(worker, client):
    for job_id in ("j1", "j2"):
        run_task(client, worker, job_id)
    assert client.client.pool.opened == 1
    assert worker.requests == {"/hold": 1, "/run-start": 2}
