"""Chooses the runs to stop so that urgent work is on time."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from ...state.resources import NO_RESOURCES, Resources

MAX_PREEMPTIONS = 2  # of one task, so that every task ends in the end
# Each preemption costs a write, an order and a start; a pool starts some hundred tasks
# a second in a peak.
PREEMPTIONS_PER_S = 10.0
MAX_AT_ONCE = 20.0  # preemptions that may follow each other at once


@dataclass(frozen=True, slots=True)
class Victim:
    """A run that may be stopped.

    Attributes:
        run: Identity of the run.
        held: Resources that it occupies.
        loss: Work that is lost if it is stopped now, core-seconds.
    """

    run: Hashable
    held: Resources
    loss: float


@dataclass(slots=True)
class PreemptionBudget:
    """Bounds the number of preemptions per second.

    Attributes:
        left: Number of preemptions that are allowed at once.
        at_s: When it was last updated, monotonic seconds.
    """

    left: float = MAX_AT_ONCE
    at_s: float = float("-inf")

    def spend(self, count: int, now_s: float) -> bool:
        """Take a number of preemptions, or none if there are not as many left."""
        if now_s > self.at_s:
            gained = (now_s - self.at_s) * PREEMPTIONS_PER_S
            self.left = min(MAX_AT_ONCE, self.left + gained)
            self.at_s = now_s
        if count > self.left:
            return False
        self.left -= count
        return True


def choose_victims(
    need: Resources, free: Resources, candidates: Iterable[Victim]
) -> tuple[Victim, ...] | None:
    """Return the runs of one worker to stop for a task, with little loss.

    Args:
        need: Resources that the task needs.
        free: Resources of the worker that are free or become free in time.
        candidates: Runs of the worker that may be stopped.

    Returns:
        The runs; None if the task would not fit without all of them either.
    """
    chosen: list[Victim] = []
    freed = free
    for victim in sorted(candidates, key=_loss_per_core):
        if need.fits(freed):
            break
        chosen.append(victim)
        freed = freed + victim.held
    if not need.fits(freed):
        return None
    # A small run that was chosen first may not be needed beside a larger one.
    for victim in sorted(chosen, key=lambda item: item.loss, reverse=True):
        if need.fits(freed - victim.held):
            chosen.remove(victim)
            freed = freed - victim.held
    return tuple(chosen)


def total_held(victims: Iterable[Victim]) -> Resources:
    """Return the resources that some runs occupy together."""
    return sum((victim.held for victim in victims), NO_RESOURCES)


def total_loss(victims: Iterable[Victim]) -> float:
    """Return the work that is lost if some runs are stopped, core-seconds."""
    return sum(victim.loss for victim in victims)


def _loss_per_core(victim: Victim) -> float:
    return victim.loss / max(1, victim.held.cpu_m)
