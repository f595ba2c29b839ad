"""Orders for machines, and the choice of machines in a maintenance wave."""

import pytest

from heatherhatch_core.coordination.wave_plan import (
    DRAINS_PER_SLOT,
    WaveState,
    next_machines,
)
from heatherhatch_core.exceptions import ErrorKind, FencedError
from heatherhatch_core.state.maintenance import Machine, MachineState, Wave
from heatherhatch_daemon.pools import machine_orders
from heatherhatch_daemon.pools.machine_orders import MachineOrders, Maintain, Move
from heatherhatch_daemon.transport.http import ExchangeError

MAINTENANCE_S = 2.0


class FakeProvider:
    """A provider that records its calls and fails with the error that a test sets."""

    def __init__(self):
        self.calls = []
        self.error = None

    def maintain(self, machine, wave, holder, permission):
        return self._answer(("maintain", machine, wave, holder, permission.token))

    def move(self, machine, pool, holder, permission):
        return self._answer(("move", machine, pool, holder, permission.token))

    def _answer(self, call):
        self.calls.append(call)
        if self.error is not None:
            raise self.error
        return True


@pytest.fixture
def clock(monkeypatch):
    """Replace the clock by a value that the test sets."""
    now = [1000.0]
    monkeypatch.setattr(machine_orders, "now_s", lambda: now[0])
    return now


@pytest.fixture
def provider() -> FakeProvider:
    return FakeProvider()


@pytest.fixture
def orders(provider, clock) -> MachineOrders:
    return MachineOrders(provider, "me", 5, lambda: True, MAINTENANCE_S)


def test_only_a_list_requested_after_the_maintenance_shows_a_machine_up(orders, clock):
    """The list of machines is already slightly out of date when it is used."""
    assert orders.send_all([Maintain("m1", 1)]) == 1
    assert orders.may_be_down("m1", clock[0] - 0.3)
    assert orders.may_be_down("m1", clock[0] + MAINTENANCE_S)
    assert not orders.may_be_down("m1", clock[0] + MAINTENANCE_S + 1)
    assert not orders.may_be_down("m2", clock[0])


def test_an_order_without_an_answer_may_take_the_machine_down_later(
    orders, provider, clock
):
    provider.error = ExchangeError(ErrorKind.BACKEND_TIMEOUT, "no answer", True)
    assert orders.send_all([Maintain("m1", 1)]) == 0
    assert orders.may_be_down("m1", clock[0] + 12)
    assert orders.maintained == {}


def test_an_order_without_an_answer_is_retried_after_a_pause(orders, provider, clock):
    provider.error = ExchangeError(ErrorKind.BACKEND_TIMEOUT, "no answer", True)
    orders.send_all([Maintain("m1", 1)])
    orders.send_all([Maintain("m1", 1)])
    assert len(provider.calls) == 1
    clock[0] += 1
    orders.send_all([Maintain("m1", 1)])
    assert len(provider.calls) == 2


def test_a_fencing_error_is_raised_to_the_caller(orders, provider):
    provider.error = FencedError("newer")
    with pytest.raises(FencedError):
        orders.send_all([Move("m1", "red")])


def test_an_accepted_move_applies_until_the_list_shows_it(orders, clock):
    machine = Machine("m1", "blue", MachineState.UP)
    orders.send_all([Move("m1", "red")])
    assert orders.with_accepted_moves({"m1": machine})["m1"].pool == "red"
    shown = Machine("m1", "red", MachineState.UP)
    assert orders.with_accepted_moves({"m1": shown}) == {"m1": shown}


def make_wave_state(
    count: int, at_once: int, within_s: float = 20.0, off: int = 0, **state_fields
) -> WaveState:
    names = tuple(f"m{number}" for number in range(count))
    machines = {
        name: Machine(name, "off" if number < off else "red", MachineState.UP)
        for number, name in enumerate(names)
    }
    state_fields.setdefault("working", frozenset({"red"}))
    return WaveState(Wave(1, names, within_s, at_once), machines, **state_fields)


def test_no_more_machines_are_down_than_the_wave_allows():
    state = make_wave_state(
        6, 2, cleared=frozenset({"m0", "m1", "m2"}), down=frozenset({"m5"})
    )
    ready, _draining = next_machines(state)
    assert ready == ["m0"]


def test_a_drained_machine_stays_reserved_until_it_goes_down():
    state = make_wave_state(6, 1, cleared=frozenset({"m0", "m1"}))
    ready, draining = next_machines(state)
    assert ready == ["m0"]
    assert {"m0", "m1"} <= set(draining)


def test_machines_that_are_off_are_not_drained():
    state = make_wave_state(3, 3, working=frozenset())
    ready, draining = next_machines(state)
    assert ready == ["m0", "m1", "m2"]
    assert draining == []


def test_a_machine_that_moves_to_another_pool_waits():
    state = make_wave_state(2, 2, working=frozenset(), moving=frozenset({"m0"}))
    assert next_machines(state)[0] == ["m1"]


def test_the_least_loaded_machines_are_drained_first():
    state = make_wave_state(5, 1, loads={"m0": 9, "m1": 0, "m2": 3, "m3": 9, "m4": 9})
    assert next_machines(state) == ([], ["m1", "m2"])


def test_a_wave_with_ample_time_drains_few_machines_at_once():
    """Drains of too many machines left a third of the fleet empty during a burst."""
    state = make_wave_state(99, 36, within_s=28.0)
    ready, draining = next_machines(state)
    assert (ready, len(draining)) == ([], state.needed_in_progress)
    assert len(draining) < DRAINS_PER_SLOT * 36


def test_a_wave_short_of_time_drains_up_to_its_limit():
    state = make_wave_state(99, 36, within_s=28.0, elapsed_s=18.0)
    assert len(next_machines(state)[1]) == 72


def test_machines_with_lasting_tasks_are_drained_from_the_start():
    """Lasting tasks are moved one by one.

    After a late start, the last four machines missed their wave.
    """
    slow = frozenset({"m7", "m8", "m9"})
    state = make_wave_state(10, 4, within_s=1000.0, lasting=slow)
    ready, draining = next_machines(state)
    assert ready == []
    assert slow <= set(draining)
    assert len(draining) == 4


def test_machines_that_are_off_go_down_before_any_is_drained():
    state = make_wave_state(99, 36, within_s=28.0, off=50)
    ready, draining = next_machines(state)
    assert len(ready) == 36
    assert draining == []


def test_a_wave_takes_all_its_machines_down_in_time():
    """Each machine needs its full drain and maintenance time; none becomes idle."""
    names = tuple(f"m{number}" for number in range(40))
    machines = {name: Machine(name, "red", MachineState.UP) for name in names}
    wave = Wave(1, names, 30.0, 12)
    taken_down_s = {}
    drain_started_s = {}
    for tick in range(300):
        now_s = tick / 10
        down = frozenset(
            name for name, at_s in taken_down_s.items() if now_s - at_s < 2.0
        )
        cleared = frozenset(
            name
            for name, at_s in drain_started_s.items()
            if now_s - at_s >= 4.5 and name not in taken_down_s
        )
        state = WaveState(
            wave,
            machines,
            done=frozenset(taken_down_s),
            cleared=cleared,
            working=frozenset({"red"}),
            down=down,
            elapsed_s=now_s,
        )
        ready, draining = next_machines(state)
        for name in ready:
            taken_down_s[name] = now_s
        for name in draining:
            drain_started_s.setdefault(name, now_s)
    assert set(taken_down_s) == set(names)
    assert max(taken_down_s.values()) < 30.0


def test_a_wave_is_finished_when_all_its_remaining_machines_are_done():
    state = make_wave_state(2, 1, done=frozenset({"m0"}))
    assert not state.finished
    without_the_other_machine = WaveState(
        state.wave, {"m0": state.machines["m0"]}, frozenset({"m0"})
    )
    assert without_the_other_machine.finished
