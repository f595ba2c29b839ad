"""Relief: how long jobs make way for urgent work and for maintenance."""

from dataclasses import dataclass
from enum import Enum

from ..state.jobs import Job
from .placement import LEAVE_MARGIN_S

PRESSURE_HIGH = 0.5
PRESSURE_LOW = 0.25
THROTTLED_SHARE = 0.2
CHECKPOINT_AFTER_S = 3.0


class Level(Enum):
    """What is asked of the long jobs of a pool."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class PoolRelief:
    """How the long jobs of one pool make way.

    Jobs are throttled as soon as urgent work presses and checkpointed if it
    still presses after a while; they get their share back once it has eased.

    Attributes:
        level: What is asked now.
        since_s: When throttling began, monotonic seconds.
    """

    level: Level = Level.NONE
    since_s: float = 0.0

    def step(self, pressure: float, now_s: float) -> "PoolRelief":
        """Return the relief after a reading of the pressure.

        Args:
            pressure: Urgent work that waits, as a part of what the pool holds.
            now_s: Monotonic seconds.
        """
        if self.level is Level.NONE:
            pressed = pressure >= PRESSURE_HIGH
            return PoolRelief(Level.THROTTLE, now_s) if pressed else self
        if pressure < PRESSURE_LOW:
            return PoolRelief()
        if pressure >= PRESSURE_HIGH and now_s - self.since_s >= CHECKPOINT_AFTER_S:
            return PoolRelief(Level.CHECKPOINT, self.since_s)
        return self


def must_leave(job: Job, leaves_s: float, remaining_s: float, now_s: float) -> bool:
    """Tell whether a running job has to move off its worker now.

    A job that can end in time is left alone.

    Args:
        job: Running job.
        leaves_s: When its worker leaves, seconds since the epoch.
        remaining_s: Estimated seconds until it ends.
        now_s: Seconds since the epoch.
    """
    if now_s + LEAVE_MARGIN_S < leaves_s:
        return False
    return job.spec.checkpoints or now_s + remaining_s >= leaves_s
