"""Specification of the start of long jobs: at most one live attempt.

One job, two dispatchers A and B, two workers V and W, time in ticks. The job's
record holds the attempt number and is changed by compare-and-swap under the
claim. A dispatcher acts only while it holds the claim by its own clock; the store
gives the claim away later than that. Any message may be delayed without bound,
which also stands for a dispatcher that is paused right before it sends.

Run this file to print what goes wrong without each rule.
"""

from minicheck import Protocol, check_safety

CLAIM = 2
LEASE = 4
HORIZON = 7
ATTEMPTS_MAX = 3
VARIANTS = ("", "counts-from-arrival", "claim-only", "no-fence", "no-attempt")

FIELDS = (
    "now",  # time in ticks
    "owner",  # dispatcher that the store names as holder of the claim
    "renewed",  # when the claim was last renewed
    "attempt",  # attempt number in the job's record, 0 if it never started
    "where",  # worker of that attempt, empty if the job waits
    "ends",  # when the attempt's lease is over, as the holder knows
    "orders",  # orders under way: (attempt, worker, end of the lease)
    "answers",  # answers to a stop under way: (attempt, worker)
    "fences",  # stops that reached a worker: (attempt, worker)
    "running",  # running tasks: (attempt, worker, end of the lease)
)
NONE = frozenset()
INITIAL = dict(zip(FIELDS, (0, "A", 0, 0, "", 0, NONE, NONE, NONE, NONE), strict=True))


def transitions(state, variant):
    """Yield what can happen next, with a label."""
    now, owner = state["now"], state["owner"]
    if now < HORIZON:
        # Workers end their tasks by themselves as time passes.
        left = frozenset(task for task in state["running"] if task[2] > now + 1)
        after = {"now": now + 1, "running": left}
        if variant != "counts-from-arrival":
            # A late order starts nothing, so that it need not be kept.
            after["orders"] = frozenset(
                order for order in state["orders"] if order[2] > now + 1
            )
        yield "tick", after
    holds = now < state["renewed"] + CLAIM
    if holds and state["renewed"] < now:
        yield f"{owner} renews its claim", {"renewed": now}
    if now > state["renewed"] + CLAIM:
        other = "B" if owner == "A" else "A"
        # The former holder checked its claim before it lapsed, so that no lease
        # it gave goes further than one lease from now.
        over = now if variant == "claim-only" else now + LEASE
        yield f"{other} claims", {"owner": other, "renewed": now, "ends": over}
    if holds:
        yield from _decisions(state, variant)
    for order in sorted(state["orders"]):
        yield _arrival(state, order, variant)


def _decisions(state, variant):
    now, owner, attempt = state["now"], state["owner"], state["attempt"]
    where = state["where"]
    if not where and attempt < ATTEMPTS_MAX:
        # The workers are alike: the first start is on V.
        for worker in ("V", "W") if attempt else ("V",):
            order = (attempt + 1, worker, now + LEASE)
            yield (
                f"{owner} starts on {worker}",
                {
                    "attempt": attempt + 1,
                    "where": worker,
                    "ends": now + LEASE,
                    "orders": state["orders"] | {order},
                },
            )
    if where and now >= state["ends"]:
        yield f"{owner} requeues: the lease is over", {"where": ""}
    if where and (attempt, where) not in state["fences"]:
        yield f"{owner} stops {attempt} on {where}", _stopped(state, variant)
    for number, worker in sorted(state["answers"]):
        if worker == where and (number == attempt or variant == "no-attempt"):
            yield f"{owner} requeues: {number} was stopped", {"where": ""}


def _stopped(state, variant):
    attempt, worker = state["attempt"], state["where"]
    left = frozenset(
        task
        for task in state["running"]
        if task[1] != worker or task[0] > attempt
    )
    fences = state["fences"]
    if variant != "no-fence":
        fences = fences | {(attempt, worker)}
    answers = state["answers"] | {(attempt, worker)}
    return {"running": left, "fences": fences, "answers": answers}


def _arrival(state, order, variant):
    attempt, worker, end = order
    now = state["now"]
    late = end <= now
    if variant == "counts-from-arrival":
        late, end = False, now + LEASE
    # A worker refuses what is not above the attempts that it knows.
    refused = any(
        number >= attempt and at == worker
        for number, at, *_ in (*state["fences"], *state["running"])
    )
    after = {"orders": state["orders"] - {order}}
    if not late and not refused:
        kept = {task for task in state["running"] if task[1] != worker}
        after["running"] = frozenset(kept | {(attempt, worker, end)})
    return f"order {attempt} reaches {worker}", after


def one_live_attempt(state):
    """At most one task of the job runs at any moment."""
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
        invariants={"one_live_attempt": one_live_attempt},
    )


def check(variant=""):
    """Return the verdict on one variant, with a counterexample if it fails."""
    found = check_safety(protocol(variant), max_states=400_000)
    return found["properties"]["one_live_attempt"]


def main():
    """Print each variant's verdict."""
    for variant in VARIANTS:
        found = check(variant)
        print(variant or "as designed", "holds" if found["holds"] else "fails")
        for step in found.get("counterexample") or ():
            print("   ", step["label"])


if __name__ == "__main__":
    main()
