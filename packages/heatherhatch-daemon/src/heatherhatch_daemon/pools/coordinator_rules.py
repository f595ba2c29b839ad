"""Timing limits of the coordinator."""

from dataclasses import dataclass

from heatherhatch_core.feature_gates import ALL_ENABLED, FeatureGates


@dataclass(frozen=True, slots=True)
class CoordinatorRules:
    """Timing limits of the coordinator.

    Attributes:
        min_order_gap_s: Minimum time between orders of two coordinators for the same
            machine, seconds.
        maintenance_s: How long a machine is down for its maintenance, seconds.
        keep_s: How long callers can query the status of an ended job, seconds.
        gates: Optional mechanisms that are enabled.
    """

    min_order_gap_s: float = 3.0
    maintenance_s: float = 2.0
    keep_s: float = 120.0
    gates: FeatureGates = ALL_ENABLED
