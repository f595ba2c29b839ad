"""Specification of turns at a team's limit: whoever waits gets all that it needs.

Three pools share one limit; grants.py shows who may take a part back, this file that no
work waits for ever. In each round all pools act once, in any order, and at most one of
them is slow and acts in the next round only. Runs end in the round after their start.
What a pool may have is computed by the function that the instances use. Run this file
to print the shortest counterexample of each broken variant.
"""

from enum import Enum
from itertools import permutations
from typing import NamedTuple

from minicheck import Protocol, check_safety

from heatherhatch_core.coordination.limit_claims import LimitClaim, room_for
from heatherhatch_core.state.resources import Resources

LIMIT = 4
RESERVE = 1
MAX_DEMAND = 2  # tasks of one unit that a stream has waiting at any time
MAX_WAIT = 14  # rounds in which each waiting task must have started
MAX_STATES = 400_000
IDLE, SMALL, LARGE, ALL = 0, 1, 3, LIMIT  # units that each task of a pool needs
SCENES = {
    "two large tasks": (LARGE, LARGE, IDLE),
    "a task of the whole limit beside two pools that had work": (ALL, IDLE, IDLE),
    "a large task beside two streams of small ones": (LARGE, SMALL, SMALL),
    "two large tasks beside a stream": (LARGE, ALL, SMALL),
}


class Variant(Enum):
    """The correct protocol and its broken variants."""

    SOUND = "sound"
    NO_CLAIMS = "parts follow the sum of the demand, and nothing is claimed"
    RESERVES_KEPT = "pools without work do not respect claims"
    NO_ORDER = "each pool respects all claims but its own"
    STARTS_GO_ON = "a pool starts work in its own part whatever is claimed"


NO_ORDER_OR_CLAIMS = {Variant.NO_CLAIMS, Variant.NO_ORDER, Variant.STARTS_GO_ON}
# The variants in which some work of a scene waits for ever.
BROKEN = {
    "two large tasks": NO_ORDER_OR_CLAIMS,
    "a task of the whole limit beside two pools that had work": {
        Variant.NO_CLAIMS,
        Variant.RESERVES_KEPT,
    },
    "a large task beside two streams of small ones": NO_ORDER_OR_CLAIMS,
    "two large tasks beside a stream": NO_ORDER_OR_CLAIMS,
}


class State(NamedTuple):
    """The state after a round.

    Attributes:
        parts: Part of each pool.
        used: Units that the runs of each pool use.
        claims: Pools with a claim, the first in line first.
        waited: Rounds in which work of each pool has waited.
        slow: Pool that did not act in the last round; -1 for none.
    """

    parts: tuple[int, ...]
    used: tuple[int, ...]
    claims: tuple[int, ...]
    waited: tuple[int, ...]
    slow: int


def steps_of(state: tuple, needs: tuple, variant: Variant) -> list[tuple[str, State]]:
    """Return every possible next round, with the state after it."""
    s = State(*state)
    found = {}
    for slow in (-1, *range(len(needs))):
        if slow >= 0 and s.slow >= 0:
            continue
        for order in permutations(range(len(needs))):
            after = s._replace(slow=slow)
            for pool in order:
                if pool != slow:
                    after = _act(after, pool, needs, variant)
            found.setdefault(after, f"pools act in the order {order}, slow: {slow}")
    return [(label, after) for after, label in found.items()]


def _act(s: State, pool: int, needs: tuple, variant: Variant) -> State:
    """Let a pool adjust its part, start what it may, and update its claim.

    Its runs of the round before have ended.
    """
    need = needs[pool]
    demand = need * MAX_DEMAND if need == SMALL else need
    room = _room(s, pool, needs, variant)
    part = s.parts[pool]
    if need:
        part = max(part, min(demand + RESERVE, room))
    others_wait = any(s.waited[other] for other in range(len(needs)) if other != pool)
    if variant is Variant.NO_CLAIMS and others_wait:
        part = min(part, RESERVE)
    usable = part if variant is Variant.STARTS_GO_ON else min(part, room)
    used = min(usable, demand) // need * need if need else 0
    waits = bool(need) and not used
    claims = tuple(item for item in s.claims if item != pool or waits)
    if waits and pool not in claims and variant is not Variant.NO_CLAIMS:
        claims += (pool,)
    waited = min(MAX_WAIT, s.waited[pool] + 1) if waits else 0
    return s._replace(
        parts=_with(s.parts, pool, max(used, min(part, room))),
        used=_with(s.used, pool, used),
        claims=claims,
        waited=_with(s.waited, pool, waited),
    )


def _room(s: State, pool: int, needs: tuple, variant: Variant) -> int:
    """Return the largest part that a pool may have, as the instances compute it."""
    ahead = list(s.claims)
    if variant is Variant.RESERVES_KEPT and not needs[pool]:
        ahead = []
    if variant is Variant.NO_ORDER:
        ahead = [item for item in ahead if item != pool]
    claims = []
    for item in ahead:
        need = Resources(needs[item])
        claims.append(LimitClaim(str(item), 0, need, need, 0.0))
    parts = {str(item): Resources(part) for item, part in enumerate(s.parts)}
    return room_for(str(pool), Resources(LIMIT), parts, claims).cpu_m


def _with(values: tuple, index: int, value: int) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def protocol_of(scene: str, variant: Variant) -> Protocol:
    """Return the state machine of a variant in a scene."""
    needs = SCENES[scene]
    nothing = (0,) * len(needs)
    return Protocol(
        name=f"turns at a limit: {scene}, {variant.value}",
        candidate=False,
        fields=State._fields,
        # Each pool has had work before, and kept its reserve.
        initial=tuple(State((RESERVE,) * len(needs), nothing, (), nothing, -1)),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in steps_of(state, needs, variant)
        ],
        invariants={
            "limit": lambda d: (
                sum(d["parts"]) <= LIMIT
                and all(u <= p for u, p in zip(d["used"], d["parts"], strict=True))
            ),
            "bounded wait": lambda d: max(d["waited"]) < MAX_WAIT,
        },
    )


def check(scene: str, variant: Variant) -> dict[str, tuple[bool | None, list[str]]]:
    """Return whether each invariant holds, and the steps of a counterexample."""
    properties = check_safety(protocol_of(scene, variant), MAX_STATES)["properties"]
    return {
        name: (
            result["holds"],
            [step["label"] for step in result.get("counterexample") or []][1:],
        )
        for name, result in properties.items()
    }


def main() -> None:
    """Print the results for each variant in each scene."""
    for scene in SCENES:
        print(scene)
        for variant in Variant:
            for name, (holds, steps) in check(scene, variant).items():
                print(f"  {variant.value}: {name} {'holds' if holds else 'VIOLATED'}")
                for step in steps:
                    print(f"      {step}")


if __name__ == "__main__":
    main()
