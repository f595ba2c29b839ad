"""Chooses which machines of a wave are emptied and taken down next."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..state.maintenance import Machine, MachineState, Wave

AHEAD = 2  # machines that are emptied while others are down, for each that may be
AWAY_S = 7.0  # a busy machine gets 4 s to finish and 2 s of maintenance, and is moved
RESERVE_SHARE = 0.3  # of a wave's time is kept for machines that are not to be had


@dataclass(frozen=True, slots=True)
class WaveState:
    """What is known of a wave.

    Attributes:
        wave: The wave.
        machines: Machines of the provider, by name.
        done: Machines that have had their turn.
        cleared: Machines that were to be emptied and are.
        taken: Machines that are being moved to another pool.
        working: Pools whose machines run work.
        loads: Tasks that would have to move, by machine; less is better.
        lasting: Machines with tasks that stay until their job is cancelled.
        down: Machines that may be down for this wave now.
        passed_s: Time since the wave was announced, seconds.
    """

    wave: Wave
    machines: Mapping[str, Machine]
    done: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    taken: frozenset[str] = frozenset()
    working: frozenset[str] = frozenset()
    loads: Mapping[str, int] = field(default_factory=dict)
    lasting: frozenset[str] = frozenset()
    down: frozenset[str] = frozenset()
    passed_s: float = 0.0

    @property
    def open(self) -> list[str]:
        """Machines of the wave that stay and have not had their turn."""
        return [
            name
            for name in self.wave.machines
            if name not in self.done and name in self.machines
        ]

    @property
    def finished(self) -> bool:
        """True once all machines that stay have had their turn."""
        return bool(self.machines) and not self.open

    @property
    def under_way(self) -> int:
        """How many machines have to be away now for all to have their turn in time."""
        left_s = (1 - RESERVE_SHARE) * self.wave.within_s - self.passed_s
        return math.ceil(len(self.open) * AWAY_S / max(AWAY_S, left_s))


def next_machines(state: WaveState) -> tuple[list[str], list[str]]:
    """Return the machines to take down now, and those to empty.

    Machines without work go at once. No more are taken down than the wave
    allows at the same time, and no more are emptied than its time asks for: what
    is emptied serves nobody, and later on it may be empty by itself.
    """
    most = max(1, state.wave.at_once)
    free = max(0, most - len(state.down))
    up = [
        name
        for name in state.open
        if state.machines[name].state is MachineState.UP and name not in state.taken
    ]
    empty = [
        name
        for name in up
        if state.machines[name].pool not in state.working or name in state.cleared
    ]
    ready = empty[:free]
    busy = [name for name in up if name not in empty]
    busy.sort(key=lambda name: (state.loads.get(name, 0), name))
    waiting = [name for name in empty if name not in ready]
    asked = min(most * AHEAD, state.under_way - len(state.down) - len(ready))
    ahead = max(0, asked - len(waiting))
    # What is empty stays reserved until its turn, so that nothing starts there.
    keep = [name for name in empty if state.machines[name].pool in state.working]
    slow = [name for name in busy if name in state.lasting]
    others = [name for name in busy if name not in state.lasting]
    return ready, [*keep, *slow, *others[:ahead]]
