"""The planner's task: its claim, its evidence, and outages of the store.

The tests guard against steps of a former holder, steps without standing, steps that
were not recorded, and a role that stays without a holder.
"""

import pytest

from heatherhatch_core.coordination.standing import PositionStatus
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, Wave, Worker, WorkerState
from heatherhatch_daemon.tasks.planner import (
    CLAIM_TTL_S,
    MAX_REPLAN_S,
    POLL_S,
    TIMING,
    PlannerPorts,
    open_planner,
)
from heatherhatch_daemon.transport.memory_store import MemoryStore


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class Log:
    """In-memory configuration log that all nodes of a test share."""

    def __init__(self, clock):
        self.clock = clock
        self.config = Configuration()
        self.actors = []

    def accept(self, actor, edit):
        check_edit(self.config, edit)
        change = Change(self.config.seq + 1, "", actor, "", self.clock(), edit)
        self.config = apply_change(self.config, change)
        self.actors.append(actor)


class StubFollower:
    """Stand-in for the parts of ``Follower`` that the planner uses.

    Attributes:
        frozen: Configuration that a paused node still sees; None if it is not paused.
        cut: True if every write fails.
    """

    def __init__(self, log, store, clock):
        self.log = log
        self.store = store
        self.clock = clock
        self.wall_clock = clock
        self.standing = True
        self.frozen = None
        self.cut = False
        self.rank = 0
        self.members = 1

    @property
    def config(self):
        return self.frozen or self.log.config

    def has_standing(self):
        return self.standing

    def in_force(self, seq):
        return PositionStatus(seq, everywhere=seq <= self.log.config.seq)

    def append(self, _change_id, actor, _reason, edit):
        if self.cut:
            raise StoreError("no answer")
        self.log.accept(actor, edit)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def log(clock):
    log = Log(clock)
    workers = tuple(
        Worker(f"w{i}", f"fd-{i}", "r", f"10.0.0.1:{i + 1}", pool)
        for i, pool in enumerate(("a", "a", "a", "spare", "spare"))
    )
    pools = (Pool("a", 3), Pool("spare", 0, spare=True))
    log.accept("test", Edit(pools=pools, workers=workers))
    return log


@pytest.fixture
def nodes(log, clock):
    store = MemoryStore(clock)
    return [open_node(log, store, clock) for _ in range(2)]


def open_node(log, store, clock):
    follower = StubFollower(log, store, clock)
    down = set()
    planner = open_planner(
        follower,
        PlannerPorts(probe=lambda names: [name not in down for name in names]),
    )
    planner.down = down
    return planner


def run_nodes(clock, nodes, seconds):
    for _ in range(int(seconds * 2)):
        clock.now_s += 0.5
        for node in nodes:
            node.step()


def announce(log, start_s, end_s, *names):
    log.accept("test", Edit(waves=(Wave("w", start_s, end_s, names),)))


def test_planner_task_is_taken_over_when_its_holder_stops(nodes, log, clock):
    first, second = nodes
    announce(log, 1100.0, 1130.0, "w0")
    run_nodes(clock, nodes, 2)
    assert first.claim.holds()
    assert not second.claim.holds()
    run_nodes(clock, [second], 60)
    assert second.claim.holds()
    run_nodes(clock, [second], 60)
    assert log.config.state_of("w0") is WorkerState.MAINTENANCE
    run_nodes(clock, [second], 60)
    assert log.config.state_of("w0") is WorkerState.SERVING
    assert len(log.config.serving_workers("a")) == 3


def open_nodes(log, store, clock, size):
    nodes = [open_node(log, store, clock) for _ in range(size)]
    for rank, node in enumerate(nodes):
        node.follower.rank = rank
        node.follower.members = size
    return nodes


def test_planner_task_polls_of_the_claim_are_shared_between_nodes(log, clock):
    store = MemoryStore(clock)
    nodes = open_nodes(log, store, clock, 7)
    run_nodes(clock, nodes, 10)
    before = store.calls
    run_nodes(clock, nodes, 70)
    # The holder renews once a second, and one of the others polls the claim meanwhile.
    assert store.calls - before <= 2 * 70


@pytest.mark.parametrize("rest_s", range(7))
def test_planner_task_is_taken_over_within_two_polls_after_expiry(log, clock, rest_s):
    store = MemoryStore(clock)
    nodes = open_nodes(log, store, clock, 7)
    run_nodes(clock, nodes, 10 + rest_s)
    holder = next(node for node in nodes if node.claim.holds())
    others = [node for node in nodes if node is not holder]
    run_nodes(clock, others, CLAIM_TTL_S + 2 * POLL_S)
    assert any(node.claim.holds() for node in others)


def test_planner_task_polls_again_soon_after_a_poll_without_an_answer(log, clock):
    store = MemoryStore(clock)
    first, second = open_nodes(log, store, clock, 7)[:2]
    run_nodes(clock, [first], 1)
    get = store.get

    def fail_to_answer(_key):
        raise StoreError("no answer")

    store.get = fail_to_answer
    with pytest.raises(StoreError):
        second.step()
    store.get = get
    assert second.claim.next_action_s - clock() <= POLL_S


def test_planner_task_does_nothing_without_standing(nodes, log, clock):
    announce(log, 1010.0, 1100.0, "w0")
    for node in nodes:
        node.follower.standing = False
    before = log.config
    run_nodes(clock, nodes, 30)
    assert log.config is before


def test_planner_task_changes_nothing_if_writes_fail(nodes, log, clock):
    announce(log, 1010.0, 1100.0, "w0")
    for node in nodes:
        node.follower.cut = True
    before = log.config
    failed_writes = 0
    for _ in range(20):
        clock.now_s += 0.5
        for node in nodes:
            try:
                node.step()
            except StoreError:
                failed_writes += 1
    assert failed_writes
    assert log.config is before


def test_planner_task_of_a_resumed_former_holder_changes_nothing(nodes, log, clock):
    first, second = nodes
    announce(log, 1100.0, 1190.0, "w0")
    run_nodes(clock, nodes, 2)
    first.follower.frozen = log.config
    run_nodes(clock, [second], 110)
    states = {name: log.config.state_of(name) for name in log.config.workers}
    assert states["w0"] is WorkerState.MAINTENANCE
    # The paused node resumes in the middle of a step, after it has checked its claim.
    first.plan = first.current_plan()
    for edit in first._due_steps().edits:
        with pytest.raises(HeatherhatchError) as caught:
            first.follower.append("id", "planner", "", edit)
        assert caught.value.kind in (
            ErrorKind.INVALID_CHANGE,
            ErrorKind.BUDGET_EXCEEDED,
        )
    assert states == {name: log.config.state_of(name) for name in log.config.workers}


def test_planner_task_records_a_failure_and_replaces_the_worker(nodes, log, clock):
    for node in nodes:
        node.down.add(log.config.workers["w1"].address)
    run_nodes(clock, nodes, 30)
    assert log.config.state_of("w1") is WorkerState.FAILED
    assert len(log.config.serving_workers("a")) == 3
    for node in nodes:
        node.down.clear()
    run_nodes(clock, nodes, 60)
    assert log.config.state_of("w1") is WorkerState.SERVING
    assert len(log.config.serving_workers("spare")) == 2


def test_planner_task_that_reaches_no_worker_records_nothing(nodes, log, clock):
    for node in nodes:
        node.down |= {worker.address for worker in log.config.workers.values()}
    before = log.config
    run_nodes(clock, nodes, 30)
    assert log.config is before


def test_planner_task_drain_time_is_of_the_current_or_next_wave(nodes, log, clock):
    now = clock()
    w1, w2, w3, w4 = sorted(log.config.workers)[:4]
    waves = (
        Wave("past", now - 20, now - 10, (w1, w2)),
        Wave("present", now - 20, now + 5000, (w4,)),
        Wave("next", now + 1000, now + 1010, (w1,)),
        Wave("later", now + 3000, now + 3010, (w1, w2)),
    )
    log.accept("operator", Edit(waves=waves))
    lead_s = TIMING.lead_s
    # No node has run a step, so that none holds the claim: the result does not depend
    # on it.
    for node in nodes:
        times = [node.drain_time(name) for name in (w1, w2, w3, w4)]
        assert times == [now + 1000 - lead_s, now + 3000 - lead_s, None, now]
    clock.now_s = now + 1010 + MAX_REPLAN_S
    for node in nodes:
        times = [node.drain_time(name) for name in (w1, w2, w3, w4)]
        assert times == [now + 3000 - lead_s, now + 3000 - lead_s, None, clock()]
