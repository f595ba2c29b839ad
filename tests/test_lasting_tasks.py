"""No order takes a lasting task away while too many others of its step are away.

Guards against two orders close together, each of which was right by what its sender
knew: of a former and a new holder, or of a holder and the coordinator.
"""

import time
from dataclasses import replace

import gevent
import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Ending, Rules, Scheduler, TaskName
from heatherhatch_core.exceptions import ErrorKind
from heatherhatch_core.state.fleet_configuration import FleetConfiguration, Pool
from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Progress, RunRecord, TaskRecord
from heatherhatch_daemon.pools import machine_orders
from heatherhatch_daemon.pools.coordinator import Coordinator
from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.fleet_records import FleetPlan, MachineLoad, PoolReport
from heatherhatch_daemon.pools.keys import (
    COORDINATOR,
    PLAN_KEY,
    claim_key,
    pool_role,
    report_key,
)
from heatherhatch_daemon.pools.machine_orders import MachineOrders, Move
from heatherhatch_daemon.pools.ports import ExternalPorts, OperatorRecords
from heatherhatch_daemon.pools.record_watchers import PlanWatcher
from heatherhatch_daemon.transport.http import ExchangeError
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction
from pool_model import CONFIG, POOL, PoolModel, make_job, make_step

LOAD_S = 5.0  # a slow store delays a new holder's read of its records by seconds
STOP_S = Rules().stop_s
STANDBY = "off"
TOKEN = 3


@pytest.fixture
def handed_over() -> PoolModel:
    """Return a pool whose new holder has read a job with two lasting tasks."""
    model = PoolModel(workers=2)
    tasks = []
    for index in range(2):
        run = RunRecord(1, f"w{index}", 1)
        tasks.append(TaskRecord(0, 0, index, 1, 0, False, "", (run,)))
        model.workers[f"w{index}"].runs[TaskName("j1", 0, 0, index), 1] = 100
    model.scheduler = Scheduler(POOL, Rules(), model.now_s)
    model.scheduler.configure(CONFIG)
    model.now_s += LOAD_S
    job = make_job(make_step(2, lasting=True, may_miss=1))
    model.scheduler.add_job(job, Progress(tuple(tasks)), model.now_s)
    for worker in model.workers.values():
        model.scheduler.update_worker(worker.info, model.now_s)
    return model


def test_a_holder_whose_load_was_slow_awaits_the_stops_of_the_former_one(handed_over):
    model = handed_over
    model.scheduler.set_drains({"m0": 1}, {})
    # The former holder's stop of the other task is in progress: it is still listed.
    model.receive_reports()
    model.round()
    assert len(model.alive_runs()) == 2
    model.workers["w1"].end(TaskName("j1", 0, 0, 1), 1, Ending.STOPPED)
    model.now_s += STOP_S
    model.receive_reports()
    model.round()
    assert ("w0", TaskName("j1", 0, 0, 0), 1) in model.alive_runs()


def test_a_holder_moves_tasks_once_no_former_stop_can_be_in_progress(handed_over):
    model = handed_over
    model.scheduler.set_drains({"m0": 1}, {})
    model.receive_reports()
    model.now_s += STOP_S + 0.2
    model.receive_reports()
    model.round()
    assert [worker for worker, _task, _run in model.alive_runs()] == ["w1"]


def test_a_machine_that_has_left_is_not_reported_as_empty():
    model = PoolModel(workers=2)
    model.scheduler.set_drains({}, {"m0": 4})
    assert model.scheduler.cleared() == {"m0": 4}
    former = model.workers["w0"].info
    model.scheduler.note_machine_left(
        replace(former, worker_id="w9", pool="wall", born_ms=former.born_ms + 1)
    )
    assert model.scheduler.cleared() == {}


class BlockingProvider:
    """A provider whose moves are carried out when the test lets them be."""

    def __init__(self, machines):
        self.listed = machines
        self.moved = []
        self.gate = gevent.event.Event()

    def machines(self):
        return self.listed

    def move(self, machine, pool, _holder, _token):
        self.gate.wait()
        self.moved.append((machine, pool))
        return True


class HeldClaims:
    """The claims of a node that holds the coordinator's role."""

    def __init__(self, free_roles):
        self.free_roles = free_roles

    def token(self, _role):
        return TOKEN

    def holds(self, _role):
        return True

    def expect(self, role):
        return Expect(claim_key(role), self.free_roles.claims[role].revision)


class SeenClaims:
    """The claims of all roles as the feed shows them."""

    def __init__(self, store):
        self.claims = {
            role: store.get(claim_key(role)) for role in (COORDINATOR, pool_role(POOL))
        }


class StillOperators:
    """The records of operators who have announced no wave."""

    config = FleetConfiguration(1, (), (Pool(POOL), Pool(STANDBY, standby=True)))
    waves = {}


# Pattern: a turn ends, and the pool's idle machines are switched off one after another,
# while lasting tasks look for a place.
def test_a_machine_is_closed_to_new_runs_until_its_move_is_carried_out():
    store = MemoryStore(time.monotonic)

    def put(key, value):
        store.transact(Transaction((), (Put(key, value),)))
        return store.get(key).revision

    put(claim_key(COORDINATOR), b"me/1")
    token = put(claim_key(pool_role(POOL)), b"other/1")
    names = [f"m{number}" for number in range(6)]
    machines = tuple(
        Machine(name, POOL, MachineState.UP, capacity=Resources(32_000, 64_000))
        for name in names
    )
    provider = BlockingProvider(machines)
    watcher = PlanWatcher(store)
    coordinator = Coordinator(
        "me",
        TOKEN,
        HeldClaims(SeenClaims(store)),
        store,
        ExternalPorts(None, provider, None, OperatorRecords(*[""] * 5, *[None] * 4)),
        StillOperators(),
        watcher,
        CoordinatorRules(),
    )
    coordinator.sizes.sizer.rules = replace(
        coordinator.sizes.sizer.rules, release_after_s=0.0
    )
    loads = tuple(MachineLoad(name, 0, 0) for name in names)

    def report():
        requested = {**watcher.plan.resting, **watcher.plan.vacating}
        record = PoolReport(POOL, token, 0.0, {}, 0, loads, requested)
        put(report_key(POOL), encode_json(record))
        coordinator.reports.feed.read()

    report()
    coordinator._round()
    released = set(watcher.plan.resting)
    assert released
    report()
    round_ = gevent.spawn(coordinator._round)
    gevent.sleep(0.05)
    assert provider.moved == []
    stored = store.get(PLAN_KEY)
    assert released <= set(watcher.plan.resting)
    assert stored.revision == watcher.plan_revision
    provider.gate.set()
    round_.get()
    assert {name for name, _pool in provider.moved} == released
    # The list does not show the moves yet.
    coordinator._round()
    assert released <= set(watcher.plan.resting)
    provider.listed = tuple(
        replace(item, pool=STANDBY) if item.name in released else item
        for item in machines
    )
    coordinator.machines_read_s = float("-inf")
    coordinator._round()
    assert not released & set(watcher.plan.resting)
    assert isinstance(watcher.plan, FleetPlan)


def test_a_machine_whose_move_got_no_answer_stays_closed_while_it_may_come(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(machine_orders, "now_s", lambda: now[0])

    class SilentProvider:
        def move(self, *_order):
            raise ExchangeError(ErrorKind.BACKEND_TIMEOUT, "no answer", True)

    orders = MachineOrders(SilentProvider(), "me", TOKEN, lambda: True, 2.0)
    machine = Machine("m1", POOL, MachineState.UP)
    assert orders.send_all([Move("m1", STANDBY)]) == 0
    now[0] += 12
    assert orders.leaving({"m1": machine}) == {"m1"}
    assert orders.leaving({"m1": replace(machine, pool=STANDBY)}) == set()
