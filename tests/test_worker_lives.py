"""A worker starts again under its name without a sign, and is cut off soon after.

Guards against a task that runs twice: an order that was meant for the former
incarnation gives the new one a lease by another clock, which its holder does not know.
"""

import time

import gevent
import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Job, JobStatus, Phase, Step
from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.keys import job_key, status_key
from heatherhatch_daemon.pools.node import Node
from heatherhatch_daemon.pools.ports import ExternalPorts
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction
from heatherhatch_platform.configuration import RECORDS
from heatherhatch_platform.workers import HttpWorker
from heatherhatch_platform_standin.ledger import Ledger
from heatherhatch_platform_standin.proxy import Link
from heatherhatch_platform_standin.worker import StandinWorker

HANG_S = 30
RULES = Rules(lease_s=1.0, unfenced_s=1.4)
CONFIG = {
    "version": 1,
    "routes": [{"name": "q", "host": "h", "prefix": "/q/", "service": "till"}],
    "services": [{"name": "till"}],
    "tenants": [],
    "limits": {},
}


class DirectoryStore(MemoryStore):
    """A store in memory that workers write their entries to."""

    def put(self, key, value):
        self.transact(Transaction((), (Put(key, value),)))

    def remove(self, key):
        self.transact(Transaction((), (), (key,)))


class Fleet:
    """A node with real connections to stand-ins of workers."""

    def __init__(self):
        self.store = DirectoryStore(time.monotonic)
        self.store.put("op/config", encode_json(CONFIG))
        self.ledger = Ledger()
        self.workers = []
        self.node = self.start_node("n1")

    def start_node(self, name):
        ports = ExternalPorts(HttpWorker, None, None, RECORDS)
        node = Node(name, "1", self.store, ports, RULES, CoordinatorRules())
        node.start()
        return node

    def add_worker(self, name):
        worker = StandinWorker(name, f"m-{name}", "till", self.store, self.ledger)
        worker.started_s -= 15.0  # its clock is ahead of that of its next incarnation
        self.workers.append(worker)
        return worker

    def submit(self, job_id, run_s):
        step = Step(need=Resources(1000), estimate_s=run_s)
        job = Job(job_id, "q", "till", "", f"done {run_s}", (step,))
        status = JobStatus(Phase.QUEUED, "till", "q")
        self.store.put(status_key(job_id), encode_json(status))
        self.store.put(job_key("till", job_id), encode_json(job))

    def replace_node(self):
        """Lose the node without a release of its roles, and start another one."""
        self.stop_node()
        self.node = self.start_node("n2")

    def stop_node(self):
        gevent.killall(self.node.claims.greenlets, block=False)
        for holder in list(self.node.holders.values()):
            holder.stop()
        for watcher in (self.node.operators, self.node.directory):
            watcher.feed.stop()
        for feed in self.node.plan_watcher.feeds:
            feed.stop()
        self.node.store.stop()

    def stop(self):
        self.stop_node()
        for worker in self.workers:
            worker.stop()


@pytest.fixture
def fleet():
    running = Fleet()
    yield running
    running.stop()


def wait_for(condition):
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.01)


HOLDERS = pytest.mark.parametrize(
    "is_holder_lost", [False, True], ids=["cut", "holder lost"]
)


def cut_off_under_a_new_incarnation(fleet, run_s, is_holder_lost):
    """Let a worker start again and take a task, and cut it off; return the worker."""
    first = fleet.add_worker("w1")
    wait_for(lambda: first.deadline_ms)
    first.restart_silently(entry_after_s=HANG_S)
    fleet.submit("j1", run_s)
    wait_for(lambda: first.runs)
    first.proxy.link = Link.DOWN
    if is_holder_lost:
        fleet.replace_node()
    return first


@HOLDERS
def test_a_task_does_not_run_elsewhere_under_the_lease_of_a_new_incarnation(
    fleet, is_holder_lost
):
    cut_off_under_a_new_incarnation(fleet, 5.0, is_holder_lost)
    second = fleet.add_worker("w2")
    wait_for(lambda: second.runs)
    assert fleet.ledger.violations == []


# Guards against a start after an end as done that is acknowledged later: behind the cut
# the run ended under a lease that its holder did not know.
@HOLDERS
def test_a_task_is_not_started_after_an_end_that_is_acknowledged_after_a_cut(
    fleet, is_holder_lost
):
    first = cut_off_under_a_new_incarnation(fleet, 1.5, is_holder_lost)
    wait_for(lambda: not first.runs)
    second = fleet.add_worker("w2")
    wait_for(lambda: second.runs)
    first.proxy.link = Link.UP
    wait_for(lambda: not first.ends.rows)
    assert fleet.ledger.violations == []
