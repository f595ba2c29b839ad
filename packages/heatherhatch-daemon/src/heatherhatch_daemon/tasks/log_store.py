"""The configuration log in the store: reading, appending, compaction."""

from dataclasses import dataclass

from heatherhatch_core.codec import (
    decode_json,
    decode_msgpack,
    encode_json,
    encode_msgpack,
)
from heatherhatch_core.state.changes import Change
from heatherhatch_core.state.log import (
    ChangeLog,
    pack_changes,
    pack_log,
    unpack_changes,
    unpack_log,
)

from ..transport.store import Entry, Expect, Put, Store, Transaction

CONFIG_PREFIX = "config/"
# These sort after all positions: one range read sees the head of the log and
# who is a member, as of the same moment.
BASE_KEY = "config/~base"
LIVE_PREFIX = "config/~live/"
MEMBER_PREFIX = "config/~member/"
SNAPSHOT_KEY = "config-snapshot"
AUDIT_PREFIX = "audit/"
COMPACT_CHANGES = 100
COMPACT_ABOVE = 200
VALUE_BYTES = 1_000_000


def config_key(seq: int) -> str:
    """Return the store key of a position in the log."""
    return f"{CONFIG_PREFIX}{seq:012d}"


def audit_key(seq: int) -> str:
    """Return the store key of the part of the audit trail that ends at a position."""
    return f"{AUDIT_PREFIX}{seq:012d}"


@dataclass(frozen=True, slots=True)
class LogBase:
    """Where the log in the store begins.

    Attributes:
        seq: Last position that was compacted, 0 if none was.
        revision: Store revision of the base key, 0 if there is none.
    """

    seq: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LogTail:
    """What a read of the log saw.

    Attributes:
        revision: Store revision of the read.
        base: Where the log begins.
        changes: Changes after the position that was asked for.
        members: Member keys of the registry.
        live: Live keys of the registry.
    """

    revision: int
    base: LogBase
    changes: tuple[Change, ...]
    members: tuple[Entry, ...]
    live: tuple[Entry, ...]


class LogStore:
    """Reads and writes the log through the platform's store.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store):
        self.store = store

    def read_after(self, seq: int) -> LogTail:
        """Return the changes after a position and the base, as of one moment."""
        found = self.store.range(CONFIG_PREFIX, config_key(seq + 1))
        entries = found.entries
        base = next((_base_of(item) for item in entries if item.key == BASE_KEY), None)
        return LogTail(
            found.revision,
            base or LogBase(),
            tuple(decode_json(item.value, Change) for item in _positions(entries)),
            tuple(item for item in entries if item.key.startswith(MEMBER_PREFIX)),
            tuple(item for item in entries if item.key.startswith(LIVE_PREFIX)),
        )

    def read_snapshot(self) -> ChangeLog:
        """Return the fold that stands for the compacted part."""
        entry = self.store.get(SNAPSHOT_KEY)
        return unpack_log(entry.value) if entry else ChangeLog()

    def append(self, change: Change, base: LogBase, fences: tuple[Expect, ...]) -> bool:
        """Write the next change; return False if another one came first.

        A write that is delayed past a compaction must not bring back a position
        that was compacted, so the base has to be the one that was read.

        Args:
            change: Next entry of the log.
            base: Base of the read that the change follows.
            fences: Further conditions.
        """
        key = config_key(change.seq)
        expects = (Expect(key, 0), Expect(BASE_KEY, base.revision), *fences)
        puts = (Put(key, encode_json(change)),)
        return self.store.transact(Transaction(expects, puts)).succeeded

    def compact(self, log: ChangeLog, base: LogBase) -> bool:
        """Move the oldest changes to the audit trail; return False if raced.

        Snapshot, audit part, base and deletions are one transaction: a reader
        sees the log with all of them or with none.

        Args:
            log: Fold that covers what is moved.
            base: Base of the latest read.
        """
        found = self.store.range(CONFIG_PREFIX, config_key(base.seq + 1))
        entries = _positions(found.entries)[:COMPACT_CHANGES]
        changes = tuple(decode_json(item.value, Change) for item in entries)
        data = pack_changes(changes)
        while len(data) > VALUE_BYTES and len(changes) > 1:
            changes = changes[: len(changes) // 2]
            data = pack_changes(changes)
        if not changes or changes[-1].seq > log.seq:
            return False
        last = changes[-1].seq
        transaction = Transaction(
            expects=(Expect(BASE_KEY, base.revision),),
            puts=(
                Put(audit_key(last), data),
                Put(SNAPSHOT_KEY, pack_log(log)),
                Put(BASE_KEY, encode_msgpack(last)),
            ),
            deletes=tuple(item.key for item in entries[: len(changes)]),
        )
        return self.store.transact(transaction).succeeded

    def audit(self) -> tuple[Change, ...]:
        """Return every accepted change in order, the compacted ones included."""
        # The log goes first: what moves between the two reads is seen twice
        # and not missed.
        tail = self.read_after(0).changes
        parts = self.store.range(AUDIT_PREFIX).entries
        found = {
            item.seq: item for part in parts for item in unpack_changes(part.value)
        }
        found |= {item.seq: item for item in tail}
        return tuple(found[seq] for seq in sorted(found))


def _positions(entries: tuple[Entry, ...]) -> list[Entry]:
    return [item for item in entries if item.key < BASE_KEY]


def _base_of(entry: Entry) -> LogBase:
    return LogBase(decode_msgpack(entry.value, int), entry.revision)
