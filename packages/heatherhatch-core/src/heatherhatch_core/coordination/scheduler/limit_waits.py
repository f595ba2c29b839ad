"""Tasks that could run now but for the limit of their team."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ...state.resources import NO_RESOURCES, Resources
from .permits import StepName

PATIENCE_S = 0.5  # a step that has waited this long may make other work wait
REST_S = 1.5  # the same in a pool that runs work of the team
FIRST_HOLD_S = 2.0  # for how long other work waits at first
MAX_HOLD_S = 600.0  # after doubling
NO_WORKER_PAUSE_S = 0.5  # between two searches for a worker with room for a step


@dataclass(frozen=True, slots=True)
class LimitedStart:
    """The last start of a team's work in the pool.

    Attributes:
        need: Resources of the task or gang.
        at_s: Monotonic time, seconds.
    """

    need: Resources
    at_s: float


@dataclass(frozen=True, slots=True)
class LimitedStep:
    """A step of which no task starts because of its team's limit.

    Attributes:
        step: The step.
        need: Resources of the least that can start: one task, or the whole gang.
        since_s: Since when the limit has kept its tasks from starting, monotonic
            seconds.
        count: How often that much could start, if the limit had room.
    """

    step: StepName
    need: Resources
    since_s: float
    count: int = 1


class LimitWaits:
    """Remembers which steps wait for the limits of their teams, and since when.

    Attributes:
        waiting: Limited steps of each team in the last round, in the order of the
            jobs.
        noted: The same for the round in progress.
        starved: The step of each team that has waited for the longest time and that
            the workers have room for; teams without one are absent.
        last_starts: The last start of each team's work.
        holds_s: How long each step may make other work wait next time, seconds.
        paused_until_s: Steps that do not, as they did in vain or no worker has room for
            them, and until when.
    """

    def __init__(self):
        self.waiting: dict[str, dict[StepName, LimitedStep]] = {}
        self.noted: dict[str, dict[StepName, LimitedStep]] = {}
        self.starved: dict[str, LimitedStep] = {}
        self.last_starts: dict[str, LimitedStart] = {}
        self.holds_s: dict[StepName, float] = {}
        self.paused_until_s: dict[StepName, float] = {}

    def note_start(self, team: str, need: Resources, now_s: float) -> None:
        """Record that a task or a gang of a team was placed."""
        self.last_starts[team] = LimitedStart(need, now_s)

    def is_passed_over(self, team: str, need: Resources) -> bool:
        """Return whether work that needs less started last."""
        last = self.last_starts.get(team)
        return last is not None and not need.fits(last.need)

    def is_at_rest(self, team: str, used: Resources, now_s: float) -> bool:
        """Return whether no work of a team has started for a while.

        Args:
            team: Name of the team.
            used: What its runs in the pool use; their ends make room.
            now_s: Monotonic time, seconds.
        """
        last = self.last_starts.get(team)
        rest_s = PATIENCE_S if used == NO_RESOURCES else REST_S
        return last is None or now_s - last.at_s >= rest_s

    def begin_round(self) -> None:
        """Begin a placement round."""
        self.noted = {}

    def note(
        self, team: str, step: StepName, need: Resources, count: int, now_s: float
    ) -> None:
        """Record that the limit keeps the tasks of a step from starting.

        Args:
            team: Team of the job.
            step: The step.
            need: Resources of the least that can start.
            count: How often that much could start.
            now_s: Monotonic time, seconds.
        """
        known = self.waiting.get(team, {}).get(step)
        since_s = now_s if known is None else known.since_s
        steps = self.noted.setdefault(team, {})
        steps.setdefault(step, LimitedStep(step, need, since_s, count))

    def end_round(self, complete: bool) -> None:
        """End a placement round.

        Args:
            complete: False if the round did not come to all jobs.
        """
        if not complete:
            for team, steps in self.waiting.items():
                self.noted[team] = {**steps, **self.noted.get(team, {})}
        self.waiting = self.noted
        steps = {step for found in self.waiting.values() for step in found}
        self.holds_s = {key: s for key, s in self.holds_s.items() if key in steps}
        self.paused_until_s = {
            key: s for key, s in self.paused_until_s.items() if key in steps
        }

    def impatient(
        self, team: str, limit: Resources, used: Resources, now_s: float
    ) -> list[LimitedStep]:
        """Return the steps that may make other work wait.

        The one that does so now comes first, then those that have waited longest;
        those that did so in vain or found no worker come last, in turn. Where work of
        the same size goes on starting, only those may that have waited for longer.

        Args:
            team: Team of the steps.
            limit: Limit of the team; 0 means no limit.
            used: What the team's runs in the pool use.
            now_s: Monotonic time, seconds.
        """
        current = self.starved.get(team)
        at_rest = self.is_at_rest(team, used, now_s)
        found = [
            item
            for item in self.waiting.get(team, {}).values()
            if now_s - item.since_s >= PATIENCE_S
            and item.need.within(limit)
            and (
                at_rest
                or self.is_passed_over(team, item.need)
                or now_s - item.since_s >= REST_S
            )
            and now_s >= self.paused_until_s.get(item.step, now_s)
        ]
        found.sort(
            key=lambda item: (
                current is None or item.step != current.step,
                self.paused_until_s.get(item.step, -math.inf),
                item.since_s,
            )
        )
        return found

    def note_no_worker(self, step: StepName, now_s: float) -> None:
        """Record that no worker has room for a step, so that others come first."""
        self.paused_until_s[step] = now_s + NO_WORKER_PAUSE_S

    def hold_s(self, step: StepName) -> float:
        """Return for how long a step may make other work wait, seconds."""
        return self.holds_s.get(step, FIRST_HOLD_S)

    def pause(self, step: StepName, now_s: float) -> None:
        """Let other work start for as long as it has waited for a step in vain.

        The step may make it wait for twice as long the next time: work that ends takes
        a time that is not known.
        """
        held_s = self.hold_s(step)
        self.paused_until_s[step] = now_s + held_s
        self.holds_s[step] = min(2 * held_s, MAX_HOLD_S)
        self.starved = {
            team: item for team, item in self.starved.items() if item.step != step
        }

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
