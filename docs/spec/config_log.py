"""Specification of the configuration log: appends, lost responses, compaction, reads.

Two writers append one change each; the second one also receives the first change,
sent again. A write may take effect at any time after it was sent, even after its
writer has stopped waiting. A compaction moves the oldest position to the audit trail.
A reader starts without state, reads the snapshot and the log in separate calls, and
applies what it has read.

Invariants:
    no_duplicates: no change is at two positions.
    no_gaps: the audit trail and the log together are the history, without gaps.
    reader_prefix: the changes that the reader has applied are a prefix of the history.
    acknowledged_position: a change is at the position that was returned to its client.

Broken variants, each of which violates the invariant given in BROKEN_VARIANTS:
    gap_ignored: the reader applies the next entry that it finds, at any position.
    no_read_before_retry: after a lost response a writer appends again without reading.
    no_base_check: a write is not conditional on the base that its writer has read.
    no_audit: a compaction deletes a position before it is in the audit trail.
    no_id_lookup: a change id that is sent again is not looked up.

Larger bounds by argument: writers conflict only on the key of the next position and on
the base, and the write itself compares both, so a third writer adds no new race. A
compaction of several positions is equivalent to several compactions of one position,
observed together.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

BROKEN_VARIANTS = {
    "gap_ignored": "reader_prefix",
    "no_read_before_retry": "no_duplicates",
    "no_base_check": "no_gaps",
    "no_audit": "no_gaps",
    "no_id_lookup": "no_duplicates",
}
MAX_STATES = 2_000_000
MAX_SEQ = 3
MAX_WRITES_IN_FLIGHT = 2
# Change ids by writer, in the order in which clients request them.
REQUESTED_CHANGES = (("x",), ("y", "x"))


class Write(NamedTuple):
    """A write in flight to the store.

    Attributes:
        seq: Position that must not exist yet.
        change: Change id.
        base: Base that the store must still have.
    """

    seq: int
    change: str
    base: int


class Writer(NamedTuple):
    """One node that appends.

    Attributes:
        next_index: Index of its next change in ``REQUESTED_CHANGES``; the changes
            before it were acknowledged.
        last_read: Position and base of its latest read, None if it has to read.
        awaiting_response: True if it waits for the response to a write.
    """

    next_index: int = 0
    last_read: tuple | None = None
    awaiting_response: bool = False


class State(NamedTuple):
    """One state of the system.

    Attributes:
        log: Positions and change ids in the log, ordered.
        base: Last compacted position.
        audit: Positions and change ids in the audit trail, ordered.
        in_flight: Writes in flight, by writer.
        writers: States of the writers.
        applied: Change ids that the reader has applied.
        acknowledged: Change ids and positions that were returned to clients.
        history: Change ids in the order in which they were accepted.
    """

    log: tuple = ()
    base: int = 0
    audit: tuple = ()
    in_flight: tuple = ((), ())
    writers: tuple = (Writer(), Writer())
    applied: tuple = ()
    acknowledged: tuple = ()
    history: tuple = ()


def head(state: State) -> int:
    """Return the last position of the log."""
    return state.log[-1][0] if state.log else state.base


def known_positions(state: State) -> dict:
    """Return the positions by change id, as a read of audit trail and log shows."""
    return {change: seq for seq, change in (*state.audit, *state.log)}


def replace_at(items: tuple, index: int, item: object) -> tuple:
    """Return a copy of a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def writer_steps(state: State, i: int, variant: str) -> list:
    """Return the possible next steps of a writer and its writes in flight."""
    steps = []
    writer = state.writers[i]
    if writer.next_index < len(REQUESTED_CHANGES[i]):
        change = REQUESTED_CHANGES[i][writer.next_index]
        if writer.last_read is None:
            steps.append((f"{i} reads", _read(state, i, change, variant)))
        elif _can_send(state, i):
            write = Write(writer.last_read[0] + 1, change, writer.last_read[1])
            after = writer._replace(awaiting_response=True)
            steps.append(
                (
                    f"{i} sends {change} for {write.seq}",
                    state._replace(
                        in_flight=replace_at(
                            state.in_flight, i, (*state.in_flight[i], write)
                        ),
                        writers=replace_at(state.writers, i, after),
                    ),
                )
            )
        if writer.awaiting_response:
            retrying = writer._replace(last_read=None, awaiting_response=False)
            if variant == "no_read_before_retry":
                retrying = retrying._replace(
                    last_read=(writer.last_read[0] + 1, state.base)
                )
            writers = replace_at(state.writers, i, retrying)
            steps.append((f"{i} times out", state._replace(writers=writers)))
    for j, write in enumerate(state.in_flight[i]):
        steps.append((f"{write} arrives", _deliver_write(state, i, j, variant)))
    return steps


def _can_send(state, i):
    writer = state.writers[i]
    below_limit = len(state.in_flight[i]) < MAX_WRITES_IN_FLIGHT
    return (
        not writer.awaiting_response and below_limit and writer.last_read[0] < MAX_SEQ
    )


def _read(state, i, change, variant):
    writer = state.writers[i]
    seq = known_positions(state).get(change, 0)
    if seq and variant != "no_id_lookup":
        return _acknowledge(state, i, change, seq)
    after = writer._replace(last_read=(head(state), state.base))
    return state._replace(writers=replace_at(state.writers, i, after))


def _acknowledge(state, i, change, seq):
    after = Writer(next_index=state.writers[i].next_index + 1)
    acknowledged = tuple(sorted({*state.acknowledged, (change, seq)}))
    return state._replace(
        writers=replace_at(state.writers, i, after), acknowledged=acknowledged
    )


def _deliver_write(state, i, j, variant):
    write = state.in_flight[i][j]
    remaining = state.in_flight[i][:j] + state.in_flight[i][j + 1 :]
    after = state._replace(in_flight=replace_at(state.in_flight, i, remaining))
    position_free = all(seq != write.seq for seq, _ in state.log)
    accepted = position_free and (
        write.base == state.base or variant == "no_base_check"
    )
    writer = state.writers[i]
    # Unless its response was lost, this is the write that the writer waits for.
    awaited = writer.awaiting_response and j == len(state.in_flight[i]) - 1
    if accepted:
        log = tuple(sorted((*state.log, (write.seq, write.change))))
        history = (*state.history, write.change)
        after = after._replace(log=log, history=history)
        return _acknowledge(after, i, write.change, write.seq) if awaited else after
    if awaited:
        retrying = writer._replace(last_read=None, awaiting_response=False)
        return after._replace(writers=replace_at(state.writers, i, retrying))
    return after


def store_steps(state: State, variant: str) -> list:
    """Return the possible next steps of compaction and of the reader."""
    steps = []
    if len(state.log) > 1:
        first, rest = state.log[0], state.log[1:]
        audit = state.audit
        if variant != "no_audit":
            audit = (*audit, first)
        steps.append(
            ("compaction", state._replace(log=rest, base=first[0], audit=audit))
        )
    steps.append(("the reader polls", _poll_as_reader(state, variant)))
    return steps


def _poll_as_reader(state, variant):
    seq = len(state.applied)
    if state.base > seq and variant != "gap_ignored":
        # The snapshot includes at least all compacted positions.
        return state._replace(applied=state.history[: state.base])
    for position, change in state.log:
        if position > seq:
            return state._replace(applied=(*state.applied, change))
    return state


def model(variant: str = "") -> Protocol:
    """Return the protocol, or one of its broken variants."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        steps = store_steps(state, variant)
        for i in range(len(REQUESTED_CHANGES)):
            steps += writer_steps(state, i, variant)
        return [(label, tuple(after)) for label, after in steps]

    def no_duplicates(fields: dict) -> bool:
        return len(set(fields["history"])) == len(fields["history"])

    def no_gaps(fields: dict) -> bool:
        found = tuple(sorted((*fields["audit"], *fields["log"])))
        return found == tuple(enumerate(fields["history"], 1))

    def reader_prefix(fields: dict) -> bool:
        applied = fields["applied"]
        return applied == fields["history"][: len(applied)]

    def acknowledged_position(fields: dict) -> bool:
        history = fields["history"]
        return all(
            history[seq - 1 : seq] == (change,)
            for change, seq in fields["acknowledged"]
        )

    return Protocol(
        name=f"config log {variant}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "no_duplicates": no_duplicates,
            "no_gaps": no_gaps,
            "reader_prefix": reader_prefix,
            "acknowledged_position": acknowledged_position,
        },
    )


def check(variant: str = "", max_states: int = MAX_STATES) -> dict:
    """Return the result of the model checker."""
    return check_safety(model(variant), max_states=max_states)


def main() -> None:
    """Check the specification and print a counterexample for each broken variant."""
    for name, item in check()["properties"].items():
        print(f"{name}: holds {item['holds']}")
    for variant, invariant in BROKEN_VARIANTS.items():
        found = check(variant)["properties"][invariant]
        print(f"\n{variant} violates {invariant}:")
        for step in found["counterexample"] or ():
            print(f"  {step['label']}")


if __name__ == "__main__":
    main()
