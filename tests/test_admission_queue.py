"""Order in which a node starts waiting requests, and which of them it refuses."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heatherhatch_core.coordination import admission_queue
from heatherhatch_core.coordination.admission_queue import (
    AdmissionQueue,
    AdmissionTicket,
    RefusalReason,
)
from heatherhatch_core.coordination.service_times import WINDOW_SIZE, ServiceTimes

POOL = "tills"


class QueueHarness:
    """An admission queue with a manual clock that records starts and refusals."""

    def __init__(self, budget, parts=None, allowances=None):
        self.allowances = allowances if allowances is not None else {}
        self.queue = AdmissionQueue(lambda team: self.allowances.get(team, 1000))
        self.queue.set_division(POOL, budget, parts or {})
        self.numbers = itertools.count()
        self.now_s = 100.0
        self.started = []
        self.refused = []

    def submit(self, team, timeout_s=10.0, work_class="stock", pool=POOL):
        deadline = self.now_s + timeout_s
        ticket = AdmissionTicket(deadline, next(self.numbers), team, pool, work_class)
        self.record(self.queue.offer(ticket, self.now_s))
        return ticket

    def finish(self, ticket, held_s=0.1):
        self.started.remove(ticket)
        self.record(self.queue.release(ticket, held_s, self.now_s))

    def record(self, result):
        self.started += result.started
        self.refused += result.refused

    def add_service_times(self, seconds, count=50, work_class="stock"):
        times = self.queue.times.setdefault(work_class, ServiceTimes())
        for _ in range(count):
            times.add(seconds)


def test_admission_queue_starts_earliest_deadline_of_a_team_first():
    harness = QueueHarness(1)
    first = harness.submit("red")
    later, sooner = harness.submit("red", 5.0), harness.submit("red", 1.0)
    harness.finish(first)
    assert harness.started == [sooner]
    harness.finish(sooner)
    assert harness.started == [later]


def test_admission_queue_does_not_block_one_team_behind_another():
    harness = QueueHarness(2, {"red": 1.0, "blue": 1.0})
    red = [harness.submit("red") for _ in range(50)]
    blue = harness.submit("blue")
    harness.finish(red[0])
    assert harness.started == [red[1], blue]


def test_admission_queue_divides_running_units_by_parts():
    harness = QueueHarness(8, {"red": 6.0, "blue": 2.0})
    for _ in range(40):
        harness.submit("red")
        harness.submit("blue")
    for _ in range(30):
        harness.finish(harness.started[0])
    running = [ticket.team for ticket in harness.started]
    assert (running.count("red"), running.count("blue")) == (6, 2)


def test_admission_queue_alternates_teams_with_parts_below_one_unit():
    harness = QueueHarness(2, {"red": 1.75, "blue": 0.25})
    for _ in range(100):
        harness.submit("red")
        harness.submit("blue")
    served = []
    for _ in range(80):
        harness.now_s += 0.05
        served.append(harness.started[0].team)
        harness.finish(harness.started[0])
    assert served.count("blue") == pytest.approx(80 / 8, abs=1)


def test_admission_queue_charges_teams_for_the_time_units_are_held():
    harness = QueueHarness(2, {"red": 1.0, "blue": 1.0})
    held_s = {"red": 0.3, "blue": 0.1}
    harness.add_service_times(0.2)
    for _ in range(300):
        harness.submit("red", 1000.0)
        harness.submit("blue", 1000.0)
    ends = {}
    used = dict.fromkeys(held_s, 0.0)
    for _ in range(300):
        for ticket in harness.started:
            ends.setdefault(ticket, harness.now_s + held_s[ticket.team])
        ticket = min(harness.started, key=ends.get)
        harness.now_s = ends[ticket]
        used[ticket.team] += held_s[ticket.team]
        harness.finish(ticket, held_s[ticket.team])
    assert used["red"] == pytest.approx(used["blue"], rel=0.05)


def test_admission_queue_does_not_compensate_for_borrowed_capacity():
    harness = QueueHarness(1, {"red": 0.5, "blue": 0.5})
    for _ in range(100):
        harness.submit("red")
    for _ in range(50):
        harness.finish(harness.started[0])
    for _ in range(40):
        harness.submit("blue")
    served = []
    for _ in range(20):
        harness.finish(harness.started[0])
        served.append(harness.started[0].team)
    assert served.count("blue") == pytest.approx(10, abs=1)


def test_admission_queue_lets_a_team_use_capacity_that_others_do_not_want():
    harness = QueueHarness(4, {"red": 1.0, "blue": 3.0})
    for _ in range(4):
        harness.submit("red")
    assert len(harness.started) == 4


def test_admission_queue_skips_a_team_without_allowance():
    harness = QueueHarness(4, {}, {"red": 1})
    held, waiting_ticket = harness.submit("red"), harness.submit("red")
    blue = harness.submit("blue")
    assert harness.started == [held, blue]
    assert harness.queue.missing("red", POOL) == 1
    harness.allowances["red"] = 2
    harness.record(harness.queue.refresh(harness.now_s))
    assert harness.started == [held, blue, waiting_ticket]


def test_admission_queue_moves_a_released_unit_of_the_limit_to_another_pool():
    harness = QueueHarness(4, {}, {"red": 1})
    harness.queue.set_division("other", 4, {})
    first = harness.submit("red")
    other = harness.submit("red", pool="other")
    harness.finish(first)
    assert harness.started == [other]


def test_admission_queue_refuses_at_once_what_cannot_meet_its_deadline():
    harness = QueueHarness(2)
    harness.add_service_times(1.0)
    for _ in range(12):
        harness.submit("red", 4.0)
    # Two requests run. Within the four seconds, 2 units serve 2 requests a second,
    # and the last request needs one second itself, so 6 requests can wait.
    assert len(harness.started) == 2
    assert len(harness.refused) == 4
    assert all(refusal.why is RefusalReason.POOL for refusal in harness.refused)
    assert all(refusal.retry_after_s >= 0.5 for refusal in harness.refused)


def test_admission_queue_refuses_the_latest_deadline_first():
    harness = QueueHarness(1)
    harness.add_service_times(1.0)
    harness.submit("red", 9.0)
    slow = [harness.submit("red", 3.0) for _ in range(2)]
    urgent = harness.submit("red", 2.5)
    assert [refusal.ticket for refusal in harness.refused] == [slow[1]]
    assert urgent not in [refusal.ticket for refusal in harness.refused]


def test_admission_queue_refuses_waiting_requests_that_became_late():
    harness = QueueHarness(1)
    harness.add_service_times(0.5)
    harness.submit("red", 9.0)
    waiting_ticket = harness.submit("red", 2.0)
    harness.now_s += 1.2
    harness.record(harness.queue.refresh(harness.now_s))
    assert [refusal.ticket for refusal in harness.refused] == [waiting_ticket]


def test_admission_queue_does_not_start_withdrawn_requests():
    harness = QueueHarness(1)
    first, disconnected, last = (
        harness.submit("red"),
        harness.submit("red"),
        harness.submit("red"),
    )
    harness.queue.withdraw(disconnected)
    harness.finish(first)
    assert harness.started == [last]


def test_admission_queue_limits_waiting_requests_per_team(monkeypatch):
    monkeypatch.setattr(admission_queue, "MAX_WAITING_PER_TEAM", 3)
    harness = QueueHarness(1)
    for _ in range(5):
        harness.submit("red")
    assert [refusal.why for refusal in harness.refused] == [RefusalReason.FULL]


def test_service_times_drop_the_oldest_samples():
    times = ServiceTimes()
    for _ in range(WINDOW_SIZE):
        times.add(9.0)
    for _ in range(WINDOW_SIZE):
        times.add(1.0)
    assert times.mean_s == pytest.approx(1.0)
    assert times.quantile_s(0.99) == 1.0


class QueueMachine(RuleBasedStateMachine):
    """No unit is lost or assigned twice under any sequence of operations."""

    teams = ("red", "blue", "")

    def __init__(self):
        super().__init__()
        self.harness = QueueHarness(3, {"red": 1.5, "blue": 1.5}, {"red": 2, "blue": 2})
        self.submitted = []

    @rule(team=st.sampled_from(teams), timeout_s=st.floats(0.1, 5.0))
    def submit(self, team, timeout_s):
        self.submitted.append(self.harness.submit(team, timeout_s))

    @rule(index=st.integers(0, 9), held_s=st.floats(0.0, 3.0))
    def finish(self, index, held_s):
        if self.harness.started:
            ticket = self.harness.started[index % len(self.harness.started)]
            self.submitted.remove(ticket)
            self.harness.finish(ticket, held_s)

    @rule(index=st.integers(0, 9))
    def withdraw(self, index):
        waiting = self.waiting()
        if waiting:
            ticket = waiting[index % len(waiting)]
            self.submitted.remove(ticket)
            self.harness.queue.withdraw(ticket)

    @rule(seconds=st.floats(0.0, 2.0))
    def advance_clock(self, seconds):
        self.harness.now_s += seconds
        self.harness.record(self.harness.queue.refresh(self.harness.now_s))

    @rule(budget=st.integers(0, 6), red=st.floats(0, 6), allowance=st.integers(0, 4))
    def change_division(self, budget, red, allowance):
        self.harness.allowances["red"] = allowance
        self.harness.queue.set_division(POOL, budget, {"red": red, "blue": 1.0})
        self.harness.record(self.harness.queue.refresh(self.harness.now_s))

    def waiting(self):
        refused = {refusal.ticket for refusal in self.harness.refused}
        return [
            t
            for t in self.submitted
            if t not in self.harness.started and t not in refused
        ]

    @invariant()
    def counts_match_the_queue(self):
        pool = self.harness.queue.pool(POOL)
        assert pool.running_total == len(self.harness.started)
        assert self.harness.queue.waiting_total == len(self.waiting())
        queued = sum(len(queue) for queue in pool.waiting.values())
        assert queued == len(self.waiting())

    @invariant()
    def free_units_have_no_eligible_waiting_requests(self):
        pool = self.harness.queue.pool(POOL)
        if pool.running_total >= pool.budget:
            return
        for team in self.teams:
            allowance = self.harness.allowances.get(team, 1000)
            if pool.waiting.get(team):
                assert self.harness.queue.team_running[team] >= allowance


TestAdmissionQueue = QueueMachine.TestCase
TestAdmissionQueue.settings = settings(max_examples=60, stateful_step_count=40)
