"""Throttling and preemption of long-running jobs under load or maintenance."""

from dataclasses import dataclass
from enum import Enum

from ..state.jobs import Job
from .placement import LEAVE_MARGIN_S

PRESSURE_HIGH = 0.5
PRESSURE_LOW = 0.25
THROTTLED_SHARE = 0.2
CHECKPOINT_AFTER_S = 3.0


class PreemptionLevel(Enum):
    """What long-running jobs of a pool must do."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class PoolPreemption:
    """State of throttling and preemption in one pool.

    Jobs are throttled as soon as the pressure reaches ``PRESSURE_HIGH``, and
    checkpointed if it is that high ``CHECKPOINT_AFTER_S`` later or after that. They
    get their share back once it falls below ``PRESSURE_LOW``.

    Attributes:
        level: What the jobs must do now.
        since_s: When throttling began, monotonic seconds.
    """

    level: PreemptionLevel = PreemptionLevel.NONE
    since_s: float = 0.0

    def step(self, pressure: float, now_s: float) -> "PoolPreemption":
        """Return the next state, given the current pressure.

        Args:
            pressure: Units that urgent work lacks, as a fraction of the pool's
                capacity.
            now_s: Monotonic seconds.
        """
        if self.level is PreemptionLevel.NONE:
            is_high = pressure >= PRESSURE_HIGH
            return PoolPreemption(PreemptionLevel.THROTTLE, now_s) if is_high else self
        if pressure < PRESSURE_LOW:
            return PoolPreemption()
        if pressure >= PRESSURE_HIGH and now_s - self.since_s >= CHECKPOINT_AFTER_S:
            return PoolPreemption(PreemptionLevel.CHECKPOINT, self.since_s)
        return self


def must_move_off(
    job: Job, drain_at_s: float, remaining_s: float, now_s: float
) -> bool:
    """Return True if a running job must move off its worker now.

    This is so once the worker leaves within ``LEAVE_MARGIN_S``, if the job can be
    checkpointed or can't end in time.

    Args:
        job: Running job.
        drain_at_s: When its worker must be drained, seconds since the epoch.
        remaining_s: Estimated seconds until the job ends.
        now_s: Seconds since the epoch.
    """
    if now_s + LEAVE_MARGIN_S < drain_at_s:
        return False
    return job.spec.checkpoints or now_s + remaining_s >= drain_at_s
