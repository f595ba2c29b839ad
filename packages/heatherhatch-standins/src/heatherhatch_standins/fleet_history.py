"""History of a fleet in virtual time, played against the pure decisions."""

import random
from collections import Counter
from dataclasses import dataclass, field

from heatherhatch_core.coordination.planner import (
    Evidence,
    Plan,
    PlanTiming,
    due_steps,
    failure_edit,
    plan_waves,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.budget import budget_headroom
from heatherhatch_core.state.changes import Change, Edit, apply_change, check_edit
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Assignment, Cause, Worker, WorkerState

DAY_S = 86_400.0
TICK_S = 300.0
TIMING = PlanTiming(lead_s=3_600.0, return_s=600.0, restart_s=1_800.0)
REPLAN_S = 6 * 3_600.0
REPAIR_S = 4 * 3_600.0
OUTAGE_S = 6 * 3_600.0
OPERATOR_HOLD_S = 2 * 3_600.0
STALE_TICKS = 6


@dataclass(frozen=True, slots=True)
class Rates:
    """How much happens on a day.

    Attributes:
        failures: Workers that fail.
        restarts: Workers that are restarted, if their pool has room.
        operator_drains: Drains by operators with an old view.
        planner_kills: Planners that are killed or paused.
        racks_lost, data_centres_lost: In the whole history.
    """

    failures: float = 52.0
    restarts: float = 320.0
    operator_drains: float = 40.0
    planner_kills: float = 12.0
    racks_lost: int = 1
    data_centres_lost: int = 1


@dataclass(slots=True)
class Tally:
    """What was seen.

    Attributes:
        violations: Voluntary steps that left a pool below its budget.
        doubled: Workers that were found in two pools, or in none.
        accepted: Edits in the log.
        refused: Edits refused, by error kind.
        moves: Workers that changed pool.
        late: Workers whose wave began before they were released.
        short_pool_s: Seconds for which a pool was below its budget, summed.
    """

    violations: int = 0
    doubled: int = 0
    accepted: int = 0
    refused: Counter[ErrorKind] = field(default_factory=Counter)
    moves: int = 0
    late: set[str] = field(default_factory=set)
    short_pool_s: float = 0.0


class Referee:
    """Follows the accepted edits on its own, and judges each.

    Args:
        config: Configuration with which the history begins.
        tally: Where it counts.
    """

    def __init__(self, config: Configuration, tally: Tally):
        self.tally = tally
        self.budgets = {p.name: p.min_available for p in config.pools.values()}
        self.places = {
            name: (config.pool_of(name), config.state_of(name))
            for name in config.workers
        }
        self.serving = Counter(
            pool for pool, state in self.places.values() if state is WorkerState.SERVING
        )

    def judge(self, edit: Edit) -> None:
        """Take an accepted edit into account."""
        left = set()
        for item in edit.assignments:
            pool, state = self.places[item.worker_id]
            if state is WorkerState.SERVING:
                self.serving[pool] -= 1
                if item.state not in (WorkerState.FAILED, WorkerState.LOST):
                    left.add(pool)
            if item.state is WorkerState.SERVING:
                self.serving[item.pool] += 1
            self.tally.moves += item.pool != pool
            self.places[item.worker_id] = (item.pool, item.state)
        self.tally.violations += sum(
            self.serving[pool] < self.budgets[pool] for pool in left
        )

    def compare(self, config: Configuration) -> None:
        """Compare the whole fleet with a configuration."""
        seen = Counter(
            worker.worker_id
            for pool in config.pools
            for worker in config.serving_workers(pool)
        )
        for name, (pool, state) in self.places.items():
            place = (config.pool_of(name), config.state_of(name))
            right = place == (pool, state)
            right &= seen[name] == (state is WorkerState.SERVING)
            self.tally.doubled += not right


class Planner:
    """One holder of the plan; another one begins with nothing but the log."""

    def __init__(self):
        self.plan = Plan()
        self.planned_s = float("-inf")
        self.confirmed: dict[tuple[str, int], float] = {}

    def drained(self, item: Assignment, now_s: float) -> bool:
        """Tell whether a drain was seen one tick ago, so that it is confirmed."""
        first_s = self.confirmed.setdefault((item.worker_id, item.seq), now_s)
        return now_s > first_s


class FleetHistory:
    """Plays a fleet's days: waves, failures, restarts, races.

    Args:
        config: Fleet with its announced waves, in seconds from 0.
        seed: Seed of everything that happens.
        rates: How much happens.
    """

    def __init__(self, config: Configuration, seed: int, rates: Rates):
        self.random = random.Random(seed)
        self.rates = rates
        self.config = config
        self.tally = Tally()
        self.referee = Referee(config, self.tally)
        self.names = sorted(config.workers)
        self.down: dict[str, float] = {}
        self.held: dict[str, float] = {}
        self.planner = Planner()
        self.paused: tuple[Planner, Configuration] | None = None
        self.stale = config
        self.short = False
        self.now_s = 0.0

    def run(self, days: float) -> Tally:
        """Play some days and return what was seen."""
        ticks = int(days * DAY_S / TICK_S)
        self._plan_disasters(ticks)
        for tick in range(ticks):
            self.now_s = tick * TICK_S
            if tick % STALE_TICKS == 0:
                self.stale = self.config
            if tick in self.disasters:
                self._lose(self.disasters[tick])
            self._fail_some()
            self._race()
            self._hold_plan()
            self._count_short()
            if tick % (ticks // 10 or 1) == 0:
                self.referee.compare(self.config)
        self.referee.compare(self.config)
        return self.tally

    def submit(self, edit: Edit) -> bool:
        """Write an edit as the log would; tell whether it was accepted."""
        try:
            check_edit(self.config, edit)
        except HeatherhatchError as error:
            self.tally.refused[error.kind] += 1
            return False
        change = Change(self.config.seq + 1, "", "", "", self.now_s, edit)
        self.config = apply_change(self.config, change)
        self.referee.judge(edit)
        self.tally.accepted += 1
        return True

    def _plan_disasters(self, ticks):
        workers = [self.config.workers[name] for name in self.names]
        racks = sorted({worker.rack for worker in workers})
        centres = sorted({worker.failure_domain for worker in workers})
        groups = self.random.sample(racks, self.rates.racks_lost)
        groups += self.random.sample(centres, self.rates.data_centres_lost)
        self.disasters = {self.random.randrange(ticks): group for group in groups}

    def _lose(self, group: str):
        lost = [name for name in self.names if _is_in(self.config.workers[name], group)]
        for name in lost:
            self.down[name] = self.now_s + OUTAGE_S
        self._record(dict.fromkeys(lost, WorkerState.LOST))

    def _fail_some(self):
        ended = [name for name, until_s in self.down.items() if until_s <= self.now_s]
        for name in ended:
            del self.down[name]
        for name in self._draw(self.rates.failures):
            self.down.setdefault(name, self.now_s + REPAIR_S)
            self._record({name: WorkerState.FAILED})

    def _record(self, states):
        edit = failure_edit(self.config, states, self.now_s, "no answer")
        if not edit.assignments:
            return
        self.submit(edit)
        if self._hurts(edit):
            self.planner.planned_s = float("-inf")

    def _hurts(self, edit) -> bool:
        pools = {item.pool for item in edit.assignments}
        lent = {cover.worker_id for cover in self.planner.plan.covers}
        return any(budget_headroom(self.config, pool) < 0 for pool in pools) or any(
            item.worker_id in lent for item in edit.assignments
        )

    def _race(self):
        for name in self._draw(self.rates.restarts):
            self._drain(self.config, name, Cause.RESTART)
        for name in self._draw(self.rates.operator_drains):
            if self._drain(self.stale, name, Cause.OPERATOR):
                self.held[name] = self.now_s + OPERATOR_HOLD_S
        for name, until_s in list(self.held.items()):
            if until_s <= self.now_s:
                del self.held[name]
                pool = self.stale.pool_of(name)
                back = Assignment(name, pool, WorkerState.SERVING, Cause.CANCELLED)
                self.submit(Edit(assignments=(back,)))

    def _drain(self, view: Configuration, name: str, cause: Cause) -> bool:
        item = Assignment(name, view.pool_of(name), WorkerState.DRAINING, cause)
        return self.submit(Edit(assignments=(item,)))

    def _hold_plan(self):
        if self._draw(self.rates.planner_kills):
            # The former holder wakes up later with what it knew.
            self.paused = (self.planner, self.config)
            self.planner = Planner()
        elif self.paused is not None and self.random.random() < 1 / STALE_TICKS:
            self._carry_out(*self.paused)
            self.paused = None
        if self.now_s - self.planner.planned_s >= REPLAN_S:
            # An empty plan before this one spares the exchanges, which cost most
            # of the time and do not matter here.
            previous = self.planner.plan
            self.planner.plan = plan_waves(self.config, self.now_s, TIMING, previous)
            self.planner.planned_s = self.now_s
        self._carry_out(self.planner, self.config)

    def _carry_out(self, planner: Planner, view: Configuration):
        evidence = Evidence(
            lambda item: planner.drained(item, self.now_s),
            lambda name: name not in self.down,
        )
        steps = due_steps(view, planner.plan, self.now_s, evidence)
        self.tally.late |= set(steps.late)
        for edit in steps.edits:
            accepted = self.submit(edit)
            if not accepted and len(edit.assignments) > 1:
                for item in edit.assignments:
                    self.submit(Edit(assignments=(item,)))

    def _count_short(self):
        short = [p for p in self.config.pools if budget_headroom(self.config, p) < 0]
        self.tally.short_pool_s += TICK_S * len(short)

    def _draw(self, rate: float) -> list[str]:
        # Events of one tick at a rate for each day, each on a random worker.
        count, rest = divmod(rate * TICK_S / DAY_S, 1.0)
        count += self.random.random() < rest
        return self.random.sample(self.names, int(count))


def _is_in(worker: Worker, group: str) -> bool:
    return group in (worker.rack, worker.failure_domain)
