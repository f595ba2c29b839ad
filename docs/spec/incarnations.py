"""Specification of starts and renewals at a worker that starts again under its name.

The model has one task, a worker that restarts, another worker that does not, and the
holder of their pool. Each incarnation of the first worker has a clock that begins at 0.
A deadline is a reading of that clock; a worker shortens one beyond its longest lease
instead of refusing it. A new connection leads to the present incarnation. A start on an
open connection to a former one comes to nothing, as does anything once the worker is
cut off; its run goes on behind the cut until its lease ends. The holder learns of an
incarnation by a report, which states its clock, or by the directory, which does not.
Once the lease that it counts is over, it starts the task on the other worker. Time
passes in ticks; clocks do not drift.

Run this file to print a counterexample for each broken variant:
    no-greeting: a start goes out on a connection without asking who answers on it.
    entry-clock: a start is sent once the directory names an incarnation, with a
        deadline by the clock of the one before.
    renewal-anywhere: a renewal states a deadline on a connection without a report.
"""

from minicheck import Protocol, check_safety

LEASE_TICKS = 2
LONGEST_LEASE_TICKS = 5
FIRST_BIRTH = -4  # the first incarnation has been up for longer than a lease
RESTARTS = 2
HORIZON_TICKS = 8
MAX_STATES = 400_000
VARIANTS = ("", "no-greeting", "entry-clock", "renewal-anywhere")
NOWHERE, FIRST, OTHER = "", "first", "other"

FIELDS = (
    "now",  # time in ticks
    "births",  # when each incarnation of the first worker started
    "lease_end",  # end of the present incarnation's lease
    "runs",  # True while the task runs on the first worker
    "cut",  # True once the first worker is cut off
    "entry",  # incarnation that the directory has named to the holder
    "known",  # incarnation of the last report
    "placed",  # worker that the holder has the task on
    "started_at",  # when it ordered that start
    "expiry",  # when that run has certainly ended, by the holder's count
    "runs_twice",  # True once the task ran on both workers
)
INITIAL = dict(
    zip(
        FIELDS,
        (0, (FIRST_BIRTH,), 0, False, False, 0, 0, NOWHERE, 0, 0, False),
        strict=True,
    )
)


def transitions(state, variant):
    """Yield the possible next steps: a label and the changed fields."""
    now = state["now"]
    if now < HORIZON_TICKS:
        runs = state["runs"] and state["lease_end"] > now + 1
        yield "tick", {"now": now + 1, "runs": runs}
    if len(state["births"]) <= RESTARTS:
        births = (*state["births"], now)
        yield "the worker restarts", {"births": births, "runs": False, "lease_end": 0}
    if not state["cut"]:
        yield "the worker is cut off", {"cut": True}
        yield "the worker reports", _report(state)
    if state["entry"] < _present(state):
        yield "the directory is read", {"entry": _present(state)}
    if state["placed"] == NOWHERE:
        yield from _starts(state, variant)
    if state["placed"] == FIRST:
        if not state["cut"]:
            yield from _renewals(state, variant)
        if now >= state["expiry"]:
            yield (
                "the task is started elsewhere",
                {"placed": OTHER, "runs_twice": state["runs"]},
            )


def _present(state):
    """Return the number of the present incarnation."""
    return len(state["births"]) - 1


def _report(state):
    known = _present(state)
    after = {"known": known, "entry": max(state["entry"], known)}
    is_gone = not state["runs"] and state["started_at"] < state["now"]
    if state["placed"] == FIRST and is_gone:
        after["placed"] = NOWHERE
    return after


def _deadline(state):
    """Return the end of a lease from now by the clock that the holder knows."""
    return state["now"] - state["births"][state["known"]] + LEASE_TICKS


def _lease_end(state):
    """Return the end of the lease that such a deadline gives the worker now."""
    clock = state["now"] - state["births"][-1]
    left = min(_deadline(state) - clock, LONGEST_LEASE_TICKS)
    return max(state["lease_end"], state["now"] + left)


def _starts(state, variant):
    # What a report has shown is of the incarnation that the directory names.
    if state["known"] < state["entry"] and variant != "entry-clock":
        return
    now = state["now"]
    ordered = {"placed": FIRST, "started_at": now, "expiry": now + LEASE_TICKS}
    yield "a start on an old connection is lost", ordered
    if state["cut"]:
        return
    expected = max(state["known"], state["entry"])
    if _present(state) != expected and variant != "no-greeting":
        return  # another incarnation answers the greeting: the start is withheld
    taken = {**ordered, "runs": True, "lease_end": _lease_end(state)}
    yield "a start on a new connection is taken", taken


def _renewals(state, variant):
    is_known = state["known"] == _present(state)
    if is_known or variant == "renewal-anywhere":
        expiry = state["now"] + LEASE_TICKS
        renewed = {"lease_end": _lease_end(state), "expiry": expiry}
        yield "the lease is renewed", renewed


def no_two_runs(state):
    """Return whether the task has never run on both workers at once."""
    return not state["runs_twice"]


def protocol(variant=""):
    """Return the protocol, or a variant of it without one rule."""

    def steps(values):
        state = dict(zip(FIELDS, values, strict=True))
        return [
            (label, tuple({**state, **after}.values()))
            for label, after in transitions(state, variant)
        ]

    return Protocol(
        name=f"incarnations {variant}".strip(),
        candidate=False,
        fields=FIELDS,
        initial=tuple(INITIAL.values()),
        transitions=steps,
        invariants={"no_two_runs": no_two_runs},
    )


def check(variant=""):
    """Return the result for one variant, with a counterexample if it fails."""
    found = check_safety(protocol(variant), max_states=MAX_STATES)
    return found["properties"]["no_two_runs"]


def main():
    """Print the result and any counterexample for each variant."""
    for variant in VARIANTS:
        found = check(variant)
        print(variant or "as designed", "holds" if found["holds"] else "fails")
        for step in found.get("counterexample") or ():
            print("   ", step["label"])


if __name__ == "__main__":
    main()
