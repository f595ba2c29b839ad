"""A worker restarts under its name between two renewals, unnoticed by its holder."""

import gevent
import pytest

from heatherhatch_core.coordination.scheduler import (
    StartOrder,
    StartResult,
    TaskName,
    WorkerInfo,
)
from heatherhatch_daemon.pools.ports import DirectoryEntry, Permission, Renewal
from heatherhatch_daemon.settings import Address
from heatherhatch_platform.workers import HttpWorker
from heatherhatch_platform_standin.ledger import Ledger
from heatherhatch_platform_standin.store import StandinStore
from heatherhatch_platform_standin.worker import StandinWorker

PERMISSION = Permission(1, lambda: True)
DEADLINE_MS = 60_000


@pytest.fixture
def worker():
    store = StandinStore()
    running = StandinWorker("i-1", "m-1", "till", store, Ledger())
    yield running
    running.stop()
    store.stop()


@pytest.fixture
def client(worker):
    info = WorkerInfo("i-1", "m-1", "till", "z1", worker.born_ms)
    opened = HttpWorker(DirectoryEntry(info, Address.parse(worker.server.address)))
    yield opened
    opened.close()


def run_task(client, job_id: str) -> None:
    """Start a task and wait until the worker has ended it."""
    order = StartOrder("i-1", TaskName(job_id, 0, 0, 0), 1, "done 0")
    assert client.start(order, DEADLINE_MS, PERMISSION) is StartResult.STARTED
    gevent.sleep(0.1)


# Guards against a renewal that acknowledges ends of an incarnation not heard of yet:
# the result was lost and the task ran again.
def test_ends_of_a_new_incarnation_are_not_acknowledged_unseen(worker, client):
    run_task(client, "before")
    assert len(client.renew(Renewal(DEADLINE_MS, 0, 0.0), PERMISSION).ends) == 1
    worker.restart()
    run_task(client, "after")
    report = client.renew(Renewal(DEADLINE_MS, 1, 0.0), PERMISSION)
    assert [end.task.job_id for end in report.ends] == ["after"]
    assert worker.ledger.acknowledged == set()


def test_ends_that_were_reported_are_acknowledged(worker, client):
    run_task(client, "before")
    client.renew(Renewal(DEADLINE_MS, 0, 0.0), PERMISSION)
    assert client.renew(Renewal(DEADLINE_MS, 1, 0.0), PERMISSION).ends == ()
    assert worker.ledger.acknowledged == {"before.0.0.0"}


# Guards against a lease that is counted by the clock of the former incarnation.
def test_no_lease_is_requested_by_the_clock_of_a_former_incarnation(worker, client):
    run_task(client, "before")
    client.renew(Renewal(DEADLINE_MS, 0, 0.0), PERMISSION)
    worker.restart()
    client.renew(Renewal(DEADLINE_MS, 1, 0.0), PERMISSION)
    assert worker.deadline_ms == 0
    client.renew(Renewal(DEADLINE_MS, 1, 0.0), PERMISSION)
    assert worker.deadline_ms == DEADLINE_MS
