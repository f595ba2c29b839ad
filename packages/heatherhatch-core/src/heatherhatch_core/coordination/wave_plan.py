"""Chooses the machines of a maintenance wave to drain and take down next."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..state.maintenance import Machine, MachineState, Wave

# Limit on machines without lasting tasks that are drained ahead of their turn, for
# each machine that may be down at the same time.
DRAINS_PER_SLOT = 2
# A busy machine gets 4 s to finish its runs and 2 s of maintenance, and is moved.
MACHINE_TURN_S = 7.0
# Share of the time of a wave kept in reserve for machines that are not available.
TIME_RESERVE_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class WaveState:
    """State of a maintenance wave.

    Attributes:
        wave: The wave as it was announced.
        machines: Machines of the provider, by name.
        done: Machines whose maintenance has begun.
        cleared: Machines that have been drained on request.
        moving: Machines that are being moved to another pool.
        working: Pools whose machines run work.
        loads: Number of runs on each machine; the least loaded are drained first.
        lasting: Machines with tasks that run until their job is cancelled.
        down: Machines that may be down for this wave now.
        elapsed_s: Time since the wave was announced, seconds.
    """

    wave: Wave
    machines: Mapping[str, Machine]
    done: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    moving: frozenset[str] = frozenset()
    working: frozenset[str] = frozenset()
    loads: Mapping[str, int] = field(default_factory=dict)
    lasting: frozenset[str] = frozenset()
    down: frozenset[str] = frozenset()
    elapsed_s: float = 0.0

    @property
    def remaining(self) -> list[str]:
        """Machines of the wave that still exist and are not done, in wave order."""
        return [
            name
            for name in self.wave.machines
            if name not in self.done and name in self.machines
        ]

    @property
    def finished(self) -> bool:
        """True once all machines of the wave that still exist are done."""
        return bool(self.machines) and not self.remaining

    @property
    def needed_in_progress(self) -> int:
        """Number of machines to have in progress now so that the wave ends in time."""
        left_s = (1 - TIME_RESERVE_SHARE) * self.wave.within_s - self.elapsed_s
        return math.ceil(
            len(self.remaining) * MACHINE_TURN_S / max(MACHINE_TURN_S, left_s)
        )


def next_machines(state: WaveState) -> tuple[list[str], list[str]]:
    """Return the machines to take down now, and those to drain.

    Machines without work are taken down first, within the limit of the wave on
    machines that are down at the same time. Busy machines are drained only as the
    time of the wave requires: a drained machine is unused capacity, and a machine
    that waits may become idle by itself. Machines with lasting tasks are drained
    from the start.
    """
    most = max(1, state.wave.at_once)
    free = max(0, most - len(state.down))
    up = [
        name
        for name in state.remaining
        if state.machines[name].state is MachineState.UP and name not in state.moving
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
    asked = min(
        most * DRAINS_PER_SLOT, state.needed_in_progress - len(state.down) - len(ready)
    )
    ahead = max(0, asked - len(waiting))
    # Empty machines stay reserved, so that no run starts on them before they go down.
    keep = [name for name in empty if state.machines[name].pool in state.working]
    slow = [name for name in busy if name in state.lasting]
    others = [name for name in busy if name not in state.lasting]
    return ready, [*keep, *slow, *others[:ahead]]
