"""Simulation of a fleet in virtual time, run against the pure planning functions."""

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
    """How many events happen in a day.

    Attributes:
        failures: Workers that fail per day.
        restarts: Workers per day for which a restart is requested. It is refused
            if it would take the pool below its availability budget.
        operator_drains: Drains per day that operators request from an outdated
            configuration.
        planner_kills: Planners per day that are killed or paused.
        racks_lost, data_centres_lost: Racks and failure domains that are lost in
            the whole history.
    """

    failures: float = 52.0
    restarts: float = 320.0
    operator_drains: float = 40.0
    planner_kills: float = 12.0
    racks_lost: int = 1
    data_centres_lost: int = 1


@dataclass(slots=True)
class Tally:
    """Counts of what happened in a history.

    Attributes:
        violations: Voluntary steps that took a pool below its availability budget.
        mismatched: Workers found in a pool or state other than the accepted edits put
            them in, or serving in several pools or in none.
        accepted: Edits accepted into the log.
        refused: Refused edits by error kind.
        moves: Workers that changed pool.
        late: Workers whose wave started before they were known to be drained.
        short_pool_s: Seconds that pools were below their availability budget,
            summed over the pools.
    """

    violations: int = 0
    mismatched: int = 0
    accepted: int = 0
    refused: Counter[ErrorKind] = field(default_factory=Counter)
    moves: int = 0
    late: set[str] = field(default_factory=set)
    short_pool_s: float = 0.0


class HistoryChecker:
    """Tracks the accepted edits independently of the product code and checks each.

    Args:
        config: Configuration at the start of the history.
        tally: Counts that are updated.
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

    def record_edit(self, edit: Edit) -> None:
        """Record an accepted edit and count the budgets that it violates."""
        left_pools = set()
        for item in edit.assignments:
            pool, state = self.places[item.worker_id]
            if state is WorkerState.SERVING:
                self.serving[pool] -= 1
                if item.state not in (WorkerState.FAILED, WorkerState.LOST):
                    left_pools.add(pool)
            if item.state is WorkerState.SERVING:
                self.serving[item.pool] += 1
            self.tally.moves += item.pool != pool
            self.places[item.worker_id] = (item.pool, item.state)
        self.tally.violations += sum(
            self.serving[pool] < self.budgets[pool] for pool in left_pools
        )

    def compare(self, config: Configuration) -> None:
        """Compare the recorded place of each worker with a configuration."""
        seen = Counter(
            worker.worker_id
            for pool in config.pools
            for worker in config.serving_workers(pool)
        )
        for name, (pool, state) in self.places.items():
            place = (config.pool_of(name), config.state_of(name))
            matches = place == (pool, state)
            matches &= seen[name] == (state is WorkerState.SERVING)
            self.tally.mismatched += not matches


class Planner:
    """State of a holder of the planner role; a new one starts from the log alone."""

    def __init__(self):
        self.plan = Plan()
        self.planned_s = float("-inf")
        self.first_seen_s: dict[tuple[str, int], float] = {}

    def drained(self, item: Assignment, now_s: float) -> bool:
        """Return whether a drain was seen in an earlier tick, which confirms it."""
        first_s = self.first_seen_s.setdefault((item.worker_id, item.seq), now_s)
        return now_s > first_s


class FleetHistory:
    """Simulates a fleet with waves, failures, restarts and concurrent edits.

    Args:
        config: Fleet with its announced waves; times are seconds from 0.
        seed: Seed of all random events.
        rates: How many events happen.
    """

    def __init__(self, config: Configuration, seed: int, rates: Rates):
        self.random = random.Random(seed)
        self.rates = rates
        self.config = config
        self.tally = Tally()
        self.checker = HistoryChecker(config, self.tally)
        self.names = sorted(config.workers)
        self.down_until_s: dict[str, float] = {}
        self.held_until_s: dict[str, float] = {}
        self.planner = Planner()
        self.paused: tuple[Planner, Configuration] | None = None
        self.outdated = config
        self.short = False
        self.now_s = 0.0

    def run(self, days: float) -> Tally:
        """Simulate a number of days and return the counts."""
        ticks = int(days * DAY_S / TICK_S)
        self._schedule_outages(ticks)
        for tick in range(ticks):
            self.now_s = tick * TICK_S
            if tick % STALE_TICKS == 0:
                self.outdated = self.config
            if tick in self.outages:
                self._lose_group(self.outages[tick])
            self._fail_random_workers()
            self._submit_concurrent_drains()
            self._run_planner()
            self._count_shortage()
            if tick % (ticks // 10 or 1) == 0:
                self.checker.compare(self.config)
        self.checker.compare(self.config)
        return self.tally

    def submit(self, edit: Edit) -> bool:
        """Apply an edit as the log would and return whether it was accepted."""
        try:
            check_edit(self.config, edit)
        except HeatherhatchError as error:
            self.tally.refused[error.kind] += 1
            return False
        change = Change(self.config.seq + 1, "", "", "", self.now_s, edit)
        self.config = apply_change(self.config, change)
        self.checker.record_edit(edit)
        self.tally.accepted += 1
        return True

    def _schedule_outages(self, ticks):
        workers = [self.config.workers[name] for name in self.names]
        racks = sorted({worker.rack for worker in workers})
        failure_domains = sorted({worker.failure_domain for worker in workers})
        groups = self.random.sample(racks, self.rates.racks_lost)
        groups += self.random.sample(failure_domains, self.rates.data_centres_lost)
        self.outages = {self.random.randrange(ticks): group for group in groups}

    def _lose_group(self, group: str):
        lost = [name for name in self.names if _is_in(self.config.workers[name], group)]
        for name in lost:
            self.down_until_s[name] = self.now_s + OUTAGE_S
        self._record_states(dict.fromkeys(lost, WorkerState.LOST))

    def _fail_random_workers(self):
        ended = [
            name for name, until_s in self.down_until_s.items() if until_s <= self.now_s
        ]
        for name in ended:
            del self.down_until_s[name]
        for name in self._sample_workers(self.rates.failures):
            self.down_until_s.setdefault(name, self.now_s + REPAIR_S)
            self._record_states({name: WorkerState.FAILED})

    def _record_states(self, states):
        edit = failure_edit(self.config, states, self.now_s, "no answer")
        if not edit.assignments:
            return
        self.submit(edit)
        if self._needs_new_plan(edit):
            self.planner.planned_s = float("-inf")

    def _needs_new_plan(self, edit) -> bool:
        pools = {item.pool for item in edit.assignments}
        covering = {cover.worker_id for cover in self.planner.plan.covers}
        return any(budget_headroom(self.config, pool) < 0 for pool in pools) or any(
            item.worker_id in covering for item in edit.assignments
        )

    def _submit_concurrent_drains(self):
        for name in self._sample_workers(self.rates.restarts):
            self._drain(self.config, name, Cause.RESTART)
        for name in self._sample_workers(self.rates.operator_drains):
            if self._drain(self.outdated, name, Cause.OPERATOR):
                self.held_until_s[name] = self.now_s + OPERATOR_HOLD_S
        for name, until_s in list(self.held_until_s.items()):
            if until_s <= self.now_s:
                del self.held_until_s[name]
                pool = self.outdated.pool_of(name)
                cancellation = Assignment(
                    name, pool, WorkerState.SERVING, Cause.CANCELLED
                )
                self.submit(Edit(assignments=(cancellation,)))

    def _drain(self, view: Configuration, name: str, cause: Cause) -> bool:
        item = Assignment(name, view.pool_of(name), WorkerState.DRAINING, cause)
        return self.submit(Edit(assignments=(item,)))

    def _run_planner(self):
        if self._sample_workers(self.rates.planner_kills):
            # The former holder resumes later with its outdated plan and configuration.
            self.paused = (self.planner, self.config)
            self.planner = Planner()
        elif self.paused is not None and self.random.random() < 1 / STALE_TICKS:
            self._carry_out(*self.paused)
            self.paused = None
        if self.now_s - self.planner.planned_s >= REPLAN_S:
            # A previous plan, even an empty one, makes the planner skip the local
            # search, which takes most of the time and does not matter here.
            previous = self.planner.plan
            self.planner.plan = plan_waves(self.config, self.now_s, TIMING, previous)
            self.planner.planned_s = self.now_s
        self._carry_out(self.planner, self.config)

    def _carry_out(self, planner: Planner, view: Configuration):
        evidence = Evidence(
            lambda item: planner.drained(item, self.now_s),
            lambda name: name not in self.down_until_s,
        )
        steps = due_steps(view, planner.plan, self.now_s, evidence)
        self.tally.late |= set(steps.late)
        for edit in steps.edits:
            accepted = self.submit(edit)
            if not accepted and len(edit.assignments) > 1:
                for item in edit.assignments:
                    self.submit(Edit(assignments=(item,)))

    def _count_shortage(self):
        short = [p for p in self.config.pools if budget_headroom(self.config, p) < 0]
        self.tally.short_pool_s += TICK_S * len(short)

    def _sample_workers(self, rate: float) -> list[str]:
        # Random workers for the events of one tick. `rate` is in events per day; the
        # fractional part is rounded up or down at random.
        count, rest = divmod(rate * TICK_S / DAY_S, 1.0)
        count += self.random.random() < rest
        return self.random.sample(self.names, int(count))


def _is_in(worker: Worker, group: str) -> bool:
    return group in (worker.rack, worker.failure_domain)
