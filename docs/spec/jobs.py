"""Specification of the start of long jobs: at most one live attempt.

The model has one job, two dispatchers A and B, and two workers V and W; time passes in
ticks. The record of the job contains the attempt number and is changed by
compare-and-swap under the claim. A dispatcher acts only while it holds the claim
according to its own clock; the store gives the claim to the other dispatcher later than
that. Any message may be delayed without bound, which also represents a dispatcher that
is paused right before it sends.

Run this file to print a counterexample for each broken variant:
    lease-from-arrival: a worker counts the lease from the arrival of the order.
    no-lease-wait: a new holder does not wait until the leases that the former holder
        gave have expired.
    no-fence: a worker does not remember which attempts were stopped on it.
    no-attempt-check: the response to a stop counts for any attempt on that worker.
"""

from minicheck import Protocol, check_safety

CLAIM_TICKS = 2
LEASE_TICKS = 4
HORIZON_TICKS = 7
MAX_ATTEMPTS = 3
VARIANTS = ("", "lease-from-arrival", "no-lease-wait", "no-fence", "no-attempt-check")

FIELDS = (
    "now",  # time in ticks
    "holder",  # dispatcher that holds the claim according to the store
    "renewed_at",  # time of the last renewal of the claim
    "attempt",  # attempt number in the record of the job, 0 if it never started
    "assigned",  # worker of that attempt, empty if the job is queued
    "lease_end",  # end of the lease of the attempt, as known to the holder
    "orders",  # start orders in flight: (attempt, worker, end of the lease)
    "stop_responses",  # responses to stops in flight: (attempt, worker)
    "fences",  # stops that a worker received: (attempt, worker)
    "running",  # running tasks: (attempt, worker, end of the lease)
)
NONE = frozenset()
INITIAL = dict(zip(FIELDS, (0, "A", 0, 0, "", 0, NONE, NONE, NONE, NONE), strict=True))


def transitions(state, variant):
    """Yield the possible next steps: a label and the changed fields."""
    now, holder = state["now"], state["holder"]
    if now < HORIZON_TICKS:
        # A worker ends a task by itself when the lease of the task expires.
        remaining = frozenset(task for task in state["running"] if task[2] > now + 1)
        after = {"now": now + 1, "running": remaining}
        if variant != "lease-from-arrival":
            # An expired order starts nothing, so it is dropped from the state.
            after["orders"] = frozenset(
                order for order in state["orders"] if order[2] > now + 1
            )
        yield "tick", after
    claim_held = now < state["renewed_at"] + CLAIM_TICKS
    if claim_held and state["renewed_at"] < now:
        yield f"{holder} renews its claim", {"renewed_at": now}
    if now > state["renewed_at"] + CLAIM_TICKS:
        other = "B" if holder == "A" else "A"
        # The former holder checked its claim before the claim expired, so every
        # lease that it gave ends at most one lease from now.
        lease_end = now if variant == "no-lease-wait" else now + LEASE_TICKS
        yield (
            f"{other} acquires the claim",
            {"holder": other, "renewed_at": now, "lease_end": lease_end},
        )
    if claim_held:
        yield from _decisions(state, variant)
    for order in sorted(state["orders"]):
        yield _deliver_order(state, order, variant)


def _decisions(state, variant):
    now, holder, attempt = state["now"], state["holder"], state["attempt"]
    assigned = state["assigned"]
    if not assigned and attempt < MAX_ATTEMPTS:
        # The workers are interchangeable, so the first start is always on V.
        for worker in ("V", "W") if attempt else ("V",):
            order = (attempt + 1, worker, now + LEASE_TICKS)
            yield (
                f"{holder} starts on {worker}",
                {
                    "attempt": attempt + 1,
                    "assigned": worker,
                    "lease_end": now + LEASE_TICKS,
                    "orders": state["orders"] | {order},
                },
            )
    if assigned and now >= state["lease_end"]:
        yield f"{holder} requeues: the lease has expired", {"assigned": ""}
    if assigned and (attempt, assigned) not in state["fences"]:
        yield f"{holder} stops attempt {attempt} on {assigned}", _stop(state, variant)
    for number, worker in sorted(state["stop_responses"]):
        if worker == assigned and (number == attempt or variant == "no-attempt-check"):
            yield f"{holder} requeues: attempt {number} was stopped", {"assigned": ""}


def _stop(state, variant):
    attempt, worker = state["attempt"], state["assigned"]
    remaining = frozenset(
        task for task in state["running"] if task[1] != worker or task[0] > attempt
    )
    fences = state["fences"]
    if variant != "no-fence":
        fences = fences | {(attempt, worker)}
    stop_responses = state["stop_responses"] | {(attempt, worker)}
    return {"running": remaining, "fences": fences, "stop_responses": stop_responses}


def _deliver_order(state, order, variant):
    attempt, worker, end = order
    now = state["now"]
    expired = end <= now
    if variant == "lease-from-arrival":
        expired, end = False, now + LEASE_TICKS
    # A worker refuses an attempt that is not above every attempt that it knows.
    refused = any(
        number >= attempt and at == worker
        for number, at, *_ in (*state["fences"], *state["running"])
    )
    after = {"orders": state["orders"] - {order}}
    if not expired and not refused:
        other_tasks = {task for task in state["running"] if task[1] != worker}
        after["running"] = frozenset(other_tasks | {(attempt, worker, end)})
    return f"order of attempt {attempt} reaches {worker}", after


def at_most_one_live_attempt(state):
    """Return whether at most one task of the job runs."""
    return len(state["running"]) <= 1


def protocol(variant=""):
    """Return the protocol, or a variant of it without one rule."""

    def steps(values):
        state = dict(zip(FIELDS, values, strict=True))
        return [
            (label, tuple({**state, **after}.values()))
            for label, after in transitions(state, variant)
        ]

    return Protocol(
        name=f"jobs {variant}".strip(),
        candidate=False,
        fields=FIELDS,
        initial=tuple(INITIAL.values()),
        transitions=steps,
        invariants={"at_most_one_live_attempt": at_most_one_live_attempt},
    )


def check(variant=""):
    """Return the result for one variant, with a counterexample if it fails."""
    found = check_safety(protocol(variant), max_states=400_000)
    return found["properties"]["at_most_one_live_attempt"]


def main():
    """Print the result and any counterexample for each variant."""
    for variant in VARIANTS:
        found = check(variant)
        print(variant or "as designed", "holds" if found["holds"] else "fails")
        for step in found.get("counterexample") or ():
            print("   ", step["label"])


if __name__ == "__main__":
    main()
