"""Whole nodes with one pool on a store in memory, and workers that answer at once."""

import time

import gevent

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.work import JobStatus, Phase
from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.keys import job_key, pool_role, status_key
from heatherhatch_daemon.pools.node import Node
from heatherhatch_daemon.pools.ports import (
    DirectoryEntry,
    ExternalPorts,
    OperatorRecords,
)
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction
from pool_model import CONFIG, POOL, QUEUE, PoolModel

HANG_S = 30  # limits a test that hangs; normally nothing takes this long
ROLE = pool_role(POOL)
WORKERS = PoolModel(workers=1).workers
RECORDS = OperatorRecords(
    prefix="op/",
    config_key="op/config",
    wave_prefix="op/wave/",
    worker_prefix="servers/",
    wave_status_prefix="status/wave/",
    read_config=lambda _data: CONFIG,
    read_wave=lambda _data: None,
    read_worker=lambda name, _data: DirectoryEntry(
        WORKERS[name].info, Address("127.0.0.1", 1)
    ),
    write_wave_progress=lambda _progress: b"{}",
    evacuation_prefix="op/evacuate/",
)


class AnsweringControl:
    """The control interface of a simulated worker that answers at once."""

    def __init__(self, worker):
        self.worker = worker

    def renew(self, renewal, _token):
        gevent.sleep(0.005)
        return self.worker.report(renewal.acked)

    def start(self, order, _deadline_ms, _token):
        return self.worker.start(order)

    def stop(self, order, _token):
        self.worker.stop(order.task, order.number)

    def close(self):
        pass


class PartialStore:
    """A node's way to a shared store, on which some reads fail.

    Attributes:
        store: The shared store.
        refused_prefixes: Prefixes that cannot be read as a whole.
    """

    def __init__(self, store):
        self.store = store
        self.refused_prefixes = set()

    def __getattr__(self, name):
        return getattr(self.store, name)

    def range(self, prefix):
        if prefix in self.refused_prefixes:
            raise StoreError("read refused")
        return self.store.range(prefix)


class PoolCluster:
    """Nodes that share one store and one worker.

    Attributes:
        store: The store that holds the records.
        worker: The only worker of the pool.
        nodes: Nodes that were started.
    """

    def __init__(self):
        self.store = MemoryStore(time.monotonic)
        self.worker = PoolModel(workers=1).workers["w0"]
        self.nodes = []
        self.put("op/config", b"1")
        self.put("servers/w0", b"1")

    def put(self, key, value):
        """Write one record."""
        self.store.transact(Transaction((), (Put(key, value),)))

    def delete(self, key):
        """Delete one record."""
        self.store.transact(Transaction((), (), (key,)))

    def put_job(self, job):
        """Store a job as the intake does."""
        status = JobStatus(Phase.QUEUED, POOL, QUEUE.name)
        self.put(status_key(job.job_id), encode_json(status))
        self.put(job_key(POOL, job.job_id), encode_json(job))

    def start_node(self, name, store=None):
        """Start a node, by default on the cluster's store."""
        ports = ExternalPorts(
            lambda _entry: AnsweringControl(self.worker), None, None, RECORDS
        )
        node = Node(name, "1", store or self.store, ports, Rules(), CoordinatorRules())
        self.nodes.append(node)
        node.start()
        return node

    def wait_for_role(self, node):
        """Wait until a node holds the pool; return its holder."""
        wait_for(lambda: ROLE in node.holders)
        return node.holders[ROLE]

    def running_jobs(self):
        """Return the jobs that have a run on the worker."""
        return {task.job_id for task, _number in self.worker.runs}

    def stop(self):
        """Stop all nodes."""
        for node in self.nodes:
            for holder in list(node.holders.values()):
                holder.stop()
            node.release_roles()
            for feed in (node.operators.feed, node.directory.feed):
                feed.stop()
            for feed in node.plan_watcher.feeds:
                feed.stop()
            node.store.stop()


def wait_for(condition):
    """Wait until a condition holds."""
    with gevent.Timeout(HANG_S):
        while not condition():
            gevent.sleep(0.01)
