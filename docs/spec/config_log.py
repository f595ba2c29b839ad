"""Specification of the configuration log: append, lost answers, compaction, start.

Two writers append one change each; the second one also gets the first change sent
again. A write may take effect at any time after it was sent, also when its writer
has given up. A compaction moves the oldest position to the audit trail. A reader
starts from nothing, reads the snapshot and the log in separate calls, and applies.

Promises:
    once: no change stands at two positions.
    whole: audit trail and log together are the history, without a hole.
    order: what the reader has applied is the beginning of the history.
    answered: the position that a client was told is where its change stands.

Broken variants, each of which loses the promise of its row:
    hole: the reader takes the next entry that it finds, whatever its position.
    blind: after a lost answer a writer appends again without looking.
    no_base: a write is not bound to the base that its writer has read.
    no_audit: a compaction deletes before the audit trail is written.
    forgetful: a resent change id is not looked up.

Larger bounds by argument: writers meet only at the key of the next position and at
the base, both compared in the write itself, so that a third writer adds no new race;
a compaction of more positions is several of one, seen together.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

BROKEN = {
    "hole": "order",
    "blind": "once",
    "no_base": "whole",
    "no_audit": "whole",
    "forgetful": "once",
}
MAX_STATES = 2_000_000
MAX_SEQ = 3
MAX_WRITES = 2
# Change ids by writer, in the order in which the writer is asked for them.
ASKED = (("x",), ("y", "x"))


class Write(NamedTuple):
    """A write on its way to the store.

    Attributes:
        seq: Position that must not exist yet.
        change: Change id.
        base: Base that must be the same.
    """

    seq: int
    change: str
    base: int


class Writer(NamedTuple):
    """One node that appends.

    Attributes:
        todo: Number of its changes that were answered.
        read: Position and base of its latest read, None if it has to read.
        sent: True if it waits for the answer to a write.
    """

    todo: int = 0
    read: tuple | None = None
    sent: bool = False


class State(NamedTuple):
    """One state of the system.

    Attributes:
        log: Positions and change ids in the log, ordered.
        base: Last compacted position.
        audit: Positions and change ids in the audit trail, ordered.
        writes: Writes on their way, by writer.
        writers: The writers.
        applied: Change ids that the reader has applied.
        told: Change ids and positions that clients were told.
        history: Change ids in the order of their acceptance.
    """

    log: tuple = ()
    base: int = 0
    audit: tuple = ()
    writes: tuple = ((), ())
    writers: tuple = (Writer(), Writer())
    applied: tuple = ()
    told: tuple = ()
    history: tuple = ()


def head(state: State) -> int:
    """Return the last position of the log."""
    return state.log[-1][0] if state.log else state.base


def known(state: State) -> dict:
    """Return the positions by change id that a whole read shows."""
    return {change: seq for seq, change in (*state.audit, *state.log)}


def put(items: tuple, index: int, item: object) -> tuple:
    """Return a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def writer_steps(state: State, i: int, broken: str) -> list:
    """Return what a writer and its writes can do next."""
    steps = []
    writer = state.writers[i]
    if writer.todo < len(ASKED[i]):
        change = ASKED[i][writer.todo]
        if writer.read is None:
            steps.append((f"{i} reads", _read(state, i, change, broken)))
        elif _may_send(state, i):
            write = Write(writer.read[0] + 1, change, writer.read[1])
            after = writer._replace(sent=True)
            steps.append(
                (
                    f"{i} sends {change} for {write.seq}",
                    state._replace(
                        writes=put(state.writes, i, (*state.writes[i], write)),
                        writers=put(state.writers, i, after),
                    ),
                )
            )
        if writer.sent:
            again = writer._replace(read=None, sent=False)
            if broken == "blind":
                again = again._replace(read=(writer.read[0] + 1, state.base))
            writers = put(state.writers, i, again)
            steps.append((f"{i} gives up waiting", state._replace(writers=writers)))
    for j, write in enumerate(state.writes[i]):
        steps.append((f"{write} arrives", _arrive(state, i, j, broken)))
    return steps


def _may_send(state, i):
    writer = state.writers[i]
    room = len(state.writes[i]) < MAX_WRITES
    return not writer.sent and room and writer.read[0] < MAX_SEQ


def _read(state, i, change, broken):
    writer = state.writers[i]
    seq = known(state).get(change, 0)
    if seq and broken != "forgetful":
        return _tell(state, i, change, seq)
    after = writer._replace(read=(head(state), state.base))
    return state._replace(writers=put(state.writers, i, after))


def _tell(state, i, change, seq):
    after = Writer(todo=state.writers[i].todo + 1)
    told = tuple(sorted({*state.told, (change, seq)}))
    return state._replace(writers=put(state.writers, i, after), told=told)


def _arrive(state, i, j, broken):
    write = state.writes[i][j]
    left = state.writes[i][:j] + state.writes[i][j + 1 :]
    after = state._replace(writes=put(state.writes, i, left))
    free = all(seq != write.seq for seq, _ in state.log)
    fits = free and (write.base == state.base or broken == "no_base")
    writer = state.writers[i]
    # Without a lost answer this is the write that the writer waits for.
    waits = writer.sent and j == len(state.writes[i]) - 1
    if fits:
        log = tuple(sorted((*state.log, (write.seq, write.change))))
        history = (*state.history, write.change)
        after = after._replace(log=log, history=history)
        return _tell(after, i, write.change, write.seq) if waits else after
    if waits:
        again = writer._replace(read=None, sent=False)
        return after._replace(writers=put(state.writers, i, again))
    return after


def store_steps(state: State, broken: str) -> list:
    """Return what compaction and the reader can do next."""
    steps = []
    if len(state.log) > 1:
        first, rest = state.log[0], state.log[1:]
        audit = state.audit
        if broken != "no_audit":
            audit = (*audit, first)
        steps.append(
            ("compaction", state._replace(log=rest, base=first[0], audit=audit))
        )
    steps.append(("the reader looks", _look(state, broken)))
    return steps


def _look(state, broken):
    seq = len(state.applied)
    if state.base > seq and broken != "hole":
        # The snapshot covers at least what was compacted.
        return state._replace(applied=state.history[: state.base])
    for position, change in state.log:
        if position > seq:
            return state._replace(applied=(*state.applied, change))
    return state


def model(broken: str = "") -> Protocol:
    """Return the protocol, or a broken variant of it."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        steps = store_steps(state, broken)
        for i in range(len(ASKED)):
            steps += writer_steps(state, i, broken)
        return [(label, tuple(after)) for label, after in steps]

    def once(fields: dict) -> bool:
        return len(set(fields["history"])) == len(fields["history"])

    def whole(fields: dict) -> bool:
        found = tuple(sorted((*fields["audit"], *fields["log"])))
        return found == tuple(enumerate(fields["history"], 1))

    def order(fields: dict) -> bool:
        applied = fields["applied"]
        return applied == fields["history"][: len(applied)]

    def answered(fields: dict) -> bool:
        history = fields["history"]
        return all(
            history[seq - 1 : seq] == (change,) for change, seq in fields["told"]
        )

    return Protocol(
        name=f"config log {broken}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "once": once,
            "whole": whole,
            "order": order,
            "answered": answered,
        },
    )


def check(broken: str = "", max_states: int = MAX_STATES) -> dict:
    """Return the verdict of the checker."""
    return check_safety(model(broken), max_states=max_states)


def main() -> None:
    """Check the specification and print a counterexample for each variant."""
    for name, item in check()["properties"].items():
        print(f"{name}: holds {item['holds']}")
    for broken, promise in BROKEN.items():
        found = check(broken)["properties"][promise]
        print(f"\n{broken} loses {promise}:")
        for step in found["counterexample"] or ():
            print(f"  {step['label']}")


if __name__ == "__main__":
    main()
