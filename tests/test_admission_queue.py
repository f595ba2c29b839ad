"""The order in which waiting requests of a node start."""

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


class Desk:
    """A queue with a clock, and everything that it said."""

    def __init__(self, budget, parts=None, allowances=None):
        self.allowances = allowances if allowances is not None else {}
        self.queue = AdmissionQueue(lambda team: self.allowances.get(team, 1000))
        self.queue.set_division(POOL, budget, parts or {})
        self.numbers = itertools.count()
        self.now_s = 100.0
        self.started = []
        self.refused = []

    def ask(self, team, due_s=10.0, work_class="stock", pool=POOL):
        deadline = self.now_s + due_s
        ticket = AdmissionTicket(deadline, next(self.numbers), team, pool, work_class)
        self.take(self.queue.offer(ticket, self.now_s))
        return ticket

    def end(self, ticket, held_s=0.1):
        self.started.remove(ticket)
        self.take(self.queue.release(ticket, held_s, self.now_s))

    def take(self, result):
        self.started += result.started
        self.refused += result.refused

    def learn(self, seconds, count=50, work_class="stock"):
        times = self.queue.times.setdefault(work_class, ServiceTimes())
        for _ in range(count):
            times.add(seconds)


def test_admission_queue_starts_the_most_urgent_of_a_team_first():
    desk = Desk(1)
    first = desk.ask("red")
    later, sooner = desk.ask("red", 5.0), desk.ask("red", 1.0)
    desk.end(first)
    assert desk.started == [sooner]
    desk.end(sooner)
    assert desk.started == [later]


def test_admission_queue_lets_no_team_wait_behind_another_ones_queue():
    desk = Desk(2, {"red": 1.0, "blue": 1.0})
    red = [desk.ask("red") for _ in range(50)]
    blue = desk.ask("blue")
    desk.end(red[0])
    assert desk.started == [red[1], blue]


def test_admission_queue_runs_teams_by_their_parts():
    desk = Desk(8, {"red": 6.0, "blue": 2.0})
    for _ in range(40):
        desk.ask("red")
        desk.ask("blue")
    for _ in range(30):
        desk.end(desk.started[0])
    running = [ticket.team for ticket in desk.started]
    assert (running.count("red"), running.count("blue")) == (6, 2)


def test_admission_queue_keeps_parts_below_one_unit_by_turns():
    desk = Desk(2, {"red": 1.75, "blue": 0.25})
    for _ in range(100):
        desk.ask("red")
        desk.ask("blue")
    served = []
    for _ in range(80):
        desk.now_s += 0.05
        served.append(desk.started[0].team)
        desk.end(desk.started[0])
    assert served.count("blue") == pytest.approx(80 / 8, abs=1)


def test_admission_queue_counts_the_time_that_units_are_held():
    desk = Desk(2, {"red": 1.0, "blue": 1.0})
    held_s = {"red": 0.3, "blue": 0.1}
    desk.learn(0.2)
    for _ in range(300):
        desk.ask("red", 1000.0)
        desk.ask("blue", 1000.0)
    ends = {}
    used = dict.fromkeys(held_s, 0.0)
    for _ in range(300):
        for ticket in desk.started:
            ends.setdefault(ticket, desk.now_s + held_s[ticket.team])
        ticket = min(desk.started, key=ends.get)
        desk.now_s = ends[ticket]
        used[ticket.team] += held_s[ticket.team]
        desk.end(ticket, held_s[ticket.team])
    assert used["red"] == pytest.approx(used["blue"], rel=0.05)


def test_admission_queue_neither_pays_nor_owes_for_what_was_lent():
    desk = Desk(1, {"red": 0.5, "blue": 0.5})
    for _ in range(100):
        desk.ask("red")
    for _ in range(50):
        desk.end(desk.started[0])
    for _ in range(40):
        desk.ask("blue")
    served = []
    for _ in range(20):
        desk.end(desk.started[0])
        served.append(desk.started[0].team)
    assert served.count("blue") == pytest.approx(10, abs=1)


def test_admission_queue_lends_what_is_not_asked_for():
    desk = Desk(4, {"red": 1.0, "blue": 3.0})
    for _ in range(4):
        desk.ask("red")
    assert len(desk.started) == 4


def test_admission_queue_skips_a_team_without_allowance():
    desk = Desk(4, {}, {"red": 1})
    held, waits = desk.ask("red"), desk.ask("red")
    blue = desk.ask("blue")
    assert desk.started == [held, blue]
    assert desk.queue.missing("red", POOL) == 1
    desk.allowances["red"] = 2
    desk.take(desk.queue.refresh(desk.now_s))
    assert desk.started == [held, blue, waits]


def test_admission_queue_gives_a_unit_of_the_limit_to_another_pool():
    desk = Desk(4, {}, {"red": 1})
    desk.queue.set_division("other", 4, {})
    first = desk.ask("red")
    other = desk.ask("red", pool="other")
    desk.end(first)
    assert desk.started == [other]


def test_admission_queue_refuses_at_once_what_cannot_be_in_time():
    desk = Desk(2)
    desk.learn(1.0)
    for _ in range(12):
        desk.ask("red", 4.0)
    # Two run; in the four seconds 2 units serve 2 a second, the last of them
    # needs its own second, so 6 can wait.
    assert len(desk.started) == 2
    assert len(desk.refused) == 4
    assert all(refusal.why is RefusalReason.POOL for refusal in desk.refused)
    assert all(refusal.retry_after_s >= 0.5 for refusal in desk.refused)


def test_admission_queue_refuses_the_least_urgent():
    desk = Desk(1)
    desk.learn(1.0)
    desk.ask("red", 9.0)
    slow = [desk.ask("red", 3.0) for _ in range(2)]
    urgent = desk.ask("red", 2.5)
    assert [refusal.ticket for refusal in desk.refused] == [slow[1]]
    assert urgent not in [refusal.ticket for refusal in desk.refused]


def test_admission_queue_gives_up_when_time_runs_out():
    desk = Desk(1)
    desk.learn(0.5)
    desk.ask("red", 9.0)
    waits = desk.ask("red", 2.0)
    desk.now_s += 1.2
    desk.take(desk.queue.refresh(desk.now_s))
    assert [refusal.ticket for refusal in desk.refused] == [waits]


def test_admission_queue_forgets_a_caller_that_has_gone():
    desk = Desk(1)
    first, gone, last = desk.ask("red"), desk.ask("red"), desk.ask("red")
    desk.queue.withdraw(gone)
    desk.end(first)
    assert desk.started == [last]


def test_admission_queue_is_bounded(monkeypatch):
    monkeypatch.setattr(admission_queue, "MAX_WAITING_PER_TEAM", 3)
    desk = Desk(1)
    for _ in range(5):
        desk.ask("red")
    assert [refusal.why for refusal in desk.refused] == [RefusalReason.FULL]


def test_service_times_forget_the_oldest():
    times = ServiceTimes()
    for _ in range(WINDOW_SIZE):
        times.add(9.0)
    for _ in range(WINDOW_SIZE):
        times.add(1.0)
    assert times.mean_s == pytest.approx(1.0)
    assert times.quantile_s(0.99) == 1.0


class QueueMachine(RuleBasedStateMachine):
    """No unit is lost or given twice, whatever comes in whatever order."""

    teams = ("red", "blue", "")

    def __init__(self):
        super().__init__()
        self.desk = Desk(3, {"red": 1.5, "blue": 1.5}, {"red": 2, "blue": 2})
        self.asked = []

    @rule(team=st.sampled_from(teams), due_s=st.floats(0.1, 5.0))
    def ask(self, team, due_s):
        self.asked.append(self.desk.ask(team, due_s))

    @rule(index=st.integers(0, 9), held_s=st.floats(0.0, 3.0))
    def end(self, index, held_s):
        if self.desk.started:
            ticket = self.desk.started[index % len(self.desk.started)]
            self.asked.remove(ticket)
            self.desk.end(ticket, held_s)

    @rule(index=st.integers(0, 9))
    def withdraw(self, index):
        waiting = self.waiting()
        if waiting:
            ticket = waiting[index % len(waiting)]
            self.asked.remove(ticket)
            self.desk.queue.withdraw(ticket)

    @rule(seconds=st.floats(0.0, 2.0))
    def time_passes(self, seconds):
        self.desk.now_s += seconds
        self.desk.take(self.desk.queue.refresh(self.desk.now_s))

    @rule(budget=st.integers(0, 6), red=st.floats(0, 6), room=st.integers(0, 4))
    def divide(self, budget, red, room):
        self.desk.allowances["red"] = room
        self.desk.queue.set_division(POOL, budget, {"red": red, "blue": 1.0})
        self.desk.take(self.desk.queue.refresh(self.desk.now_s))

    def waiting(self):
        refused = {refusal.ticket for refusal in self.desk.refused}
        return [
            t for t in self.asked if t not in self.desk.started and t not in refused
        ]

    @invariant()
    def counts_agree(self):
        pool = self.desk.queue.pool(POOL)
        assert pool.running_total == len(self.desk.started)
        assert self.desk.queue.waiting_total == len(self.waiting())
        queued = sum(len(queue) for queue in pool.waiting.values())
        assert queued == len(self.waiting())

    @invariant()
    def a_free_unit_has_nobody_waiting_who_may_use_it(self):
        pool = self.desk.queue.pool(POOL)
        if pool.running_total >= pool.budget:
            return
        for team in self.teams:
            room = self.desk.allowances.get(team, 1000)
            if pool.waiting.get(team):
                assert self.desk.queue.team_running[team] >= room


TestAdmissionQueue = QueueMachine.TestCase
TestAdmissionQueue.settings = settings(max_examples=60, stateful_step_count=40)
