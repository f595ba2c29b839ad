"""The table of allowed worker state transitions and their causes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .entities import Assignment, Cause, WorkerState

if TYPE_CHECKING:
    from .changes import Edit
    from .configuration import Configuration

_S = WorkerState
_C = Cause
_DRAIN_CAUSES = frozenset([_C.OPERATOR, _C.WAVE, _C.MOVE, _C.RESTART])
_RELEASE_CAUSES = frozenset([_C.OPERATOR, _C.WAVE, _C.RESTART])

TRANSITIONS: dict[tuple[WorkerState, WorkerState], frozenset[Cause]] = {
    (_S.SERVING, _S.DRAINING): _DRAIN_CAUSES,
    # The cause of the drain is kept, because it determines the next transition.
    (_S.DRAINING, _S.DRAINED): _DRAIN_CAUSES,
    (_S.DRAINING, _S.SERVING): frozenset([_C.CANCELLED]),
    (_S.DRAINED, _S.SERVING): frozenset([_C.CANCELLED, _C.MOVE]),
    (_S.DRAINED, _S.MAINTENANCE): _RELEASE_CAUSES,
    (_S.MAINTENANCE, _S.RETURNING): frozenset([_C.OPERATOR, _C.RETURN]),
    (_S.RETURNING, _S.SERVING): frozenset([_C.OPERATOR, _C.RETURN, _C.MOVE]),
    (_S.FAILED, _S.MAINTENANCE): _RELEASE_CAUSES,
    (_S.LOST, _S.MAINTENANCE): _RELEASE_CAUSES,
    (_S.FAILED, _S.RETURNING): frozenset([_C.RECOVERY]),
    (_S.LOST, _S.RETURNING): frozenset([_C.RECOVERY]),
    **{(state, _S.FAILED): frozenset([_C.FAILURE]) for state in _S},
    **{(state, _S.LOST): frozenset([_C.LOSS]) for state in _S},
}

# Transitions to these states rely on a confirmation about one earlier assignment,
# so they must name its log position. Otherwise a confirmation of an earlier drain
# could mark a worker as drained that has since been put back and is draining again.
FENCED_STATES = frozenset([_S.DRAINED, _S.MAINTENANCE])
INVOLUNTARY_STATES = frozenset([_S.FAILED, _S.LOST])
INITIAL_STATES = frozenset([_S.SERVING, _S.RETURNING])


def transition_problems(
    before: Configuration, after: Configuration, assignments: tuple[Assignment, ...]
) -> list[str]:
    """Return a sentence for each problem of the assignments of an edit.

    Args:
        before: Configuration right before the edit.
        after: Configuration right after the edit.
        assignments: Assignments of the edit.
    """
    found = []
    for worker_id, count in Counter(a.worker_id for a in assignments).items():
        if count > 1:
            found.append(f"worker {worker_id!r} is assigned {count} times")
    for item in assignments:
        name = item.worker_id
        if name not in after.workers:
            found.append(f"assignment of unknown worker {name!r}")
        elif item.pool not in after.pools:
            found.append(f"assignment of {name!r}: unknown pool {item.pool!r}")
        elif item.next_pool and item.next_pool not in after.pools:
            found.append(f"assignment of {name!r}: unknown pool {item.next_pool!r}")
        elif name not in before.workers:
            if item.state not in INITIAL_STATES:
                found.append(f"new worker {name!r} can't start as {item.state.value}")
        else:
            found += _assignment_problems(before, item)
    return found


def _assignment_problems(before: Configuration, item: Assignment) -> list[str]:
    name = item.worker_id
    state = before.state_of(name)
    causes = TRANSITIONS.get((state, item.state), frozenset())
    step = f"worker {name!r}: {state.value} to {item.state.value}"
    if not causes:
        return [f"{step} is not a valid transition"]
    if item.cause not in causes:
        return [f"{step} is not allowed for cause {item.cause.value}"]
    return _fence_problems(before, item, step) + _pool_problems(before, item, step)


def _fence_problems(before, item, step) -> list[str]:
    assignment = before.assignments.get(item.worker_id)
    seq = assignment.seq if assignment is not None else 0
    if item.replaces >= 0 and item.replaces != seq:
        return [f"{step} replaces {item.replaces}, but the worker changed at {seq}"]
    if item.replaces < 0 and item.state in FENCED_STATES:
        return [f"{step} must state the position of the assignment that it replaces"]
    return []


def _pool_problems(before, item, step) -> list[str]:
    pool = before.pool_of(item.worker_id)
    if item.pool == pool:
        return []
    if item.state is _S.SERVING and item.cause is _C.MOVE:
        return []
    return [f"{step} can't change the pool from {pool!r} to {item.pool!r}"]


def implicit_problems(
    before: Configuration, after: Configuration, edit: Edit
) -> list[str]:
    """Return a sentence for each worker that would change without an assignment.

    A new home pool or the removal of an assignment would otherwise change a
    worker without a check against the table of transitions.
    """
    assigned = {item.worker_id for item in edit.assignments}
    found = []
    for name in sorted(edit.touched_workers - assigned):
        if name not in before.workers or name not in after.workers:
            continue
        previous = (before.pool_of(name), before.state_of(name))
        if previous != (after.pool_of(name), after.state_of(name)):
            found.append(f"worker {name!r} must be moved by an assignment")
    return found
