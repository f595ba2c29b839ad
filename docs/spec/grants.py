"""Specification of grants: two nodes share a team limit through one record.

Node A holds the whole limit at first. Node B takes units over, either because A gives
them back or because A has failed. Time passes in ticks. A can be paused between any
two steps, and the store can become unavailable. Run this file to print the shortest
counterexample of each broken variant.
"""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol, check_safety

LIMIT = 2
# Durations in ticks; REQUEST_TICKS is the upper bound on the run time of a request.
STANDING_TICKS = 2
LEASE_TICKS = 2
REQUEST_TICKS = 2
RECLAIM_WAIT_TICKS = STANDING_TICKS + REQUEST_TICKS
NOT_SEEN = -1
MAX_STATES = 400_000


class Variant(Enum):
    """The correct protocol and its broken variants."""

    SOUND = "sound"
    NO_CLOCK_READ = "the clock is not read again before sending"
    LEASE_END_ONLY = "a part is reclaimed as soon as its lease expires"
    WORK_FORGOTTEN = "a part is reclaimed without waiting for its work to end"
    TAKER_FIRST = "the receiver adds a unit before the giver has removed it"
    HASTY_AFTER_OUTAGE = "the reclaim wait continues while the store is unavailable"
    STALE_PART = "a part is used after a new registration without being read again"


class State(NamedTuple):
    """One state of the system.

    Attributes:
        part_a, part_b: Units of the limit granted to each node in the record.
        spendable_a, spendable_b: Units that each node assumes it may use.
        running_a, running_b: Units that run, started from each node.
        work_ticks_a: Ticks until A's latest work has certainly ended.
        lease_ticks: Ticks until A's lease expires, by the clock of the store.
        standing_ticks: Ticks until A's evidence expires, by the clock of A.
        start_decided: True if A has decided to start work and has not sent it yet.
        store_up: True if the store responds.
        expired_ticks: Ticks since B saw that A's lease had expired, or ``NOT_SEEN``.
    """

    part_a: int = LIMIT
    part_b: int = 0
    spendable_a: int = LIMIT
    spendable_b: int = 0
    running_a: int = 0
    running_b: int = 0
    work_ticks_a: int = 0
    lease_ticks: int = LEASE_TICKS
    standing_ticks: int = STANDING_TICKS
    start_decided: bool = False
    store_up: bool = True
    expired_ticks: int = NOT_SEEN


def steps_of(state: tuple, variant: Variant) -> list[tuple[str, State]]:
    """Return every possible next step, with the state after it."""
    s = State(*state)
    next_steps = [("a tick passes", _tick(s, variant))]
    next_steps += _steps_of_a(s, variant)
    next_steps += _steps_of_b(s, variant)
    # An outage resets B's wait; after it, B can see an expired lease again.
    if s.store_up:
        expired_ticks = (
            s.expired_ticks if variant is Variant.HASTY_AFTER_OUTAGE else NOT_SEEN
        )
        next_steps.append(
            (
                "the store becomes unavailable",
                s._replace(store_up=False, expired_ticks=expired_ticks),
            )
        )
    else:
        next_steps.append(("the store becomes available", s._replace(store_up=True)))
    return next_steps


def _tick(s: State, variant: Variant) -> State:
    work_ticks = max(0, s.work_ticks_a - 1)
    expiry_seen = s.expired_ticks != NOT_SEEN
    waits_during_outage = variant is Variant.HASTY_AFTER_OUTAGE
    if (
        waits_during_outage
        and not s.store_up
        and not expiry_seen
        and s.lease_ticks <= 1
    ):
        # This variant takes an unavailable store as evidence of an expired lease.
        return _tick(s._replace(expired_ticks=0), variant)
    wait_continues = expiry_seen and (s.store_up or waits_during_outage)
    return s._replace(
        lease_ticks=max(0, s.lease_ticks - 1),
        standing_ticks=max(0, s.standing_ticks - 1),
        work_ticks_a=work_ticks,
        running_a=s.running_a if work_ticks else 0,
        expired_ticks=min(RECLAIM_WAIT_TICKS, s.expired_ticks + 1)
        if wait_continues
        else s.expired_ticks,
    )


def _steps_of_a(s: State, variant: Variant) -> list[tuple[str, State]]:
    next_steps = []
    if s.store_up and s.lease_ticks:
        after = s._replace(lease_ticks=LEASE_TICKS, standing_ticks=STANDING_TICKS)
        next_steps.append(("A renews its lease and confirms its standing", after))
    if s.store_up and not s.lease_ticks:
        keeps_stale_part = variant is Variant.STALE_PART
        own = s.spendable_a if keeps_stale_part else min(s.spendable_a, s.part_a)
        after = s._replace(
            lease_ticks=LEASE_TICKS,
            standing_ticks=STANDING_TICKS,
            spendable_a=own,
            expired_ticks=NOT_SEEN,
        )
        next_steps.append(("A registers again and reads its part", after))
    if not s.store_up and s.standing_ticks:
        after = s._replace(standing_ticks=STANDING_TICKS)
        next_steps.append(("A learns that no node reaches the store", after))
    if s.standing_ticks and s.running_a < s.spendable_a and not s.start_decided:
        next_steps.append(("A decides to start", s._replace(start_decided=True)))
    if s.start_decided:
        next_steps.append(("A sends, or cancels the start", _send(s, variant)))
    if s.running_a:
        next_steps.append(("A's work ends", s._replace(running_a=s.running_a - 1)))
    if s.spendable_a == s.part_a and s.spendable_a > s.running_a + s.start_decided:
        next_steps.append(
            ("A stops using a unit", s._replace(spendable_a=s.spendable_a - 1))
        )
    if s.store_up and s.lease_ticks and s.part_a > s.spendable_a:
        next_steps.append(
            ("A writes its smaller part", s._replace(part_a=s.spendable_a))
        )
    return next_steps


def _send(s: State, variant: Variant) -> State:
    rereads_clock = variant is not Variant.NO_CLOCK_READ
    if rereads_clock and not s.standing_ticks:
        return s._replace(start_decided=False)
    if s.running_a >= s.spendable_a:
        return s._replace(start_decided=False)
    return s._replace(
        start_decided=False, running_a=s.running_a + 1, work_ticks_a=REQUEST_TICKS
    )


def _steps_of_b(s: State, variant: Variant) -> list[tuple[str, State]]:
    next_steps = []
    if s.store_up:
        next_steps += _writes_of_b(s, variant)
    if s.running_b < s.spendable_b:
        next_steps.append(("B starts", s._replace(running_b=s.running_b + 1)))
    if s.running_b:
        next_steps.append(("B's work ends", s._replace(running_b=s.running_b - 1)))
    return next_steps


def _writes_of_b(s: State, variant: Variant) -> list[tuple[str, State]]:
    next_steps = []
    free_units = LIMIT - s.part_a - s.part_b
    if variant is Variant.TAKER_FIRST and s.running_a < s.spendable_a:
        # B relies on A's report that it has a unit to give back.
        free_units = max(free_units, LIMIT - s.running_a - s.part_b)
    if free_units > 0:
        after = s._replace(part_b=s.part_b + 1, spendable_b=s.part_b + 1)
        next_steps.append(("B takes a free unit", after))
    if not s.lease_ticks and s.expired_ticks == NOT_SEEN:
        next_steps.append(
            ("B sees that A's lease has expired", s._replace(expired_ticks=0))
        )
    if not s.lease_ticks and s.expired_ticks >= _reclaim_wait_of(variant) and s.part_a:
        next_steps.append(("B reclaims A's part", s._replace(part_a=0)))
    return next_steps


def _reclaim_wait_of(variant: Variant) -> int:
    if variant is Variant.LEASE_END_ONLY:
        return 0
    if variant is Variant.WORK_FORGOTTEN:
        return STANDING_TICKS
    return RECLAIM_WAIT_TICKS


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
    """Print the result for each variant."""
    for variant in Variant:
        holds, steps = check(variant)
        print(f"{variant.value}: {'holds' if holds else 'VIOLATED'}")
        for step in steps:
            print(f"    {step}")


if __name__ == "__main__":
    main()
