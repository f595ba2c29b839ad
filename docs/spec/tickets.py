"""Specification of at most once: tickets, callers' own keys and their claims.

Two nodes and one key. The caller sends copies of its request to any node at any
moment: before, during and after the first attempt, and after a node has died and
started again under the same name. A ticket was issued by node 0 at its first start.
A caller's own key is claimed in the store before the send; the store goes down and
loses answers. Messages wait without bound, which is also what a pause does. The key
ages: it is accepted when YOUNG, refused when OLD, and its claim is gone when GONE.

Promises:
    at_most_once: the backend server executes the request at most once.
    not_run_is_true: when a copy is refused as "not run", nothing has run.

Broken variants, each of which loses the promise of its row:
    restart_accepts: a new start of the issuer takes tickets of the earlier one.
    claim_after_send: the claim is written when the request is on its way.
    short_claim: the claim may end while its key is still accepted.
    no_age_check: a key is accepted at any age.
    forgetful: a node forgets an outcome while its key is still accepted.
    blind_refusal: a node that has not asked the key's owner says "not run".

Larger bounds by argument: only the owner's memory and the claim's owner are read, so
that every node that is neither is like node 1 here; one more copy can only find what
three have found, since a copy leaves nothing behind but its execution; a node's
second restart forgets what its first one has forgotten.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

TICKET, CALLER = "ticket", "caller"
BROKEN = {
    "restart_accepts": (TICKET, "at_most_once"),
    "claim_after_send": (CALLER, "at_most_once"),
    "short_claim": (CALLER, "at_most_once"),
    "no_age_check": (CALLER, "at_most_once"),
    "forgetful": (TICKET, "at_most_once"),
    "blind_refusal": (CALLER, "not_run_is_true"),
}
COPIES = 3
RESTARTS = 1
MAX_STATES = 600_000
YOUNG, OLD, GONE = range(3)
UNKNOWN, RUNNING, DONE = "unknown", "running", "done"
ARRIVED, OWNED = "arrived", "owned"


class Copy(NamedTuple):
    """One copy of the request.

    Attributes:
        stage: ARRIVED at any node, or OWNED by the node that decides.
        node: Where it is.
        start: Start of the node that it is meant for.
    """

    stage: str
    node: int
    start: int


class Node(NamedTuple):
    """One node.

    Attributes:
        up: True if it lives.
        start: Number of its start; a new one has an empty memory.
        memory: What it knows of the key.
    """

    up: bool = True
    start: int = 0
    memory: str = UNKNOWN


class State(NamedTuple):
    """One state of the system.

    Attributes:
        nodes: The nodes.
        copies: Copies on their way, sorted.
        sent: Copies that the caller has sent.
        flying: For each request on its way to the backend server, who sent it.
        executed: Executions.
        claim: Node and start that the claim names, None if there is none.
        store_up: True if the store answers.
        age: Age of the key.
        lied: True if a copy was refused as "not run" although something had run.
    """

    nodes: tuple = (Node(), Node())
    copies: tuple = ()
    sent: int = 0
    flying: tuple = ()
    executed: int = 0
    claim: tuple | None = None
    store_up: bool = True
    age: int = YOUNG
    lied: bool = False


def model(kind: str, broken: str = "") -> Protocol:
    """Return the protocol for one kind of key, or one of its broken variants."""

    def transitions(values):
        state = State(*values)
        steps = [*_world_steps(state, kind, broken), *_backend_steps(state)]
        for copy in set(state.copies):
            steps += _copy_steps(state, copy, kind, broken)
        return steps

    return Protocol(
        name=f"tickets-{kind}{'-' + broken if broken else ''}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "at_most_once": lambda d: d["executed"] <= 1,
            "not_run_is_true": lambda d: not d["lied"],
        },
    )


def _world_steps(state, kind, broken):
    steps = []
    if state.sent < COPIES:
        for i, node in enumerate(state.nodes):
            if node.up:
                sent = state._replace(sent=state.sent + 1)
                steps.append((f"caller to {i}", _add(sent, ARRIVED, i)))
    for i, node in enumerate(state.nodes):
        if node.up and node.start < RESTARTS:
            steps.append((f"{i} dies", _set_node(state, i, Node(False, node.start))))
        if not node.up:
            born = Node(True, node.start + 1)
            steps.append((f"{i} starts again", _set_node(state, i, born)))
        if broken == "forgetful" and node.memory == DONE:
            forgot = node._replace(memory=UNKNOWN)
            steps.append((f"{i} forgets", _set_node(state, i, forgot)))
    if state.age < GONE:
        claim = None if state.age + 1 == GONE else state.claim
        older = state._replace(age=state.age + 1, claim=claim)
        steps.append(("time passes", older))
    if kind == CALLER:
        steps.append(("store", state._replace(store_up=not state.store_up)))
    if broken == "short_claim" and state.claim:
        steps.append(("claim ends", state._replace(claim=None)))
    return steps


def _backend_steps(state):
    steps = []
    for sender in set(state.flying):
        i, start = sender
        landed = state._replace(flying=_without(state.flying, sender))
        steps.append(("request is lost", _note_done(landed, i, start)))
        ran = landed._replace(executed=min(2, landed.executed + 1))
        steps.append(("request runs", _note_done(ran, i, start)))
    return steps


def _note_done(state, i, start):
    node = state.nodes[i]
    if not node.up or node.start != start:
        return state
    # Without an answer, the outcome is remembered as unknown and not run again.
    return _set_node(state, i, node._replace(memory=DONE))


def _copy_steps(state, copy, kind, broken):
    node = state.nodes[copy.node]
    rest = state._replace(copies=_without(state.copies, copy))
    if not node.up or (node.start != copy.start and broken != "restart_accepts"):
        return [("copy is lost, or answered unknown", rest)]
    if state.age > YOUNG and broken != "no_age_check":
        return [("answered expired", rest)]
    if copy.stage == OWNED:
        return _decide(rest, copy.node, kind, broken)
    steps = [("refused before the decision", _refuse_blind(rest, broken))]
    if kind == TICKET:
        return [*steps, ("handed to the issuer", _add(rest, OWNED, 0, 0))]
    if node.memory != UNKNOWN:
        return [*steps, ("known here", _add(rest, OWNED, copy.node))]
    if broken == "claim_after_send":
        return [*steps, *_decide(rest, copy.node, kind, broken)]
    return [*steps, *_claim(rest, copy.node)]


def _claim(state, i):
    if not state.store_up:
        return []
    if state.claim is None:
        claimed = state._replace(claim=(i, state.nodes[i].start))
        return [
            ("claimed", _add(claimed, OWNED, i)),
            ("claimed, answer lost", claimed),
        ]
    owner, start = state.claim
    return [("handed to the claimant", _add(state, OWNED, owner, start))]


def _decide(state, i, kind, broken):
    node = state.nodes[i]
    if node.memory != UNKNOWN:
        return [("joins or replays", state)]
    running = _set_node(state, i, node._replace(memory=RUNNING))
    flying = tuple(sorted((*state.flying, (i, node.start))))
    return [
        ("sends", running._replace(flying=flying)),
        ("refuses as not run", _say_not_run(state)),
    ]


def _refuse_blind(state, broken):
    return _say_not_run(state) if broken == "blind_refusal" else state


def _say_not_run(state):
    return state._replace(lied=state.lied or bool(state.executed or state.flying))


def _add(state, stage, i, start=None):
    start = state.nodes[i].start if start is None else start
    copies = tuple(sorted((*state.copies, Copy(stage, i, start))))
    return state._replace(copies=copies)


def _set_node(state, i, node):
    nodes = (*state.nodes[:i], node, *state.nodes[i + 1 :])
    return state._replace(nodes=nodes)


def _without(items, item):
    at = items.index(item)
    return (*items[:at], *items[at + 1 :])


def check(kind: str, broken: str = "") -> dict:
    """Return the verdict on each promise of one variant."""
    return check_safety(model(kind, broken), MAX_STATES)


def main() -> None:
    """Print the verdicts, and the counterexample of each broken variant."""
    for kind in (TICKET, CALLER):
        result = check(kind)
        print(f"== {kind}, as built: {result['reachable_states']} states")
        for name, verdict in result["properties"].items():
            print(f"{name}: holds {verdict['holds']}")
    for broken, (kind, promise) in BROKEN.items():
        print(f"== {kind}, {broken}")
        verdict = check(kind, broken)["properties"][promise]
        print(f"{promise}: holds {verdict['holds']}")
        for step in verdict["counterexample"]:
            print(f"  {step['label']}: {step['state']}")


if __name__ == "__main__":
    main()
