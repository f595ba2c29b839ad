"""Simulated dispatcher nodes on a virtual clock.

A test runs each node up to its next call to the store or to a worker, so that it can
interleave the calls of several nodes and inject a fault into each call.
"""

from dataclasses import dataclass, field

import greenlet

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import ErrorKind, StoreError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_core.state.grants import GRANTS_PREFIX, GrantRecord
from heatherhatch_core.state.jobs import ENDED_PREFIX, JOBS_PREFIX, Job, JobSpec
from heatherhatch_daemon.tasks.claim import Claim
from heatherhatch_daemon.tasks.dispatcher import Dispatcher, DispatcherPorts
from heatherhatch_daemon.tasks.job_ledger import JobLedger
from heatherhatch_daemon.tasks.job_records import JobRecords, job_of
from heatherhatch_daemon.tasks.task_monitor import TaskMonitor
from heatherhatch_daemon.transport.http import ExchangeError
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.workers import TaskState
from heatherhatch_standins.faults import FaultBox
from heatherhatch_standins.worker import Worker as WorkerStandin

LEASE_S = 15.0
CLAIM_S = 6
GRACE_S = 2.0
EPOCH_S = 1e6
LIMIT = 4


class NodeKilled(greenlet.GreenletExit):
    pass


def small_fleet(workers=3, limit=LIMIT, cpus=4):
    names = [f"w{i + 1}" for i in range(workers)]
    return Configuration(
        seq=1,
        pools={"long": Pool("long", 0)},
        teams={name: Team(name, 1.0, limit) for name in ("red", "blue")},
        classes={
            "books": WorkClass("books", "long", WorkKind.JOB, 600.0, idempotent=True)
        },
        workers={
            name: Worker(name, "fd", "r", "127.0.0.1:1", "long", name, cpus, 65536)
            for name in names
        },
    )


@dataclass
class World:
    """State that outlives a node: the configuration, the store and the workers.

    Attributes:
        late: Calls that were delayed on their way to a worker, in order: the name of
            the worker and the operation.
        boxes: Injected faults by worker.
    """

    config: Configuration
    now: float = 100.0
    outage: bool = False
    outage_since_s: float = 0.0
    store_up_since_s: float = 0.0
    drain_times: dict = field(default_factory=dict)
    pressure: float = 0.0
    late: list = field(default_factory=list)

    def __post_init__(self):
        self.store = MemoryStore(self.clock)
        self.boxes = {name: FaultBox(1) for name in self.config.workers}
        self.workers = {
            name: WorkerStandin(self.boxes[name], self.clock)
            for name in self.config.workers
        }

    def clock(self):
        return self.now

    def wall_clock(self):
        return EPOCH_S + self.now

    def set_outage(self, is_outage):
        if is_outage and not self.outage:
            self.outage_since_s = self.now
        if self.outage and not is_outage:
            self.store_up_since_s = self.now
        self.outage = is_outage

    def jobs(self, prefix=JOBS_PREFIX):
        keys = self.store.entries.irange(prefix, prefix + "~")
        return {
            job.job_id: job for job in (job_of(self.store.entries[k]) for k in keys)
        }

    def all_jobs(self):
        return {**self.jobs(), **self.jobs(ENDED_PREFIX)}

    def grants(self):
        keys = self.store.entries.irange(GRANTS_PREFIX, GRANTS_PREFIX + "~")
        records = [decode_json(self.store.entries[k].value, GrantRecord) for k in keys]
        return {record.team: record for record in records}

    def running_attempts(self):
        """Return the workers that run each attempt, by job id and attempt."""
        workers_by_attempt = {}
        for name, worker in self.workers.items():
            for key in worker.running():
                workers_by_attempt.setdefault(key, []).append(name)
        return workers_by_attempt


class SteppedStore:
    """Store client that suspends its node before and after each call.

    It raises an error for each call that is to be refused or whose answer is lost.
    """

    def __init__(self, node):
        self.node = node
        self.calls = 0

    def __getattr__(self, name):
        method = getattr(self.node.world.store, name)

        def call(*args, **kwargs):
            self.calls += 1
            fault = self.node.pause()
            if self.node.world.outage or self.node.cut_off or fault == "refused":
                raise StoreError(name, False)
            result = method(*args, **kwargs)
            if self.node.pause() == "lost" or self.node.world.outage:
                raise StoreError(name, True)
            return result

        return call


class SteppedControl:
    """Worker control that suspends its node before and after each call.

    A call can be refused, delayed until the test delivers it, or lose its answer.
    """

    def __init__(self, node):
        self.node = node

    def sync(self, control, message):
        return self._call(control, lambda worker: worker.sync(message))

    def start(self, control, order):
        return self._call(control, lambda worker: worker.start(order))

    def checkpoint(self, control, job_id, attempt):

        state = TaskState.CHECKPOINTED
        return self._call(control, lambda worker: worker.end(job_id, attempt, state))

    def stop(self, control, job_id, attempt):

        state = TaskState.STOPPED
        return self._call(control, lambda worker: worker.end(job_id, attempt, state))

    def throttle(self, control, job_id, attempt, share):
        self._call(control, lambda worker: worker.throttle(job_id, attempt, share))

    def _call(self, control, operation):
        fault = self.node.pause()
        world = self.node.world
        if fault == "delayed":
            world.late.append((control, operation))
        if fault in ("refused", "delayed") or control in self.node.cut_workers:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, control, True)
        result = operation(world.workers[control])
        if self.node.pause() == "lost":
            raise ExchangeError(ErrorKind.BACKEND_TIMEOUT, control, True)
        return result


class ListingFeed:
    """Feed without a watch, so that the dispatcher lists all records in each round."""

    needs_relist = True

    def watch_from(self, revision):
        pass

    def take(self):
        return []

    def stop(self):
        pass


class FakeFollower:
    def __init__(self, world):
        self.world = world

    @property
    def config(self):
        return self.world.config

    def has_standing(self):
        return True


class Node:
    """A node with a dispatcher; ``resume`` runs it up to its next call."""

    def __init__(self, world):
        self.world = world
        self.cut_off = False
        self.cut_workers = set()
        self.step_greenlet = None
        self.fault = ""
        store = SteppedStore(self)
        self.store = store
        records = JobRecords(store, 86_400.0, world.clock)
        claim = Claim(store, CLAIM_S, 0.0, GRACE_S, self.may_accept, world.clock)
        tasks = TaskMonitor(
            SteppedControl(self), LEASE_S, world.clock, run_sequentially
        )
        ports = DispatcherPorts(
            world.drain_times.get,
            lambda _pool: world.pressure,
            self.store_lost_everywhere,
            GRACE_S,
        )
        self.dispatcher = Dispatcher(
            claim,
            records,
            ListingFeed(),
            JobLedger(store, world.clock),
            FakeFollower(world),
            tasks,
            ports,
            0.25,
            world.wall_clock,
        )

    def may_accept(self):
        world = self.world
        up = not world.outage and not self.cut_off
        return up and world.now - world.store_up_since_s >= GRACE_S

    def store_lost_everywhere(self):
        world = self.world
        return world.outage and world.now - world.outage_since_s >= GRACE_S / 2

    def pause(self):
        """Suspend the node until it is resumed; return the fault of the call."""
        if greenlet.getcurrent() is not self.step_greenlet:
            return ""
        self.step_greenlet.parent.switch()
        return self.fault

    def resume(self, fault=""):
        """Run up to the next call and inject a fault into the call in progress."""
        self.fault = fault
        if self.step_greenlet is None or self.step_greenlet.dead:
            self.step_greenlet = greenlet.greenlet(self._step)
        self.step_greenlet.switch()

    def finish_step(self):
        """Run the step in progress to its end, or else a whole step."""
        self.resume()
        while not self.step_greenlet.dead:
            self.resume()

    def kill(self):
        if self.step_greenlet is not None and not self.step_greenlet.dead:
            self.step_greenlet.throw(NodeKilled)
        self.step_greenlet = None

    def _step(self):
        try:
            self.dispatcher.step()
        except StoreError:
            return


def run_sequentially(calls):
    for call in calls:
        call()


def submit(world, jobs):
    """Write jobs to the store directly, without the simulated nodes and faults."""
    assert JobRecords(world.store, 86_400.0, world.clock).create(list(jobs))


def new_job(world, job_id, team="red", **spec):

    fields = {"work_class": "books", "command": "", "run_s": 5.0, **spec}
    return Job(job_id, team, JobSpec(**fields), world.wall_clock())


def run_until(world, nodes, condition, seconds=400.0, period_s=0.5):
    """Run the steps of the nodes in turn until a condition holds."""
    end = world.now + seconds
    while world.now < end:
        for node in nodes:
            node.finish_step()
        if condition():
            return
        world.now += period_s
    raise AssertionError(f"condition not met within {seconds} s: {world.all_jobs()}")
