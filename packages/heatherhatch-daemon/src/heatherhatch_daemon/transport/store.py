"""The platform's store: the narrow interface that the system needs."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Entry:
    """One key of the store.

    Attributes:
        key: Name.
        value: Content.
        revision: Store revision of the last write.
        lease: Lease that the key dies with, 0 if none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a range read saw.

    Attributes:
        revision: Store revision of the read.
        entries: Entries in the order of their keys.
    """

    revision: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Expect:
    """A condition of a transaction.

    Attributes:
        key: Key to look at.
        revision: Revision that the key must have; 0 if it must not exist.
    """

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    Attributes:
        key: Key to write.
        value: New content.
        lease: Lease that the key dies with, 0 if none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that happen together if every condition holds.

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
    """The answer to a transaction.

    Attributes:
        succeeded: True if the conditions held and the writes happened.
        revision: Store revision after the call; 0 if it was not told.
        entries: If a condition failed, the keys of the conditions that exist,
            where the store tells them.
    """

    succeeded: bool
    revision: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change seen by a watch.

    Attributes:
        entry: The entry after the change; its value is empty if deleted.
        deleted: True if the key is gone.
    """

    entry: Entry
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """What one poll of a prefix saw.

    Attributes:
        revision: Store revision to go on from.
        events: Changes in their order.
    """

    revision: int
    events: tuple[WatchEvent, ...]


class PolledStore(Protocol):
    """What pools, claims and feeds need of a store that is polled for changes.

    Every method raises `StoreError` if the store gives no answer.
    """

    def get(self, key: str) -> Entry | None:
        """Return one entry, or None."""

    def range(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""

    def transact(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction."""

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it is gone."""

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def poll(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first.

        Raises:
            RevisionCompactedError: If the store doesn't hold them any more.
        """

    def answers(self) -> bool:
        """Tell whether the store answers a cheap read now; never raises."""

    def cut(self, waited_s: float) -> int:
        """Let calls that have waited for so long fail; return how many."""


class Store(Protocol):
    """What the system needs of the platform's store.

    Every method raises `StoreError` if the store gives no answer.
    """

    def get(self, key: str) -> Entry | None:
        """Return one entry, or None."""

    def range(self, prefix: str, start: str = "", limit: int = 0) -> Snapshot:
        """Return the entries under a prefix, from a key on."""

    def transact(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction."""

    def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it is gone."""

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on, until it breaks."""


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
