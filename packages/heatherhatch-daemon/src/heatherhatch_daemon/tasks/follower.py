"""The follower of the configuration log."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.standing import Standing
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.changes import (
    Change,
    Edit,
    apply_change,
    check_edit,
    replaced_by,
)
from heatherhatch_core.state.configuration import Configuration

from ..events import Event, log
from ..transport.store import Expect, Put, Store, Transaction
from .task import Task

CONFIG_PREFIX = "config/"
APPEND_ATTEMPTS = 20


def config_key(seq: int) -> str:
    """Return the store key of a position in the log."""
    return f"{CONFIG_PREFIX}{seq:012d}"


class Follower(Task):
    """Applies the log in order and appends to it.

    Args:
        store: The platform's store.
        period_s: Seconds between two looks at the log.
        standing: Empty standing with its period.
        clock: Returns monotonic seconds.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        period_s: float,
        standing: Standing,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        super().__init__("follower", period_s, clock)
        self.store = store
        self.standing = standing
        self.wall_clock = wall_clock
        self.config = Configuration()
        self.store_up = True

    def step(self) -> None:
        """Read the log from the next position on and apply it."""
        try:
            self.refresh()
        except StoreError as error:
            if self.store_up:
                log(Event.STORE_LOST, detail=error.detail)
            self.store_up = False
            raise
        if not self.store_up:
            log(Event.STORE_BACK)
        self.store_up = True

    def refresh(self) -> None:
        """Confirm the log head with the store."""
        asked = self.clock()
        snapshot = self.store.range(CONFIG_PREFIX, config_key(self.config.seq + 1))
        for entry in snapshot.entries:
            self.apply(decode_json(entry.value, Change))
        self.standing = self.standing.confirm(asked)

    def apply(self, change: Change) -> None:
        """Apply a change if it is the next one; earlier ones are ignored."""
        if change.seq <= self.config.seq:
            return
        self.config = apply_change(self.config, change)
        log(Event.CHANGE_APPLIED, seq=change.seq)

    def has_standing(self) -> bool:
        """Tell whether this node may act on its configuration."""
        return self.standing.holds(self.clock())

    def append(
        self, change_id: str, actor: str, reason: str, edit: Edit, base_seq: int = -1
    ) -> int:
        """Accept a change and return its position in the log.

        Args:
            change_id: Unique id by which a resend is recognised.
            actor: Who makes the change.
            reason: Why.
            edit: What changes.
            base_seq: Position that the log must still have, -1 for any.

        Raises:
            HeatherhatchError: If the change is not valid, or others always
                came first, or its outcome is not known.
        """
        for _ in range(APPEND_ATTEMPTS):
            self.refresh()
            if base_seq not in (-1, self.config.seq):
                raise HeatherhatchError(ErrorKind.CONFLICT, f"not at {base_seq} now")
            check_edit(self.config, edit)
            seq = self.config.seq + 1
            before = replaced_by(self.config, edit)
            now = self.wall_clock()
            change = Change(seq, change_id, actor, reason, now, edit, before)
            if self._write(change):
                self.apply(change)
                log(Event.CHANGE_ACCEPTED, seq=seq, actor=actor)
                return seq
        raise HeatherhatchError(ErrorKind.CONFLICT, "other changes always came first")

    def _write(self, change: Change) -> bool:
        key = config_key(change.seq)
        transaction = Transaction(
            expects=(Expect(key, 0),), puts=(Put(key, encode_json(change)),)
        )
        try:
            return self.store.transact(transaction).succeeded
        except StoreError as error:
            if not error.maybe_applied:
                raise
        return self._find(change)

    def _find(self, change: Change) -> bool:
        # The answer to the write is lost, so only the log can tell.
        try:
            entry = self.store.get(config_key(change.seq))
        except StoreError as error:
            raise HeatherhatchError(ErrorKind.CHANGE_UNKNOWN, error.detail) from error
        if entry is None:
            return False
        return decode_json(entry.value, Change).change_id == change.change_id
