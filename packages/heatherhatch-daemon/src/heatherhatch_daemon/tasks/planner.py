"""The holder of the plan: carries out its due steps by changes of the log."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.lock import RLock

from heatherhatch_core.coordination.health import FleetHealth
from heatherhatch_core.coordination.planner import (
    Evidence,
    Plan,
    PlanTiming,
    Steps,
    drain_times,
    due_steps,
    failure_edit,
    plan_waves,
)
from heatherhatch_core.coordination.release import ReleaseGate
from heatherhatch_core.coordination.time_slots import next_slot_in_s
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.configuration import Configuration

from ..events import Event, log
from ..transport.probe import can_connect_each
from .claim import Claim, ClaimEvents
from .follower import Follower
from .task import Task

PLANNER_KEY = "planner"
PLANNER_EVENTS = ClaimEvents(Event.PLANNER_TAKEN, Event.PLANNER_LOST)
ACTOR = "planner"
# Together they bound how long a plan is without a holder. One node looks in
# each slot of LOOK_S; the slot of a dead holder stays empty.
CLAIM_S = 3
LOOK_S = 1.0
PERIOD_S = 0.5
PROBE_PERIOD_S = 1.0
REPLAN_LEAST_S = 2.0
REPLAN_MOST_S = 60.0
TIMING = PlanTiming()
REFUSALS = (ErrorKind.INVALID_CHANGE, ErrorKind.BUDGET_EXCEEDED)


@dataclass(frozen=True, slots=True)
class PlannerPorts:
    """What the planner asks of the rest of the node.

    Attributes:
        suspects: Addresses that this node's requests could not reach.
        unlisted: Workers that have left the platform's list.
        probe: Tells for each address whether it takes a connection.
    """

    suspects: Callable[[], frozenset[str]] = frozenset
    unlisted: Callable[[], frozenset[str]] = frozenset
    probe: Callable[[list[str]], list[bool]] = can_connect_each


class FleetPlanner(Task):
    """Plans the fleet, and carries the plan out while it holds the claim.

    Each step is a change of the log that is checked at its position, so that a
    former holder that wakes up late can do no harm. A new holder begins with
    the log alone and gathers its evidence anew. Nothing is done that was not
    recorded first: without the store or without standing nothing is done.

    Args:
        claim: The claim of the planner.
        follower: Configuration log.
        ports: What else it asks of the node.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        claim: Claim,
        follower: Follower,
        ports: PlannerPorts,
        wall_clock: Callable[[], float],
    ):
        super().__init__("planner", PERIOD_S, claim.clock)
        self.claim = claim
        self.follower = follower
        self.ports = ports
        self.wall_clock = wall_clock
        self.plan = Plan()
        self.leaving: dict[str, float] = {}
        self.planning = RLock()
        self.planned_for: Configuration | None = None
        self.planned_s = float("-inf")
        self._begin_term()

    def step(self) -> None:
        """Do what is due, if this node holds the claim."""
        if not self.claim.keep():
            self.holding = False
            return
        if not self.holding:
            self._begin_term()
            self.holding = True
        if not self.follower.has_standing():
            return
        self._probe()
        self._record_failures()
        steps = self._due_steps()
        self._report(steps)
        for edit in steps.edits:
            self._submit(edit, "plan")

    def finish(self) -> None:
        """Give the claim up."""
        self.claim.release()

    def current_plan(self) -> Plan:
        """Return the plan, made anew if the fleet or the time has moved on.

        Any node may ask, whether it holds the claim or not.
        """
        with self.planning:
            config = self.follower.config
            if self._is_due(config):
                self._replan(config)
            return self.plan

    def drain_time(self, worker_id: str) -> float | None:
        """Return when a worker is wanted drained, seconds since the epoch."""
        self.current_plan()
        return self.leaving.get(worker_id)

    def _is_due(self, config: Configuration) -> bool:
        old = self.planned_for
        if old is None or not _same_statements(old, config):
            return True
        same = old.assignments is config.assignments
        age_s = self.clock() - self.planned_s
        return age_s >= (REPLAN_MOST_S if same else REPLAN_LEAST_S)

    def _replan(self, config: Configuration) -> None:
        previous = self.plan if self.planned_for is not None else None
        # A plan of a large fleet takes longer than a request may be held up.
        self.plan = gevent.get_hub().threadpool.apply(
            plan_waves, (config, self.wall_clock(), TIMING, previous)
        )
        self.leaving = drain_times(self.plan)
        self.planned_for = config
        self.planned_s = self.clock()

    def _begin_term(self):
        self.holding = False
        self.gate = ReleaseGate(lambda seq: self.follower.in_force(seq).everywhere)
        self.health = FleetHealth()
        self.probed_s = float("-inf")
        self.told: set[tuple[str, ...]] = set()

    def _probe(self):
        now = self.clock()
        if now - self.probed_s < PROBE_PERIOD_S:
            return
        self.probed_s = now
        config = self.follower.config
        names = self.health.to_probe(config, self.ports.suspects())
        addresses = [config.workers[name].address for name in names]
        for name, reached in zip(names, self.ports.probe(addresses), strict=True):
            self.health.note(name, reached)
        if self.health.may_be_cut_off(config):
            self._tell_once(Event.FAILURES_DOUBTED)

    def _record_failures(self):
        config = self.follower.config
        states = self.health.failed(config, self.ports.unlisted())
        edit = failure_edit(config, states, self.wall_clock(), "not reached")
        if edit.assignments:
            self._submit(edit, "workers were not reached")
            for item in edit.assignments:
                log(Event.WORKER_FAILED, worker=item.worker_id, state=item.state.value)

    def _due_steps(self) -> Steps:
        config = self.follower.config
        self.gate.forget(config)
        now = self.clock()
        evidence = Evidence(
            lambda item: self.gate.is_drained(config, item, now),
            self.health.is_up,
        )
        return due_steps(config, self.current_plan(), self.wall_clock(), evidence)

    def _submit(self, edit: Edit, reason: str) -> None:
        # What one assignment is refused for must not hold up the others.
        try:
            self.follower.append(uuid.uuid4().hex, ACTOR, reason, edit)
        except HeatherhatchError as error:
            if error.kind not in REFUSALS:
                raise
            log(Event.STEP_REFUSED, detail=str(error))
            if len(edit.assignments) > 1:
                for item in edit.assignments:
                    self._submit(Edit(assignments=(item,)), reason)

    def _report(self, steps: Steps) -> None:
        for name in steps.held_back:
            self._tell_once(Event.DRAIN_HELD_BACK, worker=name)
        for name in steps.late:
            self._tell_once(Event.RELEASE_LATE, worker=name)
        for item in self.plan.shortfalls:
            self._tell_once(
                Event.SHORTFALL,
                wave=item.wave_id,
                pool=item.pool,
                missing=str(item.missing),
                mend=item.mend,
            )

    def _tell_once(self, event: Event, **details: str) -> None:
        key = (event.name, *details.values())
        if key not in self.told:
            self.told.add(key)
            log(event, **details)


def open_planner(follower: Follower, ports: PlannerPorts) -> FleetPlanner:
    """Return the planner of a node, with its claim.

    Args:
        follower: Configuration log.
        ports: What else it asks of the node.
    """
    claim = Claim(
        follower.store,
        ttl_s=CLAIM_S,
        look_s=LOOK_S,
        # A holder does nothing without the store, so that nobody waits for it.
        settle_s=0.0,
        may_take=follower.has_standing,
        clock=follower.clock,
        key=PLANNER_KEY,
        events=PLANNER_EVENTS,
        next_look_s=lambda: next_slot_in_s(
            follower.wall_clock(), LOOK_S, follower.rank, follower.members
        ),
    )
    return FleetPlanner(claim, follower, ports, follower.wall_clock)


def _same_statements(old: Configuration, new: Configuration) -> bool:
    # Tables that a change did not touch are the same objects after it.
    return (
        old.pools is new.pools and old.workers is new.workers and old.waves is new.waves
    )
