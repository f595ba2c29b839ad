"""Nodes that dispatch jobs, stepped one call at a time over a virtual clock."""

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
from heatherhatch_daemon.tasks.task_follower import TaskFollower
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


class Killed(greenlet.GreenletExit):
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
    """Everything that outlives a node."""

    config: Configuration
    now: float = 100.0
    outage: bool = False
    outage_since: float = 0.0
    up_since: float = 0.0
    leaving: dict = field(default_factory=dict)
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

    def set_outage(self, on):
        if on and not self.outage:
            self.outage_since = self.now
        if self.outage and not on:
            self.up_since = self.now
        self.outage = on

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
        """Return (job id, attempt) to the workers on which it runs."""
        found = {}
        for name, worker in self.workers.items():
            for key in worker.running():
                found.setdefault(key, []).append(name)
        return found


class SteppedStore:
    """Hands control back before and after each call; loses what it is told to."""

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
    """Reaches workers unless cut; loses answers and delays messages."""

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

    def _call(self, control, act):
        fault = self.node.pause()
        world = self.node.world
        if fault == "delayed":
            world.late.append((control, act))
        if fault in ("refused", "delayed") or control in self.node.cut_workers:
            raise ExchangeError(ErrorKind.BACKEND_FAILED, control, True)
        result = act(world.workers[control])
        if self.node.pause() == "lost":
            raise ExchangeError(ErrorKind.BACKEND_TIMEOUT, control, True)
        return result


class ListingFeed:
    """Reads all records in each round."""

    must_list = True

    def watch_from(self, revision):
        pass

    def take(self):
        return []

    def stop(self):
        pass


class FollowerFake:
    def __init__(self, world):
        self.world = world

    @property
    def config(self):
        return self.world.config

    def has_standing(self):
        return True


class Node:
    """One dispatching node; ``resume`` runs it up to its next call."""

    def __init__(self, world):
        self.world = world
        self.cut_off = False
        self.cut_workers = set()
        self.stepped = None
        self.fault = ""
        store = SteppedStore(self)
        self.store = store
        records = JobRecords(store, 86_400.0, world.clock)
        claim = Claim(store, CLAIM_S, 0.0, GRACE_S, self.may_accept, world.clock)
        tasks = TaskFollower(SteppedControl(self), LEASE_S, world.clock, run_in_turn)
        ports = DispatcherPorts(
            world.leaving.get,
            lambda _pool: world.pressure,
            self.store_lost_everywhere,
            GRACE_S,
        )
        self.dispatcher = Dispatcher(
            claim,
            records,
            ListingFeed(),
            JobLedger(store, world.clock),
            FollowerFake(world),
            tasks,
            ports,
            0.25,
            world.wall_clock,
        )

    def may_accept(self):
        world = self.world
        up = not world.outage and not self.cut_off
        return up and world.now - world.up_since >= GRACE_S

    def store_lost_everywhere(self):
        world = self.world
        return world.outage and world.now - world.outage_since >= GRACE_S / 2

    def pause(self):
        """Give control back until the node is resumed."""
        if greenlet.getcurrent() is not self.stepped:
            return ""
        self.stepped.parent.switch()
        return self.fault

    def resume(self, fault=""):
        """Run up to the next call; a fault is what happens to the call."""
        self.fault = fault
        if self.stepped is None or self.stepped.dead:
            self.stepped = greenlet.greenlet(self._step)
        self.stepped.switch()

    def finish_step(self):
        """Run the step in progress to its end, or a whole one."""
        self.resume()
        while not self.stepped.dead:
            self.resume()

    def kill(self):
        if self.stepped is not None and not self.stepped.dead:
            self.stepped.throw(Killed)
        self.stepped = None

    def _step(self):
        try:
            self.dispatcher.step()
        except StoreError:
            return


def run_in_turn(calls):
    for call in calls:
        call()


def submit(world, jobs):
    """Record jobs past the nodes, as an entry instance without faults does."""
    assert JobRecords(world.store, 86_400.0, world.clock).create(list(jobs))


def new_job(world, job_id, team="red", **spec):

    wanted = {"work_class": "books", "command": "", "run_s": 5.0, **spec}
    return Job(job_id, team, JobSpec(**wanted), world.wall_clock())


def run_until(world, nodes, condition, seconds=400.0, period_s=0.5):
    """Step nodes in turn until a condition holds."""
    end = world.now + seconds
    while world.now < end:
        for node in nodes:
            node.finish_step()
        if condition():
            return
        world.now += period_s
    raise AssertionError(f"not within {seconds} s: {world.all_jobs()}")
