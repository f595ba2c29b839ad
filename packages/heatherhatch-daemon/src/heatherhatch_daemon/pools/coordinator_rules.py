"""Bounds of the coordinator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoordinatorRules:
    """Bounds of the coordinator.

    Attributes:
        turn_s: Two coordinators give orders for one machine at least so far
            apart, seconds.
        maintenance_s: How long a machine is down for its maintenance, seconds.
        keep_s: How long callers may ask for a job that ended, seconds.
    """

    turn_s: float = 3.0
    maintenance_s: float = 2.0
    keep_s: float = 120.0
