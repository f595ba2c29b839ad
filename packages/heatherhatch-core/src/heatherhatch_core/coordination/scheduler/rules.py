"""Bounds of the scheduler, in seconds unless named otherwise."""

from dataclasses import dataclass

CLOCK_DRIFT = 0.02  # a worker's clock may be this much slow (platform's page)


@dataclass(frozen=True, slots=True)
class Rules:
    """What the deployment states, and the scheduler's own thresholds.

    Attributes:
        lease_s: Life of the lease that each renewal gives a worker.
        unfenced_s: After taking over, when a worker that never answered has
            surely lost the leases that earlier holders gave it.
        lease_margin_s: Added to each computed end of a lease, for timers.
        stop_s: Longest time that a stop takes.
        checkpoint_s: Work between two checkpoints.
        restore_s: Time to resume from a checkpoint.
        remote_factor: How much longer a task takes away from its data.
        gang_s: How long a worker waits for the other members of a gang.
        notice_s: How long a task may be away before it counts as missing.
        early_s: How far before its due time an occurrence may start.
        order_timeout_s: When an order without an answer is in doubt.
        harm_s: How long a serving task may be over its target.
    """

    lease_s: float = 4.0
    unfenced_s: float = 4.9
    lease_margin_s: float = 0.25
    stop_s: float = 0.4
    checkpoint_s: float = 2.0
    restore_s: float = 0.1
    remote_factor: float = 2.0
    gang_s: float = 3.0
    notice_s: float = 4.5
    early_s: float = 0.0
    order_timeout_s: float = 1.0
    harm_s: float = 4.0
