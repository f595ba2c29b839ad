"""Workers that start again under their names, and holders of their pool.

Time is virtual; the schedulers of the holders are real.
"""

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass

from heatherhatch_core.coordination.scheduler import WorkerInfo
from heatherhatch_core.state.resources import Resources
from incarnation_holder import Holder
from incarnation_worker import Incarnation
from pool_model import POOL

TICK_S = 0.05
ORDERING_S = 1.47  # how long a holder without the store sends orders
ISOLATED_CLAIM_S = 1.5
RENEWING_S = 2.0


@dataclass(frozen=True)
class Conditions:
    """How the workers, the network and the store behave.

    Attributes:
        entry_after_s: From a restart of a worker to its entry in the directory.
        cut_s: How long a cut lasts.
        entry_kept_s: How long the entry of a worker is kept that is cut off.
        claim_s: Time until the next holder after one was killed.
        write_s: Time that a write to the store takes.
        keeps_connections: True if an order goes out on an open connection.
        closes_connections: True if those of an incarnation that is over are closed.
        fates_s: For one start after the other, after how long it is carried out without
            an answer, seconds; None if it is answered.
        is_late_anywhere: True if a start without an answer may be carried out by a
            later incarnation than the one that it was sent to.
        renewal_late_s: After how long a renewal without an answer is carried out by the
            present incarnation, seconds; None if it is not.
        is_isolated: True if a holder is lost by a cut from the store.
        faults: Rules that the holders do not follow.
    """

    entry_after_s: float = 0.5
    claim_s: float = 1.2
    write_s: float = 0.01
    cut_s: float = 9.0
    entry_kept_s: float = float("inf")
    keeps_connections: bool = False
    closes_connections: bool = False
    fates_s: tuple[float | None, ...] = (None,)
    is_late_anywhere: bool = False
    renewal_late_s: float | None = None
    is_isolated: bool = False
    faults: tuple[str, ...] = ()


class World:
    """Workers, holders and their store; collects violations.

    Attributes:
        cut: Workers that no holder reaches.
        entries: Entries of the directory.
        violations: Violations, one line each.
    """

    def __init__(self, conditions: Conditions):
        self.now_s = 0.0
        self.conditions = conditions
        self.fates_s = itertools.cycle(conditions.fates_s)
        self.calls: list = []
        self.order = itertools.count()
        self.cut: set[str] = set()
        self.jobs: dict = {}
        self.progress: dict = {}
        self.entries: dict[str, WorkerInfo] = {}
        self.present: dict[str, Incarnation] = {}
        self.starts_s: dict = defaultdict(lambda: float("-inf"))
        self.acknowledged: dict = {}
        self.violations: list[str] = []
        self.begun = 0
        for number, name in enumerate(("w1", "w2"), 1):
            self.present[name] = Incarnation(self, name, number, self.now_s - 15.0)
            self.register(name)
        self.holder = Holder(self, 1)
        self.after(TICK_S, self.tick)

    def after(self, seconds: float, call, *args) -> None:
        heapq.heappush(self.calls, (self.now_s + seconds, next(self.order), call, args))

    def run(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self.calls and self.calls[0][0] <= until_s:
            self.now_s, _order, call, args = heapq.heappop(self.calls)
            call(*args)
        self.now_s = until_s

    def tick(self) -> None:
        for present in self.present.values():
            present.tick()
        self.after(TICK_S, self.tick)

    def connect(self, name: str) -> Incarnation | None:
        present = self.present[name]
        return present if present.is_reached else None

    def register(self, name: str) -> None:
        born_ms, capacity = self.present[name].born_ms, Resources(64_000, 64_000)
        info = WorkerInfo(name, f"m-{name}", POOL, "dc", born_ms, capacity)
        self.entries[name] = info

    def start_late(self, there: Incarnation, order, deadline_ms, token) -> None:
        if self.conditions.is_late_anywhere:
            there = self.present[there.name]
        there.start(order, deadline_ms, token, is_late=True)

    # What happens to them.

    def submit(self, job) -> None:
        self.jobs[job.job_id] = job
        if self.holder.is_up:
            self.holder.scheduler.add_job(job, None, self.now_s)

    def restart(self, name: str) -> None:
        """Start a worker again, under its name."""
        former = self.present[name]
        former.is_up = False
        former.is_closed = self.conditions.closes_connections
        former.runs.clear()
        born_ms = int(self.now_s * 1000)
        self.present[name] = Incarnation(self, name, born_ms, self.now_s)
        self.after(self.conditions.entry_after_s, self.register, name)

    def cut_off(self, name: str) -> None:
        self.cut.add(name)
        self.after(self.conditions.cut_s, self.end_cut, name)
        if self.conditions.entry_kept_s < self.conditions.cut_s:
            self.after(self.conditions.entry_kept_s, self.entries.pop, name, None)

    def end_cut(self, name: str) -> None:
        self.cut.discard(name)
        self.after(self.conditions.entry_after_s, self.register, name)

    def lose_holder(self) -> None:
        """Kill the holder, or cut it off from the store but not from the workers."""
        if not self.conditions.is_isolated:
            self.holder.is_up = False
            self.after(self.conditions.claim_s, self.replace_holder, self.holder)
            return
        self.holder.orders_until_s = self.now_s + ORDERING_S
        self.holder.renews_until_s = self.now_s + RENEWING_S
        self.after(ISOLATED_CLAIM_S, self.replace_holder, self.holder)

    def replace_holder(self, former: Holder) -> None:
        if self.holder is former:
            self.holder = Holder(self, former.token + 1)

    # What must not happen.

    def note_start(self, there: Incarnation, task, is_late: bool) -> None:
        self.begun += 1
        for other in self.present.values():
            if any(key[0] == task for key in other.runs):
                self.violations.append(f"{task} runs on {other.name} and {there.name}")
        # The rules allow a late start after an end whose worker's lease has expired.
        if task in self.acknowledged and not (is_late and self.acknowledged[task]):
            self.violations.append(f"{task} started after an acknowledged end")
        self.starts_s[task] = self.now_s

    def note_acknowledged(self, task, ended_s: float) -> None:
        has_expired = ended_s == float("inf")
        self.acknowledged[task] = self.acknowledged.get(task, True) and has_expired
        if self.starts_s[task] > ended_s:
            self.violations.append(f"{task} started before its end was acknowledged")
