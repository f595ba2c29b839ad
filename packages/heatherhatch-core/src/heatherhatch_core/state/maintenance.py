"""Machines of the provider, and maintenance waves."""

from dataclasses import dataclass
from enum import Enum

from .resources import NO_RESOURCES, Resources


class MachineState(Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the provider.

    Attributes:
        name: Unique name; stays the same across restarts.
        pool: Pool that the machine belongs to.
        state: State of the machine.
        data_centre: Data centre of the machine.
        labels: Labels for the kind and the rack of the machine.
        capacity: Resources that the machine offers.
        worker_id: Worker that the machine runs as; empty while it is not up.
    """

    name: str
    pool: str
    state: MachineState
    data_centre: str = ""
    labels: frozenset[str] = frozenset()
    capacity: Resources = NO_RESOURCES
    worker_id: str = ""


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave as announced.

    Attributes:
        number: Number of the wave.
        machines: Machines that are due for maintenance.
        within_s: Time after the announcement within which the maintenance of all
            machines must have begun, seconds.
        at_once: Maximum number of machines that are down for the wave at the same
            time.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    at_once: int


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of a wave as reported to operators.

    Attributes:
        number: Number of the wave.
        completed: True once maintenance has begun on each machine of the wave that
            still exists.
    """

    number: int
    completed: bool
