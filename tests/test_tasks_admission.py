"""Admission as the gateway uses it: permits, refusals and division of pools."""

import dataclasses

import gevent
import pytest

from grant_fleet import Clock
from heatherhatch_core.coordination.membership import Membership, Registry
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_core.state.nodes import NodeEntry
from heatherhatch_daemon.tasks.admission import Admission

STOCK = WorkClass("stock", "tills", WorkKind.REQUEST, 2.0)
NAMES = ("a", "b")


class FakeFollower:
    def __init__(self):
        self.config = Configuration(
            seq=1,
            pools={"tills": Pool("tills", 0)},
            teams={"red": Team("red", 1.0, 10), "blue": Team("blue", 3.0, 10)},
            classes={"stock": STOCK},
            workers={"w": Worker("w", "fd", "r", "127.0.0.1:1", "tills", cpus=4)},
        )


class FakeRegistrar:
    def __init__(self):
        entries = tuple(NodeEntry(n, "1", "127.0.0.1:1", "dc-1") for n in NAMES)
        self.entry = entries[0]
        self.membership = Membership(entries[0], Registry(1, entries, NAMES))


class FakeTeamGrants:
    def __init__(self):
        self.units = 10
        self.standing = True
        self.bound_s = 2.0

    def allowance(self, team):
        return self.units if self.standing else 0

    def may_start_work(self):
        return self.standing

    def run_time_bound_s(self, team):
        return self.bound_s


@pytest.fixture
def reports():
    return {}


@pytest.fixture
def admission(reports):
    team_grants = FakeTeamGrants()
    clock = Clock()
    return Admission(
        FakeFollower(), FakeRegistrar(), team_grants, lambda: reports, clock
    )


def acquire(admission, team="red"):
    return admission.acquire(team, STOCK, admission.clock() + 2.0)


def start_waiting(admission, team="red"):
    """Start a greenlet that waits for a permit, and return it."""
    waiter = gevent.spawn(acquire, admission, team)
    gevent.sleep(0)
    assert not waiter.ready()
    return waiter


def fill(admission, count=2):
    return [acquire(admission) for _ in range(count)]


def error_kind(waiter):
    gevent.joinall([waiter])
    assert isinstance(waiter.exception, HeatherhatchError)
    return waiter.exception.kind


def test_tasks_admission_gives_a_released_unit_to_a_waiting_request(admission):
    first, _ = fill(admission)
    waiter = start_waiting(admission)
    admission.release(first)
    assert waiter.get(timeout=1.0).team == "red"
    assert admission.running.total() == 2


def test_tasks_admission_refuses_with_the_resource_that_is_short(admission):
    admission.team_grants.units = 0
    limited = start_waiting(admission)
    fill_open = [acquire(admission, "") for _ in range(2)]
    pool_waiter = start_waiting(admission, "")
    admission.clock.now_s += 1.0
    admission.release(fill_open[0])
    assert pool_waiter.get(timeout=1.0).team == ""
    late = start_waiting(admission, "")
    admission.clock.now_s += 1.5
    admission.step()
    assert error_kind(limited) is ErrorKind.LIMIT_REACHED
    assert error_kind(late) is ErrorKind.DEADLINE_UNREACHABLE


def test_tasks_admission_refuses_at_once_when_standing_is_lost(admission):
    fill(admission)
    waiter = start_waiting(admission)
    admission.team_grants.standing = False
    admission.step()
    assert error_kind(waiter) is ErrorKind.NO_STANDING
    assert admission.queue.waiting_total == 0


def test_tasks_admission_checks_standing_again_after_waiting(admission):
    first, _ = fill(admission)
    waiter = start_waiting(admission)
    admission.release(first)
    admission.team_grants.standing = False
    assert error_kind(waiter) is ErrorKind.NO_STANDING
    assert admission.running.total() == 1


def test_tasks_admission_drops_a_request_whose_caller_disconnected(admission):
    first, _ = fill(admission)
    disconnected, connected = start_waiting(admission), start_waiting(admission)
    disconnected.kill()
    admission.release(first)
    assert connected.get(timeout=1.0).team == "red"


def test_tasks_admission_releases_the_unit_of_a_caller_that_disconnected(admission):
    first, _ = fill(admission)
    disconnected = start_waiting(admission)
    disconnected.kill(block=False)
    admission.release(first)
    gevent.joinall([disconnected])
    assert admission.running.total() == 1
    assert acquire(admission).team == "red"


def test_tasks_admission_refuses_work_longer_than_its_grant(admission):
    admission.team_grants.bound_s = 1.0
    with pytest.raises(HeatherhatchError) as caught:
        acquire(admission)
    assert caught.value.kind is ErrorKind.LIMIT_REACHED


def test_tasks_admission_reports_demand_and_pressure(admission, reports):
    fill(admission)
    start_waiting(admission)
    reports["b"] = (Demand("blue", "tills", 0, 5, missing=2),)
    assert admission.demand() == (Demand("red", "tills", 2, 1),)
    assert admission.pressure("tills") == (1 + 3) / 4


def test_tasks_admission_divides_by_the_reports_of_all_nodes(admission, reports):
    fill(admission)
    start_waiting(admission)
    reports["b"] = (Demand("blue", "tills", 0, 50),)
    admission.step()
    pool = admission.queue.pool("tills")
    assert pool.parts == {"red": pytest.approx(1.0)}
    assert pool.budget == 1


def test_tasks_admission_skips_division_when_nothing_changed(admission, monkeypatch):
    admission.step()
    monkeypatch.setattr(admission, "_divide", None)
    admission.step()


def test_tasks_admission_skips_refresh_while_no_node_reports_work(admission, reports):
    divided = []
    set_division = admission.queue.set_division
    admission.queue.set_division = lambda *args: (
        divided.append(args) or set_division(*args)
    )
    refresh = admission.queue.refresh
    refreshed = []
    admission.queue.refresh = lambda now_s: refreshed.append(now_s) or refresh(now_s)
    for _ in range(10):
        admission.clock.now_s += 0.1
        admission.step()
    assert len(divided) == 1
    assert len(refreshed) == 1


def test_tasks_admission_divides_again_when_a_report_appears_or_ends(
    admission, reports
):
    admission.step()
    idle_reports = admission.division_inputs["tills"]
    reports["b"] = (Demand("blue", "tills", 1, 0, 0),)
    admission.step()
    assert admission.division_inputs["tills"].demands
    reports.clear()
    for _ in range(100):
        admission.clock.now_s += 0.1
        admission.step()
    assert admission.division_inputs["tills"] == idle_reports


def test_tasks_admission_divides_again_when_the_configuration_changes(admission):
    admission.step()
    before = admission.division_inputs["tills"]
    config = admission.follower.config
    worker = Worker("v", "fd", "r", "127.0.0.1:2", "tills", cpus=4)
    workers = {**config.workers, "v": worker}
    admission.follower.config = dataclasses.replace(config, seq=2, workers=workers)
    admission.step()
    assert admission.division_inputs["tills"].capacity > before.capacity


def test_tasks_admission_divides_again_when_the_members_change(admission):
    admission.step()
    own = admission.registrar.entry
    admission.registrar.membership = Membership(own, Registry(2, (own,), (own.name,)))
    admission.step()
    assert admission.division_inputs["tills"].nodes == (own.name,)
