"""Specification of the cancellation of a job that is not known.

The model has one job, whose caller submits it through instance A, leaves, cancels it
through instance B and may submit it again. A send of a submission, and of a
cancellation, is a write on its way to the store; its instance may give it up at any
time, and it arrives later or never. The store carries out a write if its condition
holds. The record of the job is absent, a withdrawal, or the status of the job. A
withdrawal and a final status are removed after their retention time, which is longer
than any write is on its way; what its caller sends after that is a new job. Time passes
in ticks.

Run this file to print a counterexample for each broken variant:
    no-record: the cancellation of an unknown job is acknowledged without a write.
    early-answer: it is acknowledged when the write is sent.
    short-retention: a withdrawal is removed while a submission may be on its way.
    replaced: the owner's submission replaces a withdrawal.
    blind-write: a submission does not expect that the record is absent.
"""

from minicheck import Protocol, check_safety

FLIGHT_TICKS = 2  # longest time that a write is on its way
RETENTION_TICKS = 4
HORIZON_TICKS = 6
MAX_SUBMISSIONS = 3
MAX_STATES = 100_000
VARIANTS = (
    "",
    "no-record",
    "early-answer",
    "short-retention",
    "replaced",
    "blind-write",
)
ABSENT, WITHDRAWN, QUEUED, CANCELLED = "absent", "withdrawn", "queued", "cancelled"

FIELDS = (
    "now",  # time in ticks
    "record",  # record of the job in the store
    "ended_at",  # when the record became a withdrawal or final; -1 before
    "submissions",  # sends of the submission on their way: (number, latest arrival)
    "submitted",  # number of sends so far
    "cancellation",  # latest arrival of the cancellation on its way; -1 if none is
    "acked_at",  # when the cancellation was acknowledged; -1 before
    "started_after_ack",  # True once the job started after that
)
INITIAL = dict(zip(FIELDS, (0, ABSENT, -1, frozenset(), 0, -1, -1, False), strict=True))


def transitions(state, variant):
    """Yield the possible next steps: a label and the changed fields."""
    now, record = state["now"], state["record"]
    if now < HORIZON_TICKS:
        # A send that has not arrived in time is lost.
        on_way = frozenset(send for send in state["submissions"] if send[1] > now)
        cancellation = state["cancellation"]
        cancellation = cancellation if cancellation > now else -1
        yield (
            "tick",
            {"now": now + 1, "submissions": on_way, "cancellation": cancellation},
        )
    if state["submitted"] < MAX_SUBMISSIONS and _is_same_job(state):
        number = state["submitted"] + 1
        sends = state["submissions"] | {(number, now + FLIGHT_TICKS)}
        yield "the submission is sent", {"submissions": sends, "submitted": number}
    for send in sorted(state["submissions"]):
        yield _deliver_submission(state, send, variant)
    if state["acked_at"] < 0:
        yield from _cancellation(state, variant)
    if record in (WITHDRAWN, CANCELLED) and _may_be_swept(state, variant):
        yield "the record is removed", {"record": ABSENT}
    if record == QUEUED:
        after = {"record": CANCELLED, "ended_at": now}
        if state["acked_at"] >= 0:
            after["started_after_ack"] = True
        yield "the job starts and ends", after


def _is_same_job(state):
    """Return whether a submission that is sent now arrives before a removal."""
    removed_at = state["ended_at"] + RETENTION_TICKS
    return state["ended_at"] < 0 or state["now"] + FLIGHT_TICKS < removed_at


def _may_be_swept(state, variant):
    retention = 1 if variant == "short-retention" else RETENTION_TICKS
    ended = state["record"] in (WITHDRAWN, CANCELLED)
    return ended and state["now"] >= state["ended_at"] + retention


def _deliver_submission(state, send, variant):
    after = {"submissions": state["submissions"] - {send}}
    record = state["record"]
    replaceable = (ABSENT, WITHDRAWN) if variant == "replaced" else (ABSENT,)
    if record in replaceable or variant == "blind-write":
        after["record"] = QUEUED
    elif record == WITHDRAWN:
        after["record"] = CANCELLED
    return f"submission {send[0]} arrives", after


def _cancellation(state, variant):
    now, record = state["now"], state["record"]
    if record == QUEUED:
        # The cancellation of a known job is a record of its own, which its holder reads
        # before it starts anything.
        ended = {"record": CANCELLED, "ended_at": now, "acked_at": now}
        yield "the known job is cancelled", ended
    elif record in (WITHDRAWN, CANCELLED):
        yield "the cancellation is known", {"acked_at": now}
    elif variant == "no-record":
        yield "the unknown job is reported as gone", {"acked_at": now}
    elif state["cancellation"] < 0:
        sent = {"cancellation": now + FLIGHT_TICKS}
        if variant == "early-answer":
            sent["acked_at"] = now
        yield "the cancellation is sent", sent
    else:
        stored = {"record": WITHDRAWN, "ended_at": now, "acked_at": now}
        yield "the cancellation arrives", {**stored, "cancellation": -1}


def no_start_after_ack(state):
    """Return whether nothing started after the cancellation was acknowledged."""
    return not state["started_after_ack"]


def protocol(variant=""):
    """Return the protocol, or a variant of it without one rule."""

    def steps(values):
        state = dict(zip(FIELDS, values, strict=True))
        return [
            (label, tuple({**state, **after}.values()))
            for label, after in transitions(state, variant)
        ]

    return Protocol(
        name=f"cancel {variant}".strip(),
        candidate=False,
        fields=FIELDS,
        initial=tuple(INITIAL.values()),
        transitions=steps,
        invariants={"no_start_after_ack": no_start_after_ack},
    )


def check(variant=""):
    """Return the result for one variant, with a counterexample if it fails."""
    found = check_safety(protocol(variant), max_states=MAX_STATES)
    return found["properties"]["no_start_after_ack"]


def main():
    """Print the result and any counterexample for each variant."""
    for variant in VARIANTS:
        found = check(variant)
        print(variant or "as designed", "holds" if found["holds"] else "fails")
        for step in found.get("counterexample") or ():
            print("   ", step["label"])


if __name__ == "__main__":
    main()
