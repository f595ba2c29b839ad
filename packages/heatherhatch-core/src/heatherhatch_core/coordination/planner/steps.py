"""Steps: the edits of a plan that are due now."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

from ...state.budget import budget_headroom
from ...state.changes import Edit
from ...state.configuration import Configuration
from ...state.entities import Assignment, Cause, Wave, WorkerState
from ...state.transitions import INVOLUNTARY_STATES
from .messages import Plan

_S = WorkerState


@dataclass(frozen=True, slots=True)
class Evidence:
    """Local observations of the node that carries out the plan.

    Attributes:
        is_drained: Returns True if nothing runs on the worker of an assignment and
            nothing can be sent to it.
        is_up: Returns True if the backend server of a worker answers.
    """

    is_drained: Callable[[Assignment], bool]
    is_up: Callable[[str], bool]


@dataclass(frozen=True, slots=True)
class Steps:
    """The steps that are due now.

    Attributes:
        progress: Steps of workers that serve no pool now; they use no availability
            budget.
        drains: Drains, each of which takes a permit of the availability budget.
        held_back: Workers whose drain is due but has no permit.
        late: Workers whose wave has begun but that are not known to be drained.
    """

    progress: tuple[Assignment, ...] = ()
    drains: tuple[Assignment, ...] = ()
    held_back: tuple[str, ...] = ()
    late: tuple[str, ...] = ()

    @property
    def edits(self) -> tuple[Edit, ...]:
        """Edits to write in this order; a rejected one does not stop the next."""
        groups = (self.progress, self.drains)
        return tuple(Edit(assignments=group) for group in groups if group)


def due_steps(
    config: Configuration, plan: Plan, now_s: float, evidence: Evidence
) -> Steps:
    """Return the steps that are due.

    They depend on no state of earlier calls, only on the configuration, the plan
    and the evidence, so that another node can continue where one has stopped.

    Args:
        config: Latest configuration that this node knows.
        plan: Plan made from this configuration or an earlier one.
        now_s: Seconds since the epoch.
        evidence: Local observations of this node.
    """
    active = _active_waves(config, now_s)
    progress = [
        step
        for item in config.assignments.values()
        if item.state is not _S.SERVING
        and (step := _next_step(config, item, active, plan, evidence)) is not None
    ]
    progress = [dataclasses.replace(item, since_s=now_s) for item in progress]
    drains, held_back = _due_drains(config, plan, now_s)
    late = [name for name in sorted(active) if is_late(config, name)]
    return Steps(tuple(progress), drains, held_back, tuple(late))


def failure_edit(
    config: Configuration, states: dict[str, WorkerState], now_s: float, detail: str
) -> Edit:
    """Return the edit that records failed and lost workers.

    Workers that are known to be away are left out: they are not expected to answer.
    """
    absent_states = (_S.MAINTENANCE, *INVOLUNTARY_STATES)
    causes = {_S.FAILED: Cause.FAILURE, _S.LOST: Cause.LOSS}
    return Edit(
        assignments=tuple(
            Assignment(name, config.pool_of(name), state, causes[state], detail, now_s)
            for name, state in sorted(states.items())
            if name in config.workers and config.state_of(name) not in absent_states
        )
    )


def _active_waves(config: Configuration, now_s: float) -> dict[str, Wave]:
    return {
        name: wave
        for wave in config.waves.values()
        if wave.start_s <= now_s < wave.end_s
        for name in wave.workers
        if name in config.workers
    }


def is_late(config: Configuration, name: str) -> bool:
    """Return True if a worker whose wave has begun is not known to be drained."""
    absent_states = (_S.DRAINED, _S.MAINTENANCE, *INVOLUNTARY_STATES)
    return config.state_of(name) not in absent_states


def _next_step(config, item, active, plan, evidence) -> Assignment | None:
    if item.state is _S.DRAINING:
        return _after_draining(item, active, plan, evidence)
    if item.state is _S.DRAINED:
        return _after_drained(config, item, active, plan)
    if item.state in INVOLUNTARY_STATES:
        return _after_failure(item, active, evidence)
    if item.state is _S.MAINTENANCE:
        is_over = item.worker_id not in active and item.cause is not Cause.OPERATOR
        if is_over and evidence.is_up(item.worker_id):
            return _successor(item, _S.RETURNING, Cause.RETURN)
    by_operator = item.cause is Cause.OPERATOR
    if (
        item.state is _S.RETURNING
        and not by_operator
        and evidence.is_up(item.worker_id)
    ):
        return _successor(item, _S.SERVING, Cause.RETURN)
    return None


def _after_draining(item, active, plan, evidence) -> Assignment | None:
    if _is_obsolete(item, active, plan):
        return _successor(item, _S.SERVING, Cause.CANCELLED, "the wave is over")
    if evidence.is_drained(item):
        step = _successor(item, _S.DRAINED, item.cause, item.detail)
        return dataclasses.replace(step, next_pool=item.next_pool)
    return None


def _after_drained(config, item, active, plan) -> Assignment | None:
    if item.cause is Cause.MOVE:
        if item.next_pool not in config.pools:
            return _successor(
                item, _S.SERVING, Cause.CANCELLED, "the next pool no longer exists"
            )
        step = _successor(item, _S.SERVING, Cause.MOVE, item.detail)
        return dataclasses.replace(step, pool=item.next_pool)
    if item.cause is Cause.RESTART or (
        item.cause is Cause.WAVE and item.worker_id in active
    ):
        return _successor(item, _S.MAINTENANCE, item.cause, item.detail)
    if _is_obsolete(item, active, plan):
        return _successor(item, _S.SERVING, Cause.CANCELLED, "the wave is over")
    return None


def _after_failure(item, active, evidence) -> Assignment | None:
    if item.worker_id in active:
        if evidence.is_drained(item):
            return _successor(
                item, _S.MAINTENANCE, Cause.WAVE, "failed before the wave"
            )
        return None
    if evidence.is_up(item.worker_id):
        return _successor(item, _S.RETURNING, Cause.RECOVERY)
    return None


def _is_obsolete(item, active, plan) -> bool:
    if item.cause is not Cause.WAVE or item.worker_id in active:
        return False
    return all(departure.worker_id != item.worker_id for departure in plan.departures)


def _successor(item: Assignment, state, cause, detail="") -> Assignment:
    # ``replaces`` names the assignment that the step follows, so that the write of a
    # planner with an outdated configuration is rejected.
    return Assignment(
        item.worker_id, item.pool, state, cause, detail, replaces=item.seq
    )


def _due_drains(config, plan, now_s):
    permits: dict[str, int] = {}
    drains: dict[str, Assignment] = {}
    held_back = []
    for item in _scheduled_drains(config, plan, now_s):
        name, pool = item.worker_id, item.pool
        if name in drains or config.state_of(name) is not _S.SERVING:
            continue
        if pool not in permits:
            permits[pool] = budget_headroom(config, pool)
        if permits[pool] <= 0:
            held_back.append(name)
            continue
        permits[pool] -= 1
        drains[name] = dataclasses.replace(item, since_s=now_s)
    return tuple(drains.values()), tuple(held_back)


def _scheduled_drains(config, plan, now_s):
    # Both are in order of time, so that the loops stop at the first one not due.
    for departure in takewhile(lambda item: item.at_s <= now_s, plan.departures):
        if _is_current(config, departure, now_s):
            yield _drain(
                config, departure.worker_id, Cause.WAVE, f"wave {departure.wave_id}"
            )
    for move in takewhile(lambda item: item.at_s <= now_s, plan.moves):
        if move.worker_id not in config.workers:
            continue
        if config.pool_of(move.worker_id) == move.from_pool:
            step = _drain(config, move.worker_id, Cause.MOVE, move.reason)
            yield dataclasses.replace(step, next_pool=move.to_pool)


def _is_current(config, departure, now_s) -> bool:
    # The plan may be older than the last change of the wave.
    wave = config.waves.get(departure.wave_id)
    if wave is None or departure.worker_id not in config.workers:
        return False
    return now_s < wave.end_s and departure.worker_id in wave.workers


def _drain(config, name, cause, detail) -> Assignment:
    assignment = config.assignments.get(name)
    seq = assignment.seq if assignment is not None else 0
    pool = config.pool_of(name)
    return Assignment(name, pool, _S.DRAINING, cause, detail, replaces=seq)
