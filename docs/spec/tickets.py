"""Specification of at-most-once execution: tickets, callers' own keys and claims.

The model has two nodes and one idempotency key. The caller sends copies of its request
to any node at any time: before, during and after the first attempt, and after a node
has crashed and restarted under the same name. A ticket was issued by the first
incarnation of node 0. A caller's own key is claimed in the store before the request is
sent; the store may become unavailable and its responses may be lost. Messages may be
delayed without bound, which also represents a paused process. The key ages: it is
accepted when VALID, refused when EXPIRED, and its claim is deleted when CLAIM_DELETED.

Invariants:
    at_most_once: the backend server executes the request at most once.
    not_run_is_correct: when a copy is refused as "not run", nothing has run.

Broken variants, each of which violates the invariant given in BROKEN_VARIANTS:
    restart_accepts_old: a new incarnation of the issuer accepts tickets of an earlier
        one.
    claim_after_send: the claim is written after the request was sent.
    short_claim: the claim may expire while its key is still accepted.
    no_age_check: a key is accepted at any age.
    outcome_dropped: a node drops an outcome while its key is still accepted.
    unchecked_refusal: a node that has not asked the holder of the key answers "not
        run".

Larger bounds by argument: only the outcomes at the holder and the holder named in the
claim are read, so every other node behaves like node 1 here. One more copy can only
observe what three copies have observed, because a copy has no effect except its
execution. A second restart of a node loses the same memory as its first restart.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

TICKET, CALLER = "ticket", "caller"
BROKEN_VARIANTS = {
    "restart_accepts_old": (TICKET, "at_most_once"),
    "claim_after_send": (CALLER, "at_most_once"),
    "short_claim": (CALLER, "at_most_once"),
    "no_age_check": (CALLER, "at_most_once"),
    "outcome_dropped": (TICKET, "at_most_once"),
    "unchecked_refusal": (CALLER, "not_run_is_correct"),
}
MAX_COPIES = 3
MAX_RESTARTS = 1
MAX_STATES = 600_000
VALID, EXPIRED, CLAIM_DELETED = range(3)
UNKNOWN, RUNNING, DONE = "unknown", "running", "done"
ARRIVED, OWNED = "arrived", "owned"


class Copy(NamedTuple):
    """One copy of the request.

    Attributes:
        stage: ARRIVED at any node, or OWNED by the node that decides.
        node: Node at which the copy is.
        incarnation: Incarnation of the node to which the copy was sent.
    """

    stage: str
    node: int
    incarnation: int


class Node(NamedTuple):
    """State of one node.

    Attributes:
        up: True if the node runs.
        incarnation: Number of restarts; a new incarnation starts with an empty memory.
        outcome: What the node knows of the request: UNKNOWN, RUNNING or DONE.
    """

    up: bool = True
    incarnation: int = 0
    outcome: str = UNKNOWN


class State(NamedTuple):
    """One state of the system.

    Attributes:
        nodes: States of the nodes.
        copies: Copies in flight between caller and nodes, sorted.
        sent: Number of copies that the caller has sent.
        in_flight: Senders of the requests in flight to the backend server, as pairs of
            node and incarnation.
        executed: Number of executions; values above 1 are recorded as 2.
        claim: Node and incarnation that hold the claim, None if there is none.
        store_up: True if the store responds.
        age: Age of the key: VALID, EXPIRED or CLAIM_DELETED.
        false_not_run: True if a copy was refused as "not run" although the request
            had been sent or executed.
    """

    nodes: tuple = (Node(), Node())
    copies: tuple = ()
    sent: int = 0
    in_flight: tuple = ()
    executed: int = 0
    claim: tuple | None = None
    store_up: bool = True
    age: int = VALID
    false_not_run: bool = False


def model(kind: str, variant: str = "") -> Protocol:
    """Return the protocol for one kind of key, or one of its broken variants."""

    def transitions(values):
        state = State(*values)
        steps = [*_environment_steps(state, kind, variant), *_backend_steps(state)]
        for copy in set(state.copies):
            steps += _copy_steps(state, copy, kind, variant)
        return steps

    return Protocol(
        name=f"tickets-{kind}{'-' + variant if variant else ''}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "at_most_once": lambda d: d["executed"] <= 1,
            "not_run_is_correct": lambda d: not d["false_not_run"],
        },
    )


def _environment_steps(state, kind, variant):
    steps = []
    if state.sent < MAX_COPIES:
        for i, node in enumerate(state.nodes):
            if node.up:
                sent = state._replace(sent=state.sent + 1)
                steps.append((f"caller sends to {i}", _add_copy(sent, ARRIVED, i)))
    for i, node in enumerate(state.nodes):
        if node.up and node.incarnation < MAX_RESTARTS:
            steps.append(
                (f"{i} crashes", _set_node(state, i, Node(False, node.incarnation)))
            )
        if not node.up:
            restarted = Node(True, node.incarnation + 1)
            steps.append((f"{i} restarts", _set_node(state, i, restarted)))
        if variant == "outcome_dropped" and node.outcome == DONE:
            without_outcome = node._replace(outcome=UNKNOWN)
            steps.append(
                (f"{i} drops the outcome", _set_node(state, i, without_outcome))
            )
    if state.age < CLAIM_DELETED:
        claim = None if state.age + 1 == CLAIM_DELETED else state.claim
        aged = state._replace(age=state.age + 1, claim=claim)
        steps.append(("time passes", aged))
    if kind == CALLER:
        steps.append(
            ("store availability changes", state._replace(store_up=not state.store_up))
        )
    if variant == "short_claim" and state.claim:
        steps.append(("claim expires", state._replace(claim=None)))
    return steps


def _backend_steps(state):
    steps = []
    for sender in set(state.in_flight):
        i, incarnation = sender
        delivered = state._replace(in_flight=_remove_one(state.in_flight, sender))
        steps.append(("request is lost", _record_done(delivered, i, incarnation)))
        after_run = delivered._replace(executed=min(2, delivered.executed + 1))
        steps.append(("request runs", _record_done(after_run, i, incarnation)))
    return steps


def _record_done(state, i, incarnation):
    node = state.nodes[i]
    if not node.up or node.incarnation != incarnation:
        return state
    # Without a response, the node records the request as done with an unknown outcome,
    # so that the request is not run again.
    return _set_node(state, i, node._replace(outcome=DONE))


def _copy_steps(state, copy, kind, variant):
    node = state.nodes[copy.node]
    remaining = state._replace(copies=_remove_one(state.copies, copy))
    if not node.up or (
        node.incarnation != copy.incarnation and variant != "restart_accepts_old"
    ):
        return [("copy is lost, or answered as unknown", remaining)]
    if state.age > VALID and variant != "no_age_check":
        return [("answered as expired", remaining)]
    if copy.stage == OWNED:
        return _decide(remaining, copy.node, kind, variant)
    steps = [("refused before the decision", _refuse_unchecked(remaining, variant))]
    if kind == TICKET:
        return [*steps, ("forwarded to the issuer", _add_copy(remaining, OWNED, 0, 0))]
    if node.outcome != UNKNOWN:
        return [*steps, ("known at this node", _add_copy(remaining, OWNED, copy.node))]
    if variant == "claim_after_send":
        return [*steps, *_decide(remaining, copy.node, kind, variant)]
    return [*steps, *_claim(remaining, copy.node)]


def _claim(state, i):
    if not state.store_up:
        return []
    if state.claim is None:
        claimed = state._replace(claim=(i, state.nodes[i].incarnation))
        return [
            ("claimed", _add_copy(claimed, OWNED, i)),
            ("claimed, response lost", claimed),
        ]
    holder, incarnation = state.claim
    return [
        (
            "forwarded to the holder of the claim",
            _add_copy(state, OWNED, holder, incarnation),
        )
    ]


def _decide(state, i, kind, variant):
    node = state.nodes[i]
    if node.outcome != UNKNOWN:
        return [("waits for the outcome or replays it", state)]
    running = _set_node(state, i, node._replace(outcome=RUNNING))
    in_flight = tuple(sorted((*state.in_flight, (i, node.incarnation))))
    return [
        ("sends", running._replace(in_flight=in_flight)),
        ("refuses as not run", _answer_not_run(state)),
    ]


def _refuse_unchecked(state, variant):
    return _answer_not_run(state) if variant == "unchecked_refusal" else state


def _answer_not_run(state):
    return state._replace(
        false_not_run=state.false_not_run or bool(state.executed or state.in_flight)
    )


def _add_copy(state, stage, i, incarnation=None):
    incarnation = state.nodes[i].incarnation if incarnation is None else incarnation
    copies = tuple(sorted((*state.copies, Copy(stage, i, incarnation))))
    return state._replace(copies=copies)


def _set_node(state, i, node):
    nodes = (*state.nodes[:i], node, *state.nodes[i + 1 :])
    return state._replace(nodes=nodes)


def _remove_one(items, item):
    position = items.index(item)
    return (*items[:position], *items[position + 1 :])


def check(kind: str, variant: str = "") -> dict:
    """Return the result of the model checker for one variant."""
    return check_safety(model(kind, variant), MAX_STATES)


def main() -> None:
    """Print the results, and the counterexample of each broken variant."""
    for kind in (TICKET, CALLER):
        result = check(kind)
        print(f"== {kind}, as designed: {result['reachable_states']} states")
        for name, property_result in result["properties"].items():
            print(f"{name}: holds {property_result['holds']}")
    for variant, (kind, invariant) in BROKEN_VARIANTS.items():
        print(f"== {kind}, {variant}")
        property_result = check(kind, variant)["properties"][invariant]
        print(f"{invariant}: holds {property_result['holds']}")
        for step in property_result["counterexample"]:
            print(f"  {step['label']}: {step['state']}")


if __name__ == "__main__":
    main()
