"""Pools follow the turns of their demand; no network, no bench.

The pattern: one queue after the other asks for several times its mean for some
seconds, more than its pool holds, and for next to nothing in between.
"""

import pytest

from heatherhatch_core.coordination.pool_sizes import FleetView, PoolNeed, PoolSizer
from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_core.state.resources import Resources

CORES = 32
POOLS = ("red", "blue", "green")
STANDBY = "off"


class Turns:
    """A fleet that carries out what the sizer asks for, a moment later."""

    def __init__(self, each: int = 6, off: int = 6):
        self.sizer = PoolSizer()
        self.machines = {}
        for pool in (*POOLS, STANDBY):
            for number in range(off if pool == STANDBY else each):
                name = f"{pool}-{number}"
                self.machines[name] = Machine(
                    name,
                    pool,
                    MachineState.UP,
                    capacity=Resources(CORES * 1000, 64_000),
                )
        self.needs = dict.fromkeys(POOLS, 0)
        self.busy = set()
        self.asked = frozenset()
        self.now_s = 0.0
        self.moves = 0

    def round(self, draining=frozenset(), due=frozenset()):
        self.now_s += 0.1
        needs = {
            pool: PoolNeed(
                pool,
                cores * 1000,
                frozenset(
                    name
                    for name, machine in self.machines.items()
                    if machine.pool == pool and name not in self.busy
                ),
            )
            for pool, cores in self.needs.items()
        }
        fleet = FleetView(self.machines, needs, STANDBY, draining, self.asked, due)
        change = self.sizer.plan(fleet, self.now_s)
        for name, pool in change.moves:
            old = self.machines[name]
            assert old.pool == STANDBY or name in self.asked
            assert name not in self.busy
            self.machines[name] = Machine(name, pool, old.state, capacity=old.capacity)
            self.moves += 1
        self.asked = change.draining
        return change

    def settle(self, rounds: int = 30):
        for _round in range(rounds):
            self.round()

    def size(self, pool: str) -> int:
        return sum(1 for machine in self.machines.values() if machine.pool == pool)


@pytest.fixture
def turns() -> Turns:
    return Turns()


def test_machines_that_nobody_needs_are_off(turns):
    turns.settle()
    assert [turns.size(pool) for pool in POOLS] == [2, 2, 2]


def test_a_pool_in_its_turn_gets_the_machines_of_the_others(turns):
    turns.settle()
    turns.needs["red"] = 500
    turns.settle()
    assert turns.size("red") * CORES >= 500
    turns.needs = {"red": 0, "blue": 500, "green": 0}
    turns.settle()
    assert turns.size("blue") * CORES >= 500
    assert turns.size("red") == 2


def test_every_pool_keeps_two_machines_although_another_lacks_many(turns):
    turns.needs["red"] = 5000
    turns.settle()
    assert [turns.size(pool) for pool in POOLS] == [20, 2, 2]


def test_a_busy_machine_stays(turns):
    turns.busy = {name for name in turns.machines if name.startswith("red")}
    turns.settle()
    assert turns.size("red") == 6


def test_a_steady_demand_moves_nothing(turns):
    turns.needs = {"red": 100, "blue": 60, "green": 20}
    turns.settle()
    before = turns.moves
    turns.settle(300)
    assert turns.moves == before


def test_machines_that_are_being_emptied_are_made_up_for(turns):
    turns.needs["red"] = 100
    turns.settle()
    kept = {name for name, item in turns.machines.items() if item.pool == "red"}
    for _round in range(30):
        turns.round(draining=frozenset(kept))
    assert turns.size("red") >= 2 * len(kept) - 1


def test_what_is_off_and_due_for_maintenance_is_taken_last(turns):
    turns.settle()
    off = sorted(name for name, item in turns.machines.items() if item.pool == STANDBY)
    turns.needs["red"] = 60
    change = turns.round(due=frozenset(off[:-2]))
    assert {name for name, _pool in change.moves} <= set(off[-2:])
