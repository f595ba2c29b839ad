"""Specification of the drain: its permit, its confirmation, its release.

Two planners and one log. Two workers, 0 and 1, serve one pool that must keep one.
A planner reads the log, then writes the drain of its worker if its view has room.
Each node sends requests by the configuration that it has applied. A drained worker
is released to the provider, who switches it off.

Promises:
    budget: a voluntary step never leaves fewer than one worker serving.
    no_late_send: no node can send to a released worker.
    no_cut: no request runs on a released worker.

Broken variants, each of which loses the promise of its row:
    no_cas: a planner writes by its own view, without the check at the head.
    no_confirmation: released as soon as the drain is recorded.
    no_wait: released when in force everywhere, without waiting for requests.
    stale_confirmation: a confirmation of an earlier drain of the same worker counts.

Larger bounds by argument: workers meet only in the pool's count, which the check
reads at the head, so that a third planner adds no new kind of race. A node is in
the release condition by its applied position alone, so that nodes are independent.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

BROKEN = {
    "no_cas": "budget",
    "no_confirmation": "no_late_send",
    "no_wait": "no_cut",
    "stale_confirmation": "no_late_send",
}
MAX_CHANGES = 4
MAX_STATES = 400_000
SERVING, DRAINING, RELEASED = "serving", "draining", "released"


class State(NamedTuple):
    """One state of the system.

    Attributes:
        log: Worker states after each change, oldest first; ``log[0]`` is the start.
        views: Position that each planner has read.
        applied: Position that each node has applied.
        running: For each node, the worker that its request runs on, -1 if none.
        confirmed: Position whose drain of worker 0 was seen in force everywhere, 0
            if none.
        quiet: True if no request sent before that confirmation still runs.
    """

    log: tuple = ((SERVING, SERVING),)
    views: tuple = (0, 0)
    applied: tuple = (0, 0)
    running: tuple = (-1, -1)
    confirmed: int = 0
    quiet: bool = False


def model(broken: str = "") -> Protocol:
    """Return the protocol, or one of its broken variants."""

    def transitions(values):
        state = State(*values)
        return [
            *_planner_steps(state, broken),
            *_node_steps(state),
            *_release_steps(state, broken),
        ]

    return Protocol(
        name=f"drain{'-' + broken if broken else ''}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "budget": lambda d: d["log"][-1].count(SERVING) >= 1,
            "no_late_send": _no_late_send,
            "no_cut": _no_cut,
        },
    )


def _planner_steps(state, broken):
    steps = []
    head = len(state.log) - 1
    for planner, view in enumerate(state.views):
        if view < head:
            views = _put(state.views, planner, head)
            steps.append((f"planner {planner} reads", state._replace(views=views)))
        seen = state.log[view]
        # The check at the head is the condition of the write itself.
        checked = seen if broken == "no_cas" else state.log[-1]
        if seen[planner] == SERVING and checked.count(SERVING) > 1:
            steps += _append(state, planner, SERVING, DRAINING)
    steps += _append(state, 0, DRAINING, SERVING)
    return steps


def _append(state, worker, before, after):
    if state.log[-1][worker] != before or len(state.log) > MAX_CHANGES:
        return []
    log = (*state.log, _put(state.log[-1], worker, after))
    return [(f"worker {worker}: {before} to {after}", state._replace(log=log))]


def _node_steps(state):
    steps = []
    for node, position in enumerate(state.applied):
        if position < len(state.log) - 1:
            applied = _put(state.applied, node, position + 1)
            steps.append((f"node {node} applies", state._replace(applied=applied)))
        if state.running[node] >= 0:
            running = _put(state.running, node, -1)
            steps.append((f"request of {node} ends", state._replace(running=running)))
        elif state.log[position][0] == SERVING:
            running = _put(state.running, node, 0)
            steps.append((f"node {node} sends", state._replace(running=running)))
    return steps


def _release_steps(state, broken):
    drain = _drain_position(state.log)
    if not drain:
        return []
    steps = []
    if state.confirmed != drain and min(state.applied) >= drain:
        seen = state._replace(confirmed=drain, quiet=False)
        steps.append(("in force everywhere", seen))
    if state.confirmed and not state.quiet and 0 not in state.running:
        steps.append(("deadline passes", state._replace(quiet=True)))
    if _may_release(state, drain, broken):
        steps += _append(state, 0, DRAINING, RELEASED)
    return steps


def _may_release(state, drain, broken):
    if broken == "no_confirmation":
        return True
    if broken == "stale_confirmation":
        return state.confirmed > 0 and state.quiet
    if broken == "no_wait":
        return state.confirmed == drain
    return state.confirmed == drain and state.quiet


def _drain_position(log):
    # Position of the change that began the present drain of worker 0.
    if log[-1][0] != DRAINING:
        return 0
    position = len(log) - 1
    while log[position - 1][0] == DRAINING:
        position -= 1
    return position


def _no_late_send(values):
    if values["log"][-1][0] != RELEASED:
        return True
    return all(values["log"][at][0] != SERVING for at in values["applied"])


def _no_cut(values):
    return values["log"][-1][0] != RELEASED or 0 not in values["running"]


def _put(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def check(broken: str = "") -> dict:
    """Return the verdict on each promise of one variant."""
    return check_safety(model(broken), MAX_STATES)


def main() -> None:
    """Print the verdicts, and the counterexample of each broken variant."""
    for broken in ("", *BROKEN):
        result = check(broken)
        print(f"== {broken or 'as built'}: {result['reachable_states']} states")
        for name, verdict in result["properties"].items():
            print(f"{name}: holds {verdict['holds']}")
        if broken:
            for step in result["properties"][BROKEN[broken]]["counterexample"]:
                print(f"  {step['label']}: {step['state']}")


if __name__ == "__main__":
    main()
