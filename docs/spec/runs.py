"""Specification of runs on the platform: claim, fence, record, start, end.

One task, two holders A and B in turn, two workers V and W, time in ticks. A run is
stored under the condition of the claim, then ordered; an end is stored, then
acknowledged. A worker obeys no lower token than it has seen, and refuses a run that
is not above those stopped or ended there. Orders may arrive late or never; a worker
may be out of reach, which stands for a holder that does not hear it. The fence is the platform's rule; here the run numbers carry
both promises without it, as no former holder can store a run.

Run this file to print what goes wrong without each rule.
"""

from minicheck import Protocol, check_safety

CLAIM = 2
LEASE = 2
HORIZON = 6
RUNS_MAX = 2
STATES_MAX = 120_000  # the protocol itself has 61,000; broken ones fail before
WORKERS = ("V", "W")
VARIANTS = (
    "",
    "order-before-record",
    "ack-before-record",
    "no-wait",
    "pause-unseen",
    "no-stop",
)

FIELDS = (
    "now",  # time in ticks
    "token",  # token of the claim; odd ones are A's, even ones B's
    "renewed",  # when the claim was last renewed
    "claimed",  # when the present holder took it
    "last",  # highest run number in the record
    "runs",  # runs in the record that may be alive: (number, worker)
    "done",  # True if the record says that the task is done
    "unsent",  # stored runs whose order is not sent: (token, number, worker)
    "orders",  # orders under way: (token, number, worker, end of the lease)
    "ends",  # when the leases that the holder gave are over: (worker, end)
    "fences",  # highest token that a worker has seen: (worker, token)
    "refused",  # highest run that a worker will refuse: (worker, number)
    "running",  # running tasks: (number, worker, end of the lease)
    "listed",  # ends that workers list: (number, worker)
    "acked",  # True once an end was acknowledged
    "after",  # True once a run began after that
)
NONE = frozenset()
INITIAL = dict(
    zip(
        FIELDS,
        (0, 1, 0, 0, 0, NONE, False, NONE, NONE, NONE, NONE, NONE, NONE, NONE, False)
        + (False,),
        strict=True,
    )
)


def transitions(state, variant):
    """Yield what can happen next, with a label."""
    now = state["now"]
    if now < HORIZON:
        yield "tick", _tick(state)
    if now > state["renewed"] + CLAIM:
        taken = {"token": state["token"] + 1, "renewed": now, "claimed": now}
        yield "the other holder claims", {**taken, "ends": NONE}
    holds = now < state["renewed"] + CLAIM
    if holds:
        if state["renewed"] < now:
            yield "the holder renews", {"renewed": now}
        yield from _decisions(state, variant)
        for worker in WORKERS:
            yield from _hears(state, worker, variant)
    for item in sorted(state["unsent"]):
        own = item[0] == state["token"]
        if (holds and own) or variant == "pause-unseen":
            yield f"order {item[1]} to {item[2]} is sent", _sent(state, item)
    for order in sorted(state["orders"]):
        yield _arrival(state, order)
    for number, worker, end in sorted(state["running"]):
        yield (
            f"run {number} ends on {worker}",
            {
                "running": state["running"] - {(number, worker, end)},
                "listed": state["listed"] | {(number, worker)},
                "refused": _raised(state["refused"], worker, number),
            },
        )


def _tick(state):
    now = state["now"] + 1
    return {
        "now": now,
        "running": frozenset(task for task in state["running"] if task[2] > now),
        # An order whose lease is over starts nothing.
        "orders": frozenset(order for order in state["orders"] if order[3] > now),
    }


def _decisions(state, variant):
    number = state["last"] + 1
    if not state["runs"] and not state["done"] and number <= RUNS_MAX:
        for worker in WORKERS:
            run = (number, worker)
            after = {"last": number, "runs": frozenset({run})}
            unsent = state["unsent"] | {(state["token"], *run)}
            yield f"run {number} is stored for {worker}", {**after, "unsent": unsent}
            if variant == "order-before-record":
                yield f"run {number} is ordered on {worker}", {"unsent": unsent}
    for run in sorted(state["runs"]):
        if not _own(state, run) and state["now"] >= _over(state, run[1], variant):
            yield f"the lease on {run[1]} is over", {"runs": state["runs"] - {run}}


def _over(state, worker, variant):
    """Return when a silent worker has surely lost its lease."""
    if variant == "no-wait":
        return state["now"]
    given = max((end for at, end in state["ends"] if at == worker), default=0)
    # Former holders ordered nothing after their claim had lapsed.
    return max(given, state["claimed"] + LEASE)


def _hears(state, worker, variant):
    """The holder calls a worker, which answers with what runs and has ended."""
    seen = max((token for at, token in state["fences"] if at == worker), default=0)
    if seen > state["token"]:
        return
    heard = {"fences": _raised(state["fences"], worker, state["token"])}
    yield f"{worker} is heard", heard
    for run in sorted(state["runs"]):
        if run[1] != worker:
            continue
        if run in state["listed"]:
            yield f"the end of {run[0]} is stored", {**heard, "done": True, "runs": NONE}
            continue
        alive = any(task[:2] == run for task in state["running"])
        if not alive and not _own(state, run):
            refused = _raised(state["refused"], worker, run[0])
            stop = {} if variant == "no-stop" else {"refused": refused}
            left = {"runs": state["runs"] - {run}}
            yield f"run {run[0]} is not on {worker}", {**heard, **stop, **left}
    stored = state["done"] or variant == "ack-before-record"
    if stored and any(at == worker for _number, at in state["listed"]):
        left = frozenset(end for end in state["listed"] if end[1] != worker)
        yield f"{worker}'s ends are acknowledged", {"acked": True, "listed": left}


def _own(state, run):
    """Tell whether the holder stored a run whose order it has still to send."""
    return any(item == (state["token"], *run) for item in state["unsent"])


def _sent(state, item):
    end = state["now"] + LEASE
    return {
        "unsent": state["unsent"] - {item},
        "orders": state["orders"] | {(*item, end)},
        "ends": state["ends"] | {(item[2], end)},
    }


def _arrival(state, order):
    token, number, worker, end = order
    after = {"orders": state["orders"] - {order}}
    seen = max((item for at, item in state["fences"] if at == worker), default=0)
    known = max((item for at, item in state["refused"] if at == worker), default=0)
    fenced = token < seen
    there = any(task[:2] == (number, worker) for task in state["running"])
    if fenced or number <= known or there:
        return f"order {number} is refused by {worker}", after
    after["fences"] = _raised(state["fences"], worker, token)
    after["running"] = state["running"] | {(number, worker, end)}
    after["after"] = state["after"] or state["acked"]
    return f"order {number} reaches {worker}", after


def _raised(pairs, worker, value):
    """Return pairs of worker and value with one worker's value raised."""
    known = max((item for at, item in pairs if at == worker), default=0)
    others = frozenset(pair for pair in pairs if pair[0] != worker)
    return others | {(worker, max(known, value))}


def one_run(state):
    """At most one run of the task is alive at any moment."""
    return len(state["running"]) <= 1


def none_after_the_end(state):
    """No run begins after an end was acknowledged."""
    return not state["after"]


PROMISES = {"one_run": one_run, "none_after_the_end": none_after_the_end}


def protocol(variant=""):
    """Return the protocol, or a variant of it without one rule."""

    def steps(values):
        state = dict(zip(FIELDS, values, strict=True))
        return [
            (label, tuple({**state, **after}.values()))
            for label, after in transitions(state, variant)
        ]

    return Protocol(
        name=f"runs {variant}".strip(),
        candidate=False,
        fields=FIELDS,
        initial=tuple(INITIAL.values()),
        transitions=steps,
        invariants=PROMISES,
    )


def check(variant=""):
    """Return the verdicts on one variant, with a counterexample for each failure."""
    return check_safety(protocol(variant), max_states=STATES_MAX)["properties"]


def main():
    """Print each variant's verdict."""
    for variant in VARIANTS:
        for promise, found in check(variant).items():
            verdict = "holds" if found["holds"] else "fails"
            print(variant or "as designed", promise, verdict)
            for step in found.get("counterexample") or ():
                print("   ", step["label"])


if __name__ == "__main__":
    main()
