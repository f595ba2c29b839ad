"""Machines of the provider and their maintenance waves."""

from dataclasses import dataclass
from enum import Enum

from .resources import NOTHING, Resources


class MachineState(Enum):
    """What a machine does."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the provider.

    Attributes:
        name: Its name, the same over all its lives.
        pool: Pool that it is in.
        state: What it does.
        data_centre: Where it is.
        labels: Its kind and its rack.
        capacity: What it offers.
        worker_id: The worker that it runs as; empty while it is not up.
    """

    name: str
    pool: str
    state: MachineState
    data_centre: str = ""
    labels: frozenset[str] = frozenset()
    capacity: Resources = NOTHING
    worker_id: str = ""


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave as it was announced.

    Attributes:
        number: Its number.
        machines: Machines that are due.
        within_s: Time in which all must have begun, seconds.
        at_once: Most machines that may be down for it at the same time.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    at_once: int


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """What operators are told of a wave.

    Attributes:
        number: Its number.
        completed: True once each of its machines that stays has begun.
    """

    number: int
    completed: bool
