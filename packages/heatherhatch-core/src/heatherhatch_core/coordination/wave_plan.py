"""Chooses which machines of a wave are emptied and taken down next."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..state.maintenance import Machine, MachineState, Wave

AHEAD = 2  # machines that are emptied while others are down, for each that may be


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
        loads: What would have to move, by machine; less is better.
        down: Machines that may be down for this wave now.
    """

    wave: Wave
    machines: Mapping[str, Machine]
    done: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    taken: frozenset[str] = frozenset()
    working: frozenset[str] = frozenset()
    loads: Mapping[str, int] = field(default_factory=dict)
    down: frozenset[str] = frozenset()

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


def next_machines(state: WaveState) -> tuple[list[str], list[str]]:
    """Return the machines to take down now, and those to empty.

    Machines without work go at once. No more are taken down than the wave
    allows at the same time.
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
    ahead = max(0, most * AHEAD - len(waiting))
    # What is empty stays reserved until its turn, so that nothing starts there.
    keep = [name for name in empty if state.machines[name].pool in state.working]
    return ready, [*keep, *busy[:ahead]]
