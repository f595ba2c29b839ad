"""Time limits of the scheduler."""

from dataclasses import dataclass

from ...feature_gates import ALL_ENABLED, FeatureGates

CLOCK_DRIFT = 0.02  # the platform states that worker clocks may be slow by 2 %


@dataclass(frozen=True, slots=True)
class Rules:
    """Time limits of the deployment and of the scheduler itself, in seconds.

    Attributes:
        lease_s: Duration of the lease that each renewal gives a worker.
        unfenced_s: Time after a takeover by which the leases from earlier holders
            have certainly expired on a worker that has not answered.
        lease_margin_s: Added to each computed expiry of a lease, to allow for
            late timers.
        stop_s: Maximum time that a worker takes to stop a run.
        early_s: How long before its due time an occurrence may start.
        machine_move_s: Time to move a machine into the pool.
        evacuation_s: Time after the request to evacuate a data centre from which no
            run starts there; 0 for no bound.
        lost_data_centres: Number of data centres whose loss the deployment must
            tolerate; lasting tasks are spread over data centres if it is not 0.
        gates: Optional mechanisms that are enabled.
    """

    lease_s: float = 4.0
    unfenced_s: float = 4.9
    lease_margin_s: float = 0.25
    stop_s: float = 0.4
    early_s: float = 0.0
    machine_move_s: float = 1.5
    evacuation_s: float = 0.0
    lost_data_centres: int = 0
    gates: FeatureGates = ALL_ENABLED
