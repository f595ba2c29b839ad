"""Specification of standing: who may act on what it knows, and until when.

One change is withdrawn knowledge: accepted by node A or by the newcomer M, through
the store. Node B must not act without it for longer than one period. Time goes in
ticks; any exchange with the store or a peer may happen or not, so that outages,
cuts in one direction, slow stores and pauses are all just exchanges that do not
happen. An answer to B may stay on its way for any time.

Promises:
    withdrawn: one period after the change was accepted, B does not act without it.
    kept: a node that is forgotten does not act on the word of the others.

Broken variants, each of which loses the promise of its row:
    arrival: evidence counts from the answer's arrival.
    no_age: a peer's evidence is passed on as if it were fresh.
    any_peer: one peer without the store is enough.
    at_once: a newcomer accepts changes as soon as it is registered.
    no_registry: a peer passes on its evidence, but not the registry.
    no_reread: B decides, pauses, and acts without another look at the clock.
    no_wait: after the store is back, A forgets silent members at once.

Larger bounds by argument: B's evidence is a minimum over independent peers, so that
more peers add conjuncts and no new kind of evidence; a later change only has to be
missing in the same way. What stays open is in docs/decisions/011-membership.md.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

BROKEN = {
    "arrival": "withdrawn",
    "no_age": "withdrawn",
    "any_peer": "withdrawn",
    "at_once": "withdrawn",
    "no_registry": "withdrawn",
    "no_reread": "withdrawn",
    "no_wait": "kept",
}
# Ticks.
PERIOD = 2
LOST_AFTER = 1
MAX_STATES = 2_000_000


class Answer(NamedTuple):
    """What a peer or the store told B, or what is on its way to B.

    Attributes:
        source: ``A``, ``M`` or ``store``.
        age: Ticks since the question was sent.
        lost: True if the peer does not reach the store.
        confirmed: Ticks since the peer's own confirmation.
        has: True if it knew the change.
        knows_m: True if it had M in its registry.
    """

    source: str
    age: int
    lost: bool
    confirmed: int
    has: bool
    knows_m: bool


class State(NamedTuple):
    """One state of the system; ages in ticks.

    Attributes:
        since: Age of the accepted change, -1 before.
        a_has, a_age, a_wait, a_knows_m: Node A: change known, confirmation, wait
            after the store is back, M in its view.
        m_stage: M is 0 not registered, 1 registered, 2 admitted.
        m_has, m_age: Node M: change known, confirmation.
        b_has, b_age, b_knows_m: Node B, likewise.
        from_a, from_m: B's evidence.
        coming: The answer on its way to B.
        decided: True if B decided to act and has not acted yet.
        forgotten: True if A deleted B from the registry.
    """

    since: int = -1
    a_has: bool = False
    a_age: int = 0
    a_wait: int = 0
    a_knows_m: bool = False
    m_stage: int = 0
    m_has: bool = False
    m_age: int = PERIOD
    b_has: bool = False
    b_age: int = 0
    b_knows_m: bool = False
    from_a: Answer | None = None
    from_m: Answer | None = None
    coming: Answer | None = None
    decided: bool = False
    forgotten: bool = False


def lost(age: int) -> bool:
    """Tell whether a node with a confirmation of an age says it lost the store."""
    return age >= LOST_AFTER


def acts_on_peers(state: State, broken: str = "") -> bool:
    """Tell whether B may act on the word of all others."""
    needed = [state.from_a, state.from_m] if state.b_knows_m else [state.from_a]
    good = [
        item is not None and item.lost and item.has <= state.b_has for item in needed
    ]
    return any(good) if broken == "any_peer" else all(good)


def acts(state: State, broken: str = "") -> bool:
    """Tell whether B may act."""
    if broken == "no_reread":
        return state.decided
    return state.b_age < PERIOD or acts_on_peers(state, broken)


def tick(state: State) -> State:
    """Return the state one tick later."""

    def older(item: Answer | None) -> Answer | None:
        if item is None or item.age + 1 >= PERIOD:
            return None
        return item._replace(age=item.age + 1)

    # An answer on its way is never lost for good: it may come at any time.
    coming = state.coming
    if coming is not None:
        coming = coming._replace(age=min(PERIOD, coming.age + 1))
    a_age = min(PERIOD, state.a_age + 1)
    return state._replace(
        since=min(PERIOD + 1, state.since + 1) if state.since >= 0 else -1,
        a_age=a_age,
        a_wait=PERIOD if lost(a_age) else max(0, state.a_wait - 1),
        m_age=min(PERIOD, state.m_age + 1),
        b_age=min(PERIOD, state.b_age + 1),
        from_a=older(state.from_a),
        from_m=older(state.from_m),
        coming=coming,
    )


def deliver(state: State, broken: str) -> State:
    """Return the state after B took the answer that was on its way."""
    item = state.coming
    if broken == "arrival":
        item = item._replace(age=0)
    passed = 0 if broken == "no_age" else item.confirmed
    after = state._replace(
        coming=None,
        b_has=state.b_has or item.has,
        b_age=min(state.b_age, item.age + passed, PERIOD),
        b_knows_m=state.b_knows_m or (item.knows_m and broken != "no_registry"),
    )
    evidence = item if item.age < PERIOD else None
    if item.source == "A":
        return after._replace(from_a=evidence)
    if item.source == "M":
        return after._replace(from_m=evidence)
    return after


def store_steps(state: State, broken: str) -> list:
    """Return what exchanges with the store can lead to."""
    accepted = state.since >= 0
    registered = state.m_stage > 0
    fresh = Answer("store", 0, False, 0, accepted, registered)
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
        ("B asks the store", state._replace(coming=fresh)),
    ]
    if not accepted and not lost(state.a_age) and state.a_wait == 0:
        steps.append(("A accepts", state._replace(since=0, a_has=True, a_age=0)))
    if not accepted and state.m_stage >= (1 if broken == "at_once" else 2):
        steps.append(("M accepts", state._replace(since=0, m_has=True, m_age=0)))
    back = state.a_age == 0 and (state.a_wait == 0 or broken == "no_wait")
    if back:
        steps.append(("A forgets B", state._replace(forgotten=True)))
    return steps


def peer_steps(state: State) -> list:
    """Return what exchanges between nodes can lead to."""
    steps = []
    if state.m_stage > 0:
        has = state.a_has or state.m_has
        age = min(state.a_age, state.m_age)
        steps += [
            (
                "A asks M",
                state._replace(a_has=has, a_age=age, a_knows_m=True),
            ),
            ("M asks A", state._replace(m_has=has, m_age=age, a_knows_m=True)),
            ("M asks B", state._replace(b_knows_m=True)),
        ]
        witness = not lost(state.a_age) and state.a_wait == 0
        if state.m_stage == 1 and state.a_knows_m and (state.b_knows_m or witness):
            steps.append(("M is admitted", state._replace(m_stage=2)))
    a_said = Answer(
        "A", 0, lost(state.a_age), state.a_age, state.a_has, state.a_knows_m
    )
    steps.append(("B asks A", state._replace(coming=a_said)))
    if state.b_knows_m:
        m_said = Answer("M", 0, lost(state.m_age), state.m_age, state.m_has, True)
        steps.append(("B asks M", state._replace(coming=m_said)))
    return steps


def model(broken: str = "") -> Protocol:
    """Return the protocol, or a broken variant of it."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        if state.forgotten:
            return []
        steps = [("a tick", tick(state))]
        steps += store_steps(state, broken)
        steps += peer_steps(state)
        if state.coming is not None:
            steps.append(("B hears " + state.coming.source, deliver(state, broken)))
        if broken == "no_reread" and acts(state._replace(decided=True)):
            allowed = state.b_age < PERIOD or acts_on_peers(state)
            if allowed and not state.decided:
                steps.append(("B decides", state._replace(decided=True)))
        return [(label, tuple(after)) for label, after in steps]

    def withdrawn(fields: dict) -> bool:
        state = State(**fields)
        late = state.since > PERIOD and not state.b_has
        return not (late and acts(state, broken))

    def kept(fields: dict) -> bool:
        state = State(**fields)
        return not (state.forgotten and acts_on_peers(state, broken))

    return Protocol(
        name=f"standing {broken}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"withdrawn": withdrawn, "kept": kept},
    )


def check(broken: str = "", max_states: int = MAX_STATES) -> dict:
    """Return the verdict of the checker."""
    return check_safety(model(broken), max_states=max_states)


def main() -> None:
    """Check the specification and print a counterexample for each variant."""
    for name, item in check()["properties"].items():
        print(f"{name}: holds {item['holds']}")
    for broken, promise in BROKEN.items():
        found = check(broken)["properties"][promise]
        print(f"\n{broken} loses {promise}:")
        for step in found["counterexample"] or ():
            print(f"  {step['label']}")


if __name__ == "__main__":
    main()
