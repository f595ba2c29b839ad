"""Interface to the platform's key-value store."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from gevent import Greenlet


@dataclass(frozen=True, slots=True)
class Entry:
    """A key of the store with its value.

    Attributes:
        key: Name of the key.
        value: Value of the key.
        revision: Store revision of the last write.
        lease: Id of the lease whose end deletes the key, 0 if none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The result of a range read.

    Attributes:
        revision: Store revision at which the range was read.
        entries: Entries in the order of their keys.
    """

    revision: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Expect:
    """A condition of a transaction.

    Attributes:
        key: Key to check.
        revision: Revision that the key must have; 0 if it must not exist.
    """

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    Attributes:
        key: Key to write.
        value: New value.
        lease: Id of the lease whose end deletes the key, 0 if none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds.

    Attributes:
        expects: Conditions.
        puts: Keys to write.
        deletes: Keys to delete.
    """

    expects: tuple[Expect, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a transaction.

    Attributes:
        succeeded: True if the conditions held and the writes were applied.
        revision: Store revision after the call; 0 if the store did not report it.
        entries: If a condition failed, the current entries of those keys of the
            conditions that exist; empty if the store does not report them.
    """

    succeeded: bool
    revision: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a key, as a watch or poll reports it.

    Attributes:
        entry: The entry after the change; its value is empty if deleted.
        deleted: True if the key was deleted.
    """

    entry: Entry
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """The result of one poll of a prefix.

    Attributes:
        revision: Store revision from which the next poll continues.
        events: Changes in the order of their revisions.
    """

    revision: int
    events: tuple[WatchEvent, ...]


@dataclass(frozen=True, slots=True)
class PendingCalls:
    """The calls to the store that wait for an answer, polls excluded.

    Attributes:
        number: How many there are.
        oldest_s: How long the oldest has waited, seconds; 0 if there is none.
    """

    number: int = 0
    oldest_s: float = 0.0


class PolledStore(Protocol):
    """Interface of a store that is polled for changes, for pools, claims and feeds.

    Methods raise `StoreError` if the store does not respond, unless noted otherwise.
    """

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if the key does not exist."""

    def range(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""

    def transact(self, transaction: Transaction) -> Outcome:
        """Apply a transaction if its conditions hold."""

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it does not exist any more."""

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def poll(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; wait until there is one.

        Returns no change if none comes within ``wait_s`` seconds.

        Raises:
            RevisionCompactedError: If the store has compacted these changes.
        """

    def is_available(self) -> bool:
        """Return whether the store responds to a small read now; never raises."""

    def is_receiving(self, prefix: str) -> bool:
        """Return whether a large change under a prefix is being received."""

    def abort_overdue(self, waited_s: float) -> int:
        """Abort calls that have waited ``waited_s`` or longer; return their number."""

    def pending(self) -> PendingCalls:
        """Return the calls that wait for an answer."""


class HedgeableStore(PolledStore, Protocol):
    """Interface of a polled store that shows how far its calls have come."""

    def is_answering(self, greenlet: Greenlet) -> bool:
        """Return whether a greenlet's call has received a part of its answer."""

    def is_transferring(self) -> bool:
        """Return whether a large answer to any call is being received."""


class Store(Protocol):
    """Interface of the platform's store.

    Every method raises `StoreError` if the store does not respond.
    """

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if the key does not exist."""

    def range(self, prefix: str, start: str = "", limit: int = 0) -> Snapshot:
        """Return the entries under a prefix, from the key ``start`` on."""

    def transact(self, transaction: Transaction) -> Outcome:
        """Apply a transaction if its conditions hold."""

    def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it does not exist any more."""

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on, until the watch fails."""


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
