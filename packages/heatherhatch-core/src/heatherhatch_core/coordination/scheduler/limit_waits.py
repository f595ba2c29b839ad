"""Tasks that could run now but for the limit of their team."""

from __future__ import annotations

from dataclasses import dataclass

from ...state.resources import NO_RESOURCES, Resources
from .permits import StepName


@dataclass(frozen=True, slots=True)
class LimitedStep:
    """A step of which no task starts because of its team's limit.

    Attributes:
        step: The step.
        need: Resources of the least that can start: one task, or the whole gang.
        since_s: Since when the limit has kept its tasks from starting, monotonic
            seconds.
    """

    step: StepName
    need: Resources
    since_s: float


class LimitWaits:
    """Remembers which steps wait for the limits of their teams, and since when.

    Attributes:
        waiting: Limited steps of each team in the last round, in the order of the
            jobs.
        noted: The same for the round in progress.
    """

    def __init__(self):
        self.waiting: dict[str, dict[StepName, LimitedStep]] = {}
        self.noted: dict[str, dict[StepName, LimitedStep]] = {}

    def begin_round(self) -> None:
        """Begin a placement round."""
        self.noted = {}

    def note(self, team: str, step: StepName, need: Resources, now_s: float) -> None:
        """Record that the limit keeps the tasks of a step from starting.

        Args:
            team: Team of the job.
            step: The step.
            need: Resources of the least that can start.
            now_s: Monotonic time, seconds.
        """
        known = self.waiting.get(team, {}).get(step)
        since_s = now_s if known is None else known.since_s
        steps = self.noted.setdefault(team, {})
        steps.setdefault(step, LimitedStep(step, need, since_s))

    def end_round(self, complete: bool) -> None:
        """End a placement round.

        Args:
            complete: False if the round did not come to all jobs.
        """
        if not complete:
            for team, steps in self.waiting.items():
                self.noted[team] = {**steps, **self.noted.get(team, {})}
        self.waiting = self.noted

    def next_need(self, team: str) -> Resources:
        """Return what the first step in line needs to start; nothing if none waits."""
        first = next(iter(self.waiting.get(team, {}).values()), None)
        return NO_RESOURCES if first is None else first.need

    def oldest(self, team: str) -> LimitedStep | None:
        """Return the step that has waited for the longest time; None if none waits."""
        steps = self.waiting.get(team, {}).values()
        return min(steps, key=lambda item: item.since_s, default=None)

    def oldest_wait_s(self, now_s: float) -> float:
        """Return how long the oldest step of any team has waited, seconds."""
        found = [self.oldest(team) for team in self.waiting]
        return max((now_s - item.since_s for item in found if item), default=0.0)
