"""Configuration log in the store: reads, appends and compaction."""

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
# These keys sort after all positions, so that one range read returns the log head
# and the members as of the same revision.
BASE_KEY = "config/~base"
LIVE_PREFIX = "config/~live/"
MEMBER_PREFIX = "config/~member/"
SNAPSHOT_KEY = "config-snapshot"
AUDIT_PREFIX = "audit/"
COMPACT_CHANGES = 100
COMPACT_ABOVE = 200
MAX_VALUE_BYTES = 1_000_000


def config_key(seq: int) -> str:
    """Return the store key of a position in the log."""
    return f"{CONFIG_PREFIX}{seq:012d}"


def audit_key(seq: int) -> str:
    """Return the store key of the audit part that ends at a log position."""
    return f"{AUDIT_PREFIX}{seq:012d}"


@dataclass(frozen=True, slots=True)
class LogBase:
    """Start of the log in the store.

    Attributes:
        seq: Last compacted position, 0 if none.
        revision: Store revision of the base key, 0 if there is none.
    """

    seq: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LogTail:
    """Result of a read of the log.

    Attributes:
        revision: Store revision of the read.
        base: Start of the log.
        changes: Changes after the requested position.
        members: Entries of the registry's member keys.
        live: Entries of the registry's live keys.
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
        """Return the changes after a position and the base, as of one revision."""
        found = self.store.range(CONFIG_PREFIX, config_key(seq + 1))
        entries = found.entries
        base = next((_base_of(item) for item in entries if item.key == BASE_KEY), None)
        return LogTail(
            found.revision,
            base or LogBase(),
            tuple(decode_json(item.value, Change) for item in _change_entries(entries)),
            tuple(item for item in entries if item.key.startswith(MEMBER_PREFIX)),
            tuple(item for item in entries if item.key.startswith(LIVE_PREFIX)),
        )

    def read_snapshot(self) -> ChangeLog:
        """Return the snapshot: the log applied up to a compacted position or later."""
        entry = self.store.get(SNAPSHOT_KEY)
        return unpack_log(entry.value) if entry else ChangeLog()

    def append(
        self, change: Change, base: LogBase, conditions: tuple[Expect, ...]
    ) -> bool:
        """Write the next change; return False if another one came first.

        A write that is delayed past a compaction must not restore a compacted
        position, so the base must be unchanged since it was read.

        Args:
            change: Next entry of the log.
            base: Base as of the read that the change is based on.
            conditions: Further conditions of the transaction.
        """
        key = config_key(change.seq)
        expects = (Expect(key, 0), Expect(BASE_KEY, base.revision), *conditions)
        puts = (Put(key, encode_json(change)),)
        return self.store.transact(Transaction(expects, puts)).succeeded

    def compact(self, log: ChangeLog, base: LogBase) -> bool:
        """Move the oldest changes to the audit trail; return False on a conflict.

        Snapshot, audit part, base and deletions are written in one transaction, so
        that a reader sees all of them or none.

        Args:
            log: Applied log that includes the changes to be moved.
            base: Base as of the latest read.
        """
        found = self.store.range(CONFIG_PREFIX, config_key(base.seq + 1))
        entries = _change_entries(found.entries)[:COMPACT_CHANGES]
        changes = tuple(decode_json(item.value, Change) for item in entries)
        data = pack_changes(changes)
        while len(data) > MAX_VALUE_BYTES and len(changes) > 1:
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
        """Return every accepted change in order, including the compacted ones."""
        # The log is read first, so that a change that is compacted between the two
        # reads is found twice and not missed.
        tail = self.read_after(0).changes
        parts = self.store.range(AUDIT_PREFIX).entries
        found = {
            item.seq: item for part in parts for item in unpack_changes(part.value)
        }
        found |= {item.seq: item for item in tail}
        return tuple(found[seq] for seq in sorted(found))


def _change_entries(entries: tuple[Entry, ...]) -> list[Entry]:
    return [item for item in entries if item.key < BASE_KEY]


def _base_of(entry: Entry) -> LogBase:
    return LogBase(decode_msgpack(entry.value, int), entry.revision)
