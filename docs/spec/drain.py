"""Specification of the drain of a worker: permission, confirmation and release.

Two planners share one log. Two workers, 0 and 1, serve one pool in which one worker
must stay available. A planner reads the log, then writes the drain of its worker if
its view of the log allows one. Each node sends requests according to the configuration
that it has applied. A drained worker is released to the provider, who turns it off.

Invariants:
    budget: a voluntary step never leaves fewer than one worker serving.
    no_send_after_release: no node can send a request to a released worker.
    no_interrupted_request: no request runs on a released worker.

Broken variants, each of which violates the invariant given in BROKEN_VARIANTS:
    no_cas: a planner writes according to its own view, without a check against the
        head of the log.
    no_confirmation: a worker is released as soon as its drain is recorded.
    no_wait: a worker is released once its drain is in force on every node, without
        waiting for running requests.
    stale_confirmation: a confirmation of an earlier drain of the same worker counts.

Larger bounds by argument: drains of different workers interact only through the number
of serving workers in the pool, which the check reads at the head of the log, so a third
planner adds no new kind of race. The release condition depends on a node only through
its applied position, so nodes are independent of each other.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

BROKEN_VARIANTS = {
    "no_cas": "budget",
    "no_confirmation": "no_send_after_release",
    "no_wait": "no_interrupted_request",
    "stale_confirmation": "no_send_after_release",
}
MAX_CHANGES = 4
MAX_STATES = 400_000
SERVING, DRAINING, RELEASED = "serving", "draining", "released"


class State(NamedTuple):
    """One state of the system.

    Attributes:
        log: Worker states after each change, oldest first; ``log[0]`` is the initial
            state.
        views: Log position that each planner has read.
        applied: Log position that each node has applied.
        running: For each node, the worker that its request runs on, -1 if none.
        confirmed: Log position of the drain of worker 0 that was confirmed in force on
            every node, 0 if none.
        requests_ended: True if no request sent before that confirmation still runs.
    """

    log: tuple = ((SERVING, SERVING),)
    views: tuple = (0, 0)
    applied: tuple = (0, 0)
    running: tuple = (-1, -1)
    confirmed: int = 0
    requests_ended: bool = False


def model(variant: str = "") -> Protocol:
    """Return the protocol, or one of its broken variants."""

    def transitions(values):
        state = State(*values)
        return [
            *_planner_steps(state, variant),
            *_node_steps(state),
            *_release_steps(state, variant),
        ]

    return Protocol(
        name=f"drain{'-' + variant if variant else ''}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "budget": lambda d: d["log"][-1].count(SERVING) >= 1,
            "no_send_after_release": _no_send_after_release,
            "no_interrupted_request": _no_interrupted_request,
        },
    )


def _planner_steps(state, variant):
    steps = []
    head = len(state.log) - 1
    for planner, view in enumerate(state.views):
        if view < head:
            views = _replace_at(state.views, planner, head)
            steps.append((f"planner {planner} reads", state._replace(views=views)))
        seen = state.log[view]
        # The check against the head of the log is a condition of the write itself.
        checked = seen if variant == "no_cas" else state.log[-1]
        if seen[planner] == SERVING and checked.count(SERVING) > 1:
            steps += _append(state, planner, SERVING, DRAINING)
    steps += _append(state, 0, DRAINING, SERVING)
    return steps


def _append(state, worker, before, after):
    if state.log[-1][worker] != before or len(state.log) > MAX_CHANGES:
        return []
    log = (*state.log, _replace_at(state.log[-1], worker, after))
    return [(f"worker {worker}: {before} to {after}", state._replace(log=log))]


def _node_steps(state):
    steps = []
    for node, position in enumerate(state.applied):
        if position < len(state.log) - 1:
            applied = _replace_at(state.applied, node, position + 1)
            steps.append((f"node {node} applies", state._replace(applied=applied)))
        if state.running[node] >= 0:
            running = _replace_at(state.running, node, -1)
            steps.append(
                (f"request of node {node} ends", state._replace(running=running))
            )
        elif state.log[position][0] == SERVING:
            running = _replace_at(state.running, node, 0)
            steps.append((f"node {node} sends", state._replace(running=running)))
    return steps


def _release_steps(state, variant):
    drain = _drain_position(state.log)
    if not drain:
        return []
    steps = []
    if state.confirmed != drain and min(state.applied) >= drain:
        seen = state._replace(confirmed=drain, requests_ended=False)
        steps.append(("in force on every node", seen))
    if state.confirmed and not state.requests_ended and 0 not in state.running:
        steps.append(("deadline passes", state._replace(requests_ended=True)))
    if _can_release(state, drain, variant):
        steps += _append(state, 0, DRAINING, RELEASED)
    return steps


def _can_release(state, drain, variant):
    if variant == "no_confirmation":
        return True
    if variant == "stale_confirmation":
        return state.confirmed > 0 and state.requests_ended
    if variant == "no_wait":
        return state.confirmed == drain
    return state.confirmed == drain and state.requests_ended


def _drain_position(log):
    # Position of the change that started the current drain of worker 0.
    if log[-1][0] != DRAINING:
        return 0
    position = len(log) - 1
    while log[position - 1][0] == DRAINING:
        position -= 1
    return position


def _no_send_after_release(values):
    if values["log"][-1][0] != RELEASED:
        return True
    return all(values["log"][seq][0] != SERVING for seq in values["applied"])


def _no_interrupted_request(values):
    return values["log"][-1][0] != RELEASED or 0 not in values["running"]


def _replace_at(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def check(variant: str = "") -> dict:
    """Return the result of the model checker for one variant."""
    return check_safety(model(variant), MAX_STATES)


def main() -> None:
    """Print the results, and the counterexample of each broken variant."""
    for variant in ("", *BROKEN_VARIANTS):
        result = check(variant)
        print(f"== {variant or 'as designed'}: {result['reachable_states']} states")
        for name, property_result in result["properties"].items():
            print(f"{name}: holds {property_result['holds']}")
        if variant:
            for step in result["properties"][BROKEN_VARIANTS[variant]][
                "counterexample"
            ]:
                print(f"  {step['label']}: {step['state']}")


if __name__ == "__main__":
    main()
