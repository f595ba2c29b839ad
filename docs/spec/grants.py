"""Specification of grants: two nodes share a limit through one record.

Node A holds the whole limit at first; node B takes units over, either because
A gives them up or because A is gone. Time passes in ticks. A can be paused
between any two steps, and the store can go away. Run this file to print the
shortest way in which each broken variant breaks the promise.
"""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol, check_safety

LIMIT = 2
# Spans in ticks: a standing period, a lease, and the bound of a request.
STANDING = 2
LEASE = 2
ENDS_BY = 2
FULL_WAIT = STANDING + ENDS_BY
NOT_SEEN = -1
MAX_STATES = 400_000


class Variant(Enum):
    """The protocol, and the ways in which it would be broken."""

    SOUND = "sound"
    NO_CLOCK_READ = "the clock is not read again before sending"
    LEASE_END_ONLY = "a part is taken back as soon as its lease is over"
    WORK_FORGOTTEN = "a part is taken back without waiting for its work"
    TAKER_FIRST = "the taker grows before the giver has shrunk"
    HASTY_AFTER_OUTAGE = "waiting goes on while the store is away"
    STALE_PART = "a part is spent after registering anew without reading it"


class State(NamedTuple):
    """Everything that counts.

    Attributes:
        part_a, part_b: Parts in the record.
        own_a, own_b: What each node believes to be its own.
        running_a, running_b: Units that run.
        work_a: Ticks until A's latest work has ended for certain.
        lease: Ticks until A's lease is over, by the store.
        standing: Ticks until A's evidence is over, by A.
        checked: True if A has decided to start and not sent yet.
        store_up: True if the store answers.
        gone: Ticks since B saw A's lease gone, or ``NOT_SEEN``.
    """

    part_a: int = LIMIT
    part_b: int = 0
    own_a: int = LIMIT
    own_b: int = 0
    running_a: int = 0
    running_b: int = 0
    work_a: int = 0
    lease: int = LEASE
    standing: int = STANDING
    checked: bool = False
    store_up: bool = True
    gone: int = NOT_SEEN


def steps_of(state: tuple, variant: Variant) -> list[tuple[str, State]]:
    """Return every step that can come next, with the state after it."""
    s = State(*state)
    found = [("a tick passes", _tick(s, variant))]
    found += _steps_of_a(s, variant)
    found += _steps_of_b(s, variant)
    # Going away starts an outage; coming back makes every lapsed lease visible.
    if s.store_up:
        gone = s.gone if variant is Variant.HASTY_AFTER_OUTAGE else NOT_SEEN
        found.append(("the store goes away", s._replace(store_up=False, gone=gone)))
    else:
        found.append(("the store comes back", s._replace(store_up=True)))
    return found


def _tick(s: State, variant: Variant) -> State:
    work = max(0, s.work_a - 1)
    seen = s.gone != NOT_SEEN
    hasty = variant is Variant.HASTY_AFTER_OUTAGE
    if hasty and not s.store_up and not seen and s.lease <= 1:
        # The hasty reclaimer reads silence of the store as a lapsed lease.
        return _tick(s._replace(gone=0), variant)
    counts = seen and (s.store_up or hasty)
    return s._replace(
        lease=max(0, s.lease - 1),
        standing=max(0, s.standing - 1),
        work_a=work,
        running_a=s.running_a if work else 0,
        gone=min(FULL_WAIT, s.gone + 1) if counts else s.gone,
    )


def _steps_of_a(s: State, variant: Variant) -> list[tuple[str, State]]:
    found = []
    if s.store_up and s.lease:
        after = s._replace(lease=LEASE, standing=STANDING)
        found.append(("A renews and confirms", after))
    if s.store_up and not s.lease:
        stale = variant is Variant.STALE_PART
        own = s.own_a if stale else min(s.own_a, s.part_a)
        after = s._replace(lease=LEASE, standing=STANDING, own_a=own, gone=NOT_SEEN)
        found.append(("A registers anew and reads its part", after))
    if not s.store_up and s.standing:
        after = s._replace(standing=STANDING)
        found.append(("A hears that nobody reaches the store", after))
    if s.standing and s.running_a < s.own_a and not s.checked:
        found.append(("A decides to start", s._replace(checked=True)))
    if s.checked:
        found.append(("A sends, or finds that it may not", _send(s, variant)))
    if s.running_a:
        found.append(("A's work ends", s._replace(running_a=s.running_a - 1)))
    if s.own_a == s.part_a and s.own_a > s.running_a + s.checked:
        found.append(("A counts a unit as given", s._replace(own_a=s.own_a - 1)))
    if s.store_up and s.lease and s.part_a > s.own_a:
        found.append(("A writes its smaller part", s._replace(part_a=s.own_a)))
    return found


def _send(s: State, variant: Variant) -> State:
    asks_clock = variant is not Variant.NO_CLOCK_READ
    if asks_clock and not s.standing:
        return s._replace(checked=False)
    if s.running_a >= s.own_a:
        return s._replace(checked=False)
    return s._replace(checked=False, running_a=s.running_a + 1, work_a=ENDS_BY)


def _steps_of_b(s: State, variant: Variant) -> list[tuple[str, State]]:
    found = []
    if s.store_up:
        found += _writes_of_b(s, variant)
    if s.running_b < s.own_b:
        found.append(("B starts", s._replace(running_b=s.running_b + 1)))
    if s.running_b:
        found.append(("B's work ends", s._replace(running_b=s.running_b - 1)))
    return found


def _writes_of_b(s: State, variant: Variant) -> list[tuple[str, State]]:
    found = []
    room = LIMIT - s.part_a - s.part_b
    if variant is Variant.TAKER_FIRST and s.running_a < s.own_a:
        # B goes by A's report that it has a unit to give.
        room = max(room, LIMIT - s.running_a - s.part_b)
    if room > 0:
        after = s._replace(part_b=s.part_b + 1, own_b=s.part_b + 1)
        found.append(("B takes a free unit", after))
    if not s.lease and s.gone == NOT_SEEN:
        found.append(("B sees A's lease gone", s._replace(gone=0)))
    if not s.lease and s.gone >= _wait_of(variant) and s.part_a:
        found.append(("B takes A's part back", s._replace(part_a=0)))
    return found


def _wait_of(variant: Variant) -> int:
    if variant is Variant.LEASE_END_ONLY:
        return 0
    if variant is Variant.WORK_FORGOTTEN:
        return STANDING
    return FULL_WAIT


def protocol_of(variant: Variant) -> Protocol:
    """Return the state machine of a variant."""
    return Protocol(
        name=f"grants: {variant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in steps_of(state, variant)
        ],
        invariants={"limit": lambda d: d["running_a"] + d["running_b"] <= LIMIT},
    )


def check(variant: Variant) -> tuple[bool | None, list[str]]:
    """Return whether the limit holds, and the steps of a counterexample."""
    result = check_safety(protocol_of(variant), MAX_STATES)["properties"]["limit"]
    steps = [step["label"] for step in result.get("counterexample") or []]
    return result["holds"], steps[1:]


def main() -> None:
    """Print the verdict on each variant."""
    for variant in Variant:
        holds, steps = check(variant)
        print(f"{variant.value}: {'holds' if holds else 'BREAKS'}")
        for step in steps:
            print(f"    {step}")


if __name__ == "__main__":
    main()
