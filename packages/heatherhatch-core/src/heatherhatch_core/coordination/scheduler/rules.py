"""Bounds of the scheduler, in seconds unless named otherwise."""

from dataclasses import dataclass

CLOCK_DRIFT = 0.02  # a worker's clock may be slow by this much, as the platform states


@dataclass(frozen=True, slots=True)
class Rules:
    """What the deployment states, and the scheduler's own thresholds.

    Attributes:
        lease_s: Life of the lease that each renewal gives a worker.
        unfenced_s: After taking over, when a worker that never answered has
            surely lost the leases that earlier holders gave it.
        lease_margin_s: Added to each computed end of a lease, for timers.
        stop_s: Longest time that a worker takes to stop a run.
        early_s: How far before its due time an occurrence may start.
    """

    lease_s: float = 4.0
    unfenced_s: float = 4.9
    lease_margin_s: float = 0.25
    stop_s: float = 0.4
    early_s: float = 0.0
