"""One incarnation of a worker of a model, whose clock begins at 0 with it.

It knows only what was sent to it, on a connection that leads to it alone.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhatch_core.coordination.scheduler import (
    Ending,
    ListedEnd,
    ListedRun,
    Report,
    StartOrder,
    StartResult,
)

if TYPE_CHECKING:
    from incarnation_model import World

LONGEST_LEASE_MS = 10_000
CLOCK_RATE = 0.98


@dataclass(eq=False)
class Incarnation:
    """One incarnation of a worker.

    Attributes:
        runs: When each run will be done, by task and run number, seconds.
        ended_s: When each end happened, by number, seconds; without those after which
            the lease has expired.
    """

    world: World
    name: str
    born_ms: int
    started_s: float
    is_up: bool = True
    is_closed: bool = False
    token: int = 0
    deadline_ms: float = 0.0
    runs: dict = field(default_factory=dict)
    refused: dict = field(default_factory=lambda: defaultdict(int))
    ends: list = field(default_factory=list)
    ended_s: dict = field(default_factory=dict)
    sequence: int = 0

    @property
    def clock_ms(self) -> float:
        return (self.world.now_s - self.started_s) * 1000 * CLOCK_RATE

    @property
    def is_reached(self) -> bool:
        return self.is_up and self.name not in self.world.cut

    def tick(self) -> None:
        if self.clock_ms >= self.deadline_ms:
            for key in list(self.runs):
                self.end(key, Ending.LAPSED)
            self.ended_s.clear()
        for key, until_s in list(self.runs.items()):
            if self.world.now_s >= until_s:
                self.end(key, Ending.DONE)

    def end(self, key, ending: Ending) -> None:
        del self.runs[key]
        self.refused[key[0]] = max(self.refused[key[0]], key[1])
        self.sequence += 1
        self.ends.append(ListedEnd(self.sequence, *key, ending, ""))
        self.ended_s[self.sequence] = self.world.now_s

    def take_token(self, token: int) -> bool:
        """Return whether calls with a token are accepted."""
        self.tick()
        accepted = self.is_up and token >= self.token
        self.token = max(self.token, token)
        return accepted

    def extend(self, deadline_ms: float) -> None:
        latest_ms = self.clock_ms + LONGEST_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest_ms))

    def acknowledge(self, upto: int) -> None:
        for end in self.ends:
            if end.sequence <= upto and end.ending is Ending.DONE:
                ended_s = self.ended_s.get(end.sequence, float("inf"))
                self.world.note_acknowledged(end.task, ended_s)
        self.ends = [end for end in self.ends if end.sequence > upto]

    def start(
        self, order: StartOrder, deadline_ms: float, token: int, is_late: bool = False
    ) -> StartResult:
        key = (order.task, order.number)
        if not self.take_token(token) or deadline_ms <= self.clock_ms:
            return StartResult.REFUSED
        if key in self.runs:
            return StartResult.STARTED
        self.extend(deadline_ms)
        if order.number <= self.refused[order.task]:
            return StartResult.REFUSED
        self.world.note_start(self, order.task, is_late)
        self.runs[key] = self.world.now_s + float(order.payload)
        return StartResult.STARTED

    def stop(self, order, token: int) -> None:
        key = (order.task, order.number)
        if self.take_token(token):
            self.refused[order.task] = max(self.refused[order.task], order.number)
            if key in self.runs:
                self.end(key, Ending.STOPPED)

    def report(self) -> Report:
        self.tick()
        runs = tuple(ListedRun(*key, "", 100, 0.0) for key in self.runs)
        return Report(self.born_ms, self.clock_ms, runs, tuple(self.ends))
