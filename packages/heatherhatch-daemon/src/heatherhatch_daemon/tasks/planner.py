"""Planner of the fleet: carries out the due steps of the plan as log changes."""

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
# Together these bound the time for which the plan has no holder. One node polls in
# each slot of POLL_S; the slot of a failed holder stays unused.
CLAIM_TTL_S = 3
POLL_S = 1.0
PERIOD_S = 0.5
PROBE_PERIOD_S = 1.0
MIN_REPLAN_S = 2.0
MAX_REPLAN_S = 60.0
TIMING = PlanTiming()
REFUSAL_KINDS = (ErrorKind.INVALID_CHANGE, ErrorKind.BUDGET_EXCEEDED)


@dataclass(frozen=True, slots=True)
class PlannerPorts:
    """Functions of the rest of the node that the planner calls.

    Attributes:
        suspects: Returns the addresses that this node's requests could not reach.
        unlisted: Returns the workers that are no longer in the platform's list.
        probe: Returns for each address whether it accepts a connection.
    """

    suspects: Callable[[], frozenset[str]] = frozenset
    unlisted: Callable[[], frozenset[str]] = frozenset
    probe: Callable[[list[str]], list[bool]] = can_connect_each


class FleetPlanner(Task):
    """Plans the fleet, and carries out the plan while it holds the claim.

    Each step is a change of the log that is checked at its position, so that a
    former holder that resumes late cannot do harm. A new holder starts from the
    log only and collects its evidence again. Every step is recorded before it
    takes effect, so nothing is done without the store or without standing.

    Args:
        claim: The claim of the planner.
        follower: Follower of the configuration log.
        ports: Functions of the rest of the node.
        wall_clock: Returns seconds since the epoch.

    Attributes:
        plan: Latest plan.
        drain_time_of: When each worker has to be drained, seconds since the
            epoch, by worker id.
        planning: Lock that allows one planning run at a time.
        planned_for: Configuration of the latest plan, None before the first.
        planned_s: When the latest plan was made, monotonic seconds.
        holding: True while this node holds the claim.
        gate: Decides when draining workers are drained.
        health: Results of the probes.
        probed_s: When workers were last probed, monotonic seconds.
        logged: Events already logged since this node acquired the claim.
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
        self.drain_time_of: dict[str, float] = {}
        self.planning = RLock()
        self.planned_for: Configuration | None = None
        self.planned_s = float("-inf")
        self._begin_term()

    def step(self) -> None:
        """Carry out the due steps if this node holds the claim."""
        if not self.claim.renew_or_acquire():
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
        """Release the claim."""
        self.claim.release()

    def current_plan(self) -> Plan:
        """Return the plan, recomputed if the fleet has changed or the plan is old.

        This works on every node, whether it holds the claim or not.
        """
        with self.planning:
            config = self.follower.config
            if self._is_due(config):
                self._replan(config)
            return self.plan

    def drain_time(self, worker_id: str) -> float | None:
        """Return when a worker has to be drained, seconds since the epoch."""
        self.current_plan()
        return self.drain_time_of.get(worker_id)

    def _is_due(self, config: Configuration) -> bool:
        old = self.planned_for
        if old is None or not _same_desired_state(old, config):
            return True
        same = old.assignments is config.assignments
        age_s = self.clock() - self.planned_s
        return age_s >= (MAX_REPLAN_S if same else MIN_REPLAN_S)

    def _replan(self, config: Configuration) -> None:
        previous = self.plan if self.planned_for is not None else None
        # Planning a large fleet takes longer than a request may be delayed, so it
        # runs in a thread.
        self.plan = gevent.get_hub().threadpool.apply(
            plan_waves, (config, self.wall_clock(), TIMING, previous)
        )
        self.drain_time_of = drain_times(self.plan)
        self.planned_for = config
        self.planned_s = self.clock()

    def _begin_term(self):
        self.holding = False
        self.gate = ReleaseGate(lambda seq: self.follower.in_force(seq).everywhere)
        self.health = FleetHealth()
        self.probed_s = float("-inf")
        self.logged: set[tuple[str, ...]] = set()

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
            self._log_once(Event.FAILURES_DOUBTED)

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
        # The refusal of one assignment must not delay the others.
        try:
            self.follower.append(uuid.uuid4().hex, ACTOR, reason, edit)
        except HeatherhatchError as error:
            if error.kind not in REFUSAL_KINDS:
                raise
            log(Event.STEP_REFUSED, detail=str(error))
            if len(edit.assignments) > 1:
                for item in edit.assignments:
                    self._submit(Edit(assignments=(item,)), reason)

    def _report(self, steps: Steps) -> None:
        for name in steps.held_back:
            self._log_once(Event.DRAIN_HELD_BACK, worker=name)
        for name in steps.late:
            self._log_once(Event.RELEASE_LATE, worker=name)
        for item in self.plan.shortfalls:
            self._log_once(
                Event.SHORTFALL,
                wave=item.wave_id,
                pool=item.pool,
                missing=str(item.missing),
                mend=item.mend,
            )

    def _log_once(self, event: Event, **details: str) -> None:
        key = (event.name, *details.values())
        if key not in self.logged:
            self.logged.add(key)
            log(event, **details)


def open_planner(follower: Follower, ports: PlannerPorts) -> FleetPlanner:
    """Return the planner of a node with its claim.

    Args:
        follower: Follower of the configuration log.
        ports: Functions of the rest of the node.
    """
    claim = Claim(
        follower.store,
        ttl_s=CLAIM_TTL_S,
        poll_s=POLL_S,
        # A holder does nothing without the store, so that no node has to wait for
        # a former holder.
        settle_s=0.0,
        may_acquire=follower.has_standing,
        clock=follower.clock,
        key=PLANNER_KEY,
        events=PLANNER_EVENTS,
        next_poll_in_s=lambda: next_slot_in_s(
            follower.wall_clock(), POLL_S, follower.rank, follower.members
        ),
    )
    return FleetPlanner(claim, follower, ports, follower.wall_clock)


def _same_desired_state(old: Configuration, new: Configuration) -> bool:
    # Tables that a change does not affect remain the same objects.
    return (
        old.pools is new.pools and old.workers is new.workers and old.waves is new.waves
    )
