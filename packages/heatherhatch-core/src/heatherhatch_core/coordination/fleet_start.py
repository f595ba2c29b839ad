"""Waits for the machines of a fleet that has just started.

Load: all instances and machines of a deployment start together. Its machines are down
until they have come up, and machines moved into their pools would replace none of them.
"""

from dataclasses import dataclass, field, replace

from ..state.maintenance import MachineState
from .fleet_sizes import FleetView

START_S = 4.0  # time in which the machines of a fleet come up


@dataclass(slots=True)
class FleetStart:
    """Tells machines that are still starting from those that went down.

    Attributes:
        begun_s: When the fleet was first seen, monotonic seconds.
        seen_up: Machines that have been up since then.
    """

    begun_s: float = float("inf")
    seen_up: set[str] = field(default_factory=set)

    def with_starting(self, fleet: FleetView, now_s: float) -> FleetView:
        """Return the fleet with machines that are starting counted as coming."""
        self.begun_s = min(self.begun_s, now_s)
        if now_s - self.begun_s > START_S:
            return fleet
        self.seen_up.update(
            name
            for name, machine in fleet.machines.items()
            if machine.state is MachineState.UP
        )
        machines = {
            name: replace(machine, state=MachineState.MOVING)
            if machine.state is MachineState.DOWN and name not in self.seen_up
            else machine
            for name, machine in fleet.machines.items()
        }
        return replace(fleet, machines=machines)
