"""Specification of runs on the platform: claim, fence, record, start, end.

The model has one task, two instances A and B that hold the claim in turn, and two
workers V and W; time passes in ticks. A run is stored on condition that the claim is
still held, then ordered; the end of a run is stored, then acknowledged. A worker
refuses a fencing token lower than the highest that it has seen, and a run whose number
is not above those that were stopped or ended on it. Orders may arrive late or never. A
worker may be unreachable, which is modelled as a holder that does not poll it. The
fencing token is a rule of the platform; in this model the run numbers alone guarantee
both invariants, because a former holder cannot store a run.

Run this file to print a counterexample for each broken variant:
    order-before-record: a run is ordered before it is stored.
    ack-before-record: the end of a run is acknowledged before it is stored.
    no-lease-wait: a run on an unreachable worker is dropped before its lease expires.
    no-claim-recheck: an order is sent after a pause without checking the claim again.
    no-stop: a run missing on its worker is not refused there when it arrives late.
"""

from minicheck import Protocol, check_safety

CLAIM_TICKS = 2
LEASE_TICKS = 2
HORIZON_TICKS = 6
MAX_RUNS = 2
MAX_STATES = 120_000  # the protocol has 61,000; broken variants fail earlier
WORKERS = ("V", "W")
VARIANTS = (
    "",
    "order-before-record",
    "ack-before-record",
    "no-lease-wait",
    "no-claim-recheck",
    "no-stop",
)

FIELDS = (
    "now",  # time in ticks
    "token",  # fencing token of the claim; odd tokens are of A, even ones of B
    "renewed_at",  # time of the last renewal of the claim
    "claimed_at",  # time at which the current holder acquired the claim
    "last_run",  # highest run number in the record
    "runs",  # runs in the record that may be running: (number, worker)
    "done",  # True if the task is done according to the record
    "unsent",  # stored runs whose order is not sent yet: (token, number, worker)
    "orders",  # orders in flight: (token, number, worker, end of the lease)
    "lease_ends",  # ends of the leases that the holder gave: (worker, end)
    "fences",  # highest fencing token that a worker has seen: (worker, token)
    "refused_up_to",  # highest run number that a worker refuses: (worker, number)
    "running",  # running tasks: (number, worker, end of the lease)
    "reported_ends",  # ends of runs that workers report: (number, worker)
    "end_acked",  # True once the end of a run was acknowledged
    "started_after_ack",  # True once a run started after that
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
    """Yield the possible next steps: a label and the changed fields."""
    now = state["now"]
    if now < HORIZON_TICKS:
        yield "tick", _tick(state)
    if now > state["renewed_at"] + CLAIM_TICKS:
        acquired = {"token": state["token"] + 1, "renewed_at": now, "claimed_at": now}
        yield "the other instance acquires the claim", {**acquired, "lease_ends": NONE}
    claim_held = now < state["renewed_at"] + CLAIM_TICKS
    if claim_held:
        if state["renewed_at"] < now:
            yield "the holder renews the claim", {"renewed_at": now}
        yield from _decisions(state, variant)
        for worker in WORKERS:
            yield from _poll_worker(state, worker, variant)
    for item in sorted(state["unsent"]):
        same_token = item[0] == state["token"]
        if (claim_held and same_token) or variant == "no-claim-recheck":
            yield f"order of run {item[1]} to {item[2]} sent", _send_order(state, item)
    for order in sorted(state["orders"]):
        yield _deliver_order(state, order)
    for number, worker, end in sorted(state["running"]):
        yield (
            f"run {number} ends on {worker}",
            {
                "running": state["running"] - {(number, worker, end)},
                "reported_ends": state["reported_ends"] | {(number, worker)},
                "refused_up_to": _with_raised(state["refused_up_to"], worker, number),
            },
        )


def _tick(state):
    now = state["now"] + 1
    return {
        "now": now,
        "running": frozenset(task for task in state["running"] if task[2] > now),
        # An order whose lease has expired starts nothing.
        "orders": frozenset(order for order in state["orders"] if order[3] > now),
    }


def _decisions(state, variant):
    number = state["last_run"] + 1
    if not state["runs"] and not state["done"] and number <= MAX_RUNS:
        for worker in WORKERS:
            run = (number, worker)
            after = {"last_run": number, "runs": frozenset({run})}
            unsent = state["unsent"] | {(state["token"], *run)}
            yield f"run {number} is stored for {worker}", {**after, "unsent": unsent}
            if variant == "order-before-record":
                yield f"run {number} is ordered on {worker}", {"unsent": unsent}
    for run in sorted(state["runs"]):
        if not _unsent(state, run) and state["now"] >= _expiry(state, run[1], variant):
            yield f"the lease on {run[1]} has expired", {"runs": state["runs"] - {run}}


def _expiry(state, worker, variant):
    """Return the time at which an unreachable worker has certainly lost its lease."""
    if variant == "no-lease-wait":
        return state["now"]
    lease_end = max((end for at, end in state["lease_ends"] if at == worker), default=0)
    # Former holders sent no orders after their claim had expired.
    return max(lease_end, state["claimed_at"] + LEASE_TICKS)


def _poll_worker(state, worker, variant):
    """Yield the steps in which a worker reports its running and ended runs."""
    max_token = max((token for at, token in state["fences"] if at == worker), default=0)
    if max_token > state["token"]:
        return
    polled = {"fences": _with_raised(state["fences"], worker, state["token"])}
    yield f"{worker} is polled", polled
    for run in sorted(state["runs"]):
        if run[1] != worker:
            continue
        if run in state["reported_ends"]:
            yield f"end of run {run[0]} stored", {**polled, "done": True, "runs": NONE}
            continue
        is_running = any(task[:2] == run for task in state["running"])
        if not is_running and not _unsent(state, run):
            refused = _with_raised(state["refused_up_to"], worker, run[0])
            refusal = {} if variant == "no-stop" else {"refused_up_to": refused}
            remaining = {"runs": state["runs"] - {run}}
            yield f"run {run[0]} is not on {worker}", {**polled, **refusal, **remaining}
    can_ack = state["done"] or variant == "ack-before-record"
    if can_ack and any(at == worker for _number, at in state["reported_ends"]):
        others = frozenset(end for end in state["reported_ends"] if end[1] != worker)
        yield f"{worker}'s ends are acked", {"end_acked": True, "reported_ends": others}


def _unsent(state, run):
    """Return whether the holder has stored a run but not yet sent its order."""
    return any(item == (state["token"], *run) for item in state["unsent"])


def _send_order(state, item):
    end = state["now"] + LEASE_TICKS
    return {
        "unsent": state["unsent"] - {item},
        "orders": state["orders"] | {(*item, end)},
        "lease_ends": state["lease_ends"] | {(item[2], end)},
    }


def _deliver_order(state, order):
    token, number, worker, end = order
    after = {"orders": state["orders"] - {order}}
    max_token = max((item for at, item in state["fences"] if at == worker), default=0)
    last_refused = max(
        (item for at, item in state["refused_up_to"] if at == worker), default=0
    )
    token_too_low = token < max_token
    already_running = any(task[:2] == (number, worker) for task in state["running"])
    if token_too_low or number <= last_refused or already_running:
        return f"order of run {number} is refused by {worker}", after
    after["fences"] = _with_raised(state["fences"], worker, token)
    after["running"] = state["running"] | {(number, worker, end)}
    after["started_after_ack"] = state["started_after_ack"] or state["end_acked"]
    return f"order of run {number} reaches {worker}", after


def _with_raised(pairs, worker, value):
    """Return the (worker, value) pairs with the value of one worker raised."""
    known = max((item for at, item in pairs if at == worker), default=0)
    others = frozenset(pair for pair in pairs if pair[0] != worker)
    return others | {(worker, max(known, value))}


def at_most_one_run(state):
    """Return whether at most one run of the task is running."""
    return len(state["running"]) <= 1


def no_start_after_ack(state):
    """Return whether no run started after an end was acknowledged."""
    return not state["started_after_ack"]


INVARIANTS = {
    "at_most_one_run": at_most_one_run,
    "no_start_after_ack": no_start_after_ack,
}


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
        invariants=INVARIANTS,
    )


def check(variant=""):
    """Return the results for one variant, with a counterexample for each failure."""
    return check_safety(protocol(variant), max_states=MAX_STATES)["properties"]


def main():
    """Print the results and any counterexamples for each variant."""
    for variant in VARIANTS:
        for invariant, found in check(variant).items():
            result = "holds" if found["holds"] else "fails"
            print(variant or "as designed", invariant, result)
            for step in found.get("counterexample") or ():
                print("   ", step["label"])


if __name__ == "__main__":
    main()
