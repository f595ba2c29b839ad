"""Specification of standing: which node may act on its configuration, and how long.

One change makes the earlier configuration invalid. Node A or the new member M accepts
it through the store, and node B must not act without it for longer than one period.
Time passes in ticks. Any exchange with the store or a peer may happen or not, so that
outages, one-way network partitions, slow stores and pauses are all modelled as
exchanges that do not happen. A response to B may be delayed without bound.

Invariants:
    no_stale_action: one period after the change was accepted, B does not act without
        it.
    no_action_after_removal: a node that was removed from the registry does not act on
        the evidence of its peers.

Broken variants, each of which violates the invariant given in BROKEN_VARIANTS:
    age_from_arrival: the age of evidence counts from the arrival of the response.
    peer_age_ignored: a peer's evidence is passed on as if it were new.
    any_peer: one peer that cannot reach the store is enough.
    no_admission: a new member accepts changes as soon as it is registered.
    no_registry: a peer passes on its evidence, but not the registry.
    no_clock_recheck: B decides, pauses, and acts without reading the clock again.
    no_wait_after_outage: once the store is reachable again, A removes unresponsive
        members without a wait.

Larger bounds by argument: B's evidence is a minimum over independent peers, so more
peers add conditions but no new kind of evidence. A later change can only be missing in
the same way. Open questions are in docs/decisions/011-membership.md.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

BROKEN_VARIANTS = {
    "age_from_arrival": "no_stale_action",
    "peer_age_ignored": "no_stale_action",
    "any_peer": "no_stale_action",
    "no_admission": "no_stale_action",
    "no_registry": "no_stale_action",
    "no_clock_recheck": "no_stale_action",
    "no_wait_after_outage": "no_action_after_removal",
}
PERIOD_TICKS = 2
LOST_AFTER_TICKS = 1
MAX_STATES = 2_000_000


class Response(NamedTuple):
    """A response of a peer or the store to B, received or in flight.

    Attributes:
        source: ``A``, ``M`` or ``store``.
        age: Ticks since the request was sent.
        store_lost: True if the peer cannot reach the store.
        confirmed_age: Ticks since the peer's own confirmation by the store.
        has_change: True if the responder had the change.
        knows_m: True if the responder had M in its registry.
    """

    source: str
    age: int
    store_lost: bool
    confirmed_age: int
    has_change: bool
    knows_m: bool


class State(NamedTuple):
    """One state of the system; ages in ticks.

    Attributes:
        change_age: Age of the accepted change, -1 before it was accepted.
        a_has, a_age, a_wait, a_knows_m: Node A: whether it has the change, age of its
            confirmation by the store, remaining wait once the store is reachable again,
            whether M is in its view.
        m_stage: Stage of M: 0 not registered, 1 registered, 2 admitted.
        m_has, m_age: Node M: whether it has the change, age of its confirmation.
        b_has, b_age, b_knows_m: Node B: whether it has the change, age of its
            confirmation, whether M is in its view.
        from_a, from_m: Evidence of B from each peer.
        in_flight: Response in flight to B.
        decided: True if B has decided to act and has not acted yet.
        removed: True if A removed B from the registry.
    """

    change_age: int = -1
    a_has: bool = False
    a_age: int = 0
    a_wait: int = 0
    a_knows_m: bool = False
    m_stage: int = 0
    m_has: bool = False
    m_age: int = PERIOD_TICKS
    b_has: bool = False
    b_age: int = 0
    b_knows_m: bool = False
    from_a: Response | None = None
    from_m: Response | None = None
    in_flight: Response | None = None
    decided: bool = False
    removed: bool = False


def is_store_lost(age: int) -> bool:
    """Return whether a node with a confirmation of this age reports a lost store."""
    return age >= LOST_AFTER_TICKS


def can_act_on_peers(state: State, variant: str = "") -> bool:
    """Return whether B may act on the evidence of all its peers."""
    required = [state.from_a, state.from_m] if state.b_knows_m else [state.from_a]
    sufficient = [
        item is not None and item.store_lost and item.has_change <= state.b_has
        for item in required
    ]
    return any(sufficient) if variant == "any_peer" else all(sufficient)


def can_act(state: State, variant: str = "") -> bool:
    """Return whether B may act."""
    if variant == "no_clock_recheck":
        return state.decided
    return state.b_age < PERIOD_TICKS or can_act_on_peers(state, variant)


def tick(state: State) -> State:
    """Return the state one tick later."""

    def aged(item: Response | None) -> Response | None:
        if item is None or item.age + 1 >= PERIOD_TICKS:
            return None
        return item._replace(age=item.age + 1)

    # A response in flight is never lost; it may arrive at any time.
    in_flight = state.in_flight
    if in_flight is not None:
        in_flight = in_flight._replace(age=min(PERIOD_TICKS, in_flight.age + 1))
    a_age = min(PERIOD_TICKS, state.a_age + 1)
    return state._replace(
        change_age=min(PERIOD_TICKS + 1, state.change_age + 1)
        if state.change_age >= 0
        else -1,
        a_age=a_age,
        a_wait=PERIOD_TICKS if is_store_lost(a_age) else max(0, state.a_wait - 1),
        m_age=min(PERIOD_TICKS, state.m_age + 1),
        b_age=min(PERIOD_TICKS, state.b_age + 1),
        from_a=aged(state.from_a),
        from_m=aged(state.from_m),
        in_flight=in_flight,
    )


def deliver(state: State, variant: str) -> State:
    """Return the state after B received the response in flight."""
    item = state.in_flight
    if variant == "age_from_arrival":
        item = item._replace(age=0)
    peer_age = 0 if variant == "peer_age_ignored" else item.confirmed_age
    after = state._replace(
        in_flight=None,
        b_has=state.b_has or item.has_change,
        b_age=min(state.b_age, item.age + peer_age, PERIOD_TICKS),
        b_knows_m=state.b_knows_m or (item.knows_m and variant != "no_registry"),
    )
    evidence = item if item.age < PERIOD_TICKS else None
    if item.source == "A":
        return after._replace(from_a=evidence)
    if item.source == "M":
        return after._replace(from_m=evidence)
    return after


def store_steps(state: State, variant: str) -> list:
    """Return the possible steps of exchanges with the store."""
    accepted = state.change_age >= 0
    registered = state.m_stage > 0
    response_of_store = Response("store", 0, False, 0, accepted, registered)
    steps = [
        (
            "A reads the store",
            state._replace(
                a_has=state.a_has or accepted,
                a_age=0,
                a_knows_m=state.a_knows_m or registered,
            ),
        ),
        (
            "M registers, then reads",
            state._replace(m_stage=max(1, state.m_stage), m_has=accepted, m_age=0),
        ),
        ("B queries the store", state._replace(in_flight=response_of_store)),
    ]
    if not accepted and not is_store_lost(state.a_age) and state.a_wait == 0:
        steps.append(("A accepts", state._replace(change_age=0, a_has=True, a_age=0)))
    if not accepted and state.m_stage >= (1 if variant == "no_admission" else 2):
        steps.append(("M accepts", state._replace(change_age=0, m_has=True, m_age=0)))
    recovered = state.a_age == 0 and (
        state.a_wait == 0 or variant == "no_wait_after_outage"
    )
    if recovered:
        steps.append(("A removes B from the registry", state._replace(removed=True)))
    return steps


def peer_steps(state: State) -> list:
    """Return the possible steps of exchanges between nodes."""
    steps = []
    if state.m_stage > 0:
        has = state.a_has or state.m_has
        age = min(state.a_age, state.m_age)
        steps += [
            (
                "A queries M",
                state._replace(a_has=has, a_age=age, a_knows_m=True),
            ),
            ("M queries A", state._replace(m_has=has, m_age=age, a_knows_m=True)),
            ("M queries B", state._replace(b_knows_m=True)),
        ]
        a_can_admit = not is_store_lost(state.a_age) and state.a_wait == 0
        if state.m_stage == 1 and state.a_knows_m and (state.b_knows_m or a_can_admit):
            steps.append(("M is admitted", state._replace(m_stage=2)))
    response_of_a = Response(
        "A", 0, is_store_lost(state.a_age), state.a_age, state.a_has, state.a_knows_m
    )
    steps.append(("B queries A", state._replace(in_flight=response_of_a)))
    if state.b_knows_m:
        response_of_m = Response(
            "M", 0, is_store_lost(state.m_age), state.m_age, state.m_has, True
        )
        steps.append(("B queries M", state._replace(in_flight=response_of_m)))
    return steps


def model(variant: str = "") -> Protocol:
    """Return the protocol, or one of its broken variants."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        if state.removed:
            return []
        steps = [("a tick", tick(state))]
        steps += store_steps(state, variant)
        steps += peer_steps(state)
        if state.in_flight is not None:
            steps.append(
                (
                    "B receives the response of " + state.in_flight.source,
                    deliver(state, variant),
                )
            )
        if variant == "no_clock_recheck" and can_act(state._replace(decided=True)):
            allowed = state.b_age < PERIOD_TICKS or can_act_on_peers(state)
            if allowed and not state.decided:
                steps.append(("B decides", state._replace(decided=True)))
        return [(label, tuple(after)) for label, after in steps]

    def no_stale_action(fields: dict) -> bool:
        state = State(**fields)
        is_stale = state.change_age > PERIOD_TICKS and not state.b_has
        return not (is_stale and can_act(state, variant))

    def no_action_after_removal(fields: dict) -> bool:
        state = State(**fields)
        return not (state.removed and can_act_on_peers(state, variant))

    return Protocol(
        name=f"standing {variant}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "no_stale_action": no_stale_action,
            "no_action_after_removal": no_action_after_removal,
        },
    )


def check(variant: str = "", max_states: int = MAX_STATES) -> dict:
    """Return the result of the model checker."""
    return check_safety(model(variant), max_states=max_states)


def main() -> None:
    """Check the specification and print a counterexample for each broken variant."""
    for name, item in check()["properties"].items():
        print(f"{name}: holds {item['holds']}")
    for variant, invariant in BROKEN_VARIANTS.items():
        found = check(variant)["properties"][invariant]
        print(f"\n{variant} violates {invariant}:")
        for step in found["counterexample"] or ():
            print(f"  {step['label']}")


if __name__ == "__main__":
    main()
