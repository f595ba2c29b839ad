"""Follower of the configuration log: applies changes and appends to the log."""

from collections import deque
from collections.abc import Callable

from gevent.lock import RLock

from heatherhatch_core.coordination.standing import (
    Confirmed,
    PositionStatus,
    Standing,
    advance,
    position_status,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.changes import Change, Edit, check_edit, replaced_entities
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.log import ChangeLog

from ..events import Event, log
from ..transport.store import Expect, Store
from .log_store import COMPACT_ABOVE, CONFIG_PREFIX, LogBase, LogStore, LogTail
from .task import Task

__all__ = ["CONFIG_PREFIX", "Follower"]

APPEND_ATTEMPTS = 20
ACCEPT_WAIT_PERIODS = 1.5
READ_ATTEMPTS = 5
READ_PAUSE_S = 0.05
ACCEPT_POLL_S = 0.05
# Fractions of the standing period after which a node reads the store itself. They
# differ by rank, so that most nodes get the confirmation from the first reader.
READ_AFTER_FRACTION = 0.3
READ_RANK_FRACTION = 0.02
MAX_READ_RANK = 8
STEPS_PER_PERIOD = 10
MAX_SEEN_POSITIONS = 256


class Follower(Task):
    """Applies the log in order, appends to it and tracks this node's standing.

    Args:
        store: The platform's store.
        standing: Initial standing, which sets the period and has no evidence.
        clock: Returns monotonic seconds.
        wall_clock: Returns seconds since the epoch.

    Attributes:
        log: The log as known to this node.
        standing: Evidence that the known log is the latest.
        base: Start of the log in the store, as of the latest read.
        seen: Log positions and when this node first had them, monotonic
            seconds.
        registration: Transaction condition that this node is registered, None
            if it is not.
        admitted_s: When every member had this node in its view, monotonic
            seconds; plus infinity until then.
        leaving: True once the node is shutting down and accepts no more changes.
        rank: Position of this node in the order of names, starting at 0.
        members: Number of nodes in this node's view, including itself.
        store_up: False from a failed read until the next successful one.
        appending: Lock that allows one append at a time.
        on_read: Called with each read of the log and when it was sent, before
            the read counts as evidence.
        on_accept: Called after this node accepted a change.
    """

    def __init__(
        self,
        store: Store,
        standing: Standing,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        super().__init__("follower", standing.period_s / STEPS_PER_PERIOD, clock)
        self.store = store
        self.log_store = LogStore(store)
        self.standing = standing
        self.wall_clock = wall_clock
        self.log = ChangeLog()
        self.base = LogBase()
        self.seen: deque[tuple[int, float]] = deque(maxlen=MAX_SEEN_POSITIONS)
        self.registration: Expect | None = None
        self.admitted_s = float("inf")
        self.leaving = False
        self.rank = 0
        self.members = 1
        self.store_up = True
        self.had_standing = False
        self.appending = RLock()
        self.on_read: Callable[[LogTail, float], None] = lambda _tail, _sent_s: None
        self.on_accept: Callable[[], None] = lambda: None

    @property
    def config(self) -> Configuration:
        """Configuration in force here."""
        return self.log.config

    def step(self) -> None:
        """Read the log head from the store if the evidence is old."""
        self._report_standing()
        fraction = READ_AFTER_FRACTION + READ_RANK_FRACTION * min(
            self.rank, MAX_READ_RANK
        )
        if self.standing.age_s(self.clock()) < self.standing.period_s * fraction:
            return
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
        self._compact()

    def refresh(self) -> None:
        """Read the log from the next position on and confirm its head."""
        sent_s = self.clock()
        tail = self.log_store.read_after(self.log.seq)
        while tail.base.seq > self.log.seq:
            # The next changes have been compacted in the meantime.
            self.replace(self.log_store.read_snapshot())
            sent_s = self.clock()
            tail = self.log_store.read_after(self.log.seq)
        self.base = tail.base
        for change in tail.changes:
            self.apply(change)
        # A node that was removed from the registry must notice that before the
        # read counts as evidence.
        self.on_read(tail, sent_s)
        self.advance(Confirmed(sent_s))

    def apply(self, change: Change) -> None:
        """Apply the next change; changes already applied are ignored."""
        if change.seq <= self.log.seq:
            return
        self.log = self.log.apply(change)
        self._record_seen()
        log(Event.CHANGE_APPLIED, seq=change.seq)

    def replace(self, newer: ChangeLog) -> None:
        """Replace the log by a newer one; a log that is not newer is ignored."""
        if newer.seq <= self.log.seq:
            return
        self.log = newer
        self._record_seen()
        log(Event.CHANGE_APPLIED, seq=newer.seq)

    def advance(self, event: object) -> None:
        """Update the standing with an event."""
        self.standing = advance(event, self.standing, self.clock())

    def has_standing(self) -> bool:
        """Return whether this node may act on its configuration now."""
        return self.standing.may_act(self.clock(), self.log.seq)

    def store_lost_everywhere(self) -> bool:
        """Return whether no member can reach the store now."""
        return self.standing.store_lost_everywhere(self.clock(), self.log.seq)

    def may_accept(self) -> bool:
        """Return whether this node may accept changes and reclaim expired entries."""
        if self.registration is None or self.leaving:
            return False
        # Before the first change no configuration can be out of date.
        if self.log.seq == 0:
            return True
        return self.admitted and self.standing.may_accept_changes(self.clock())

    @property
    def admitted(self) -> bool:
        """True if every member has this node in its view."""
        return self.admitted_s <= self.clock()

    def in_force(self, seq: int) -> PositionStatus:
        """Return on which nodes a log position is in force now."""
        now = self.clock()
        seen = max(self._seen_s(seq), self.admitted_s)
        return position_status(self.standing, seq, seen, now)

    def append(
        self, change_id: str, actor: str, reason: str, edit: Edit, base_seq: int = -1
    ) -> int:
        """Accept a change and return its position in the log.

        If the log already contains the change id, its position is returned.

        Args:
            change_id: Idempotency key of the change.
            actor: Author of the change.
            reason: Reason for the change.
            edit: Entities to set and remove.
            base_seq: Position that the log must have, -1 for any.

        Raises:
            HeatherhatchError: If the change is not valid, if every attempt
                conflicted with another change, or if the outcome is unknown.
        """
        with self.appending:
            writer = _Append(self, change_id, actor, reason, edit, base_seq)
            return writer.run()

    def await_acceptance(self) -> None:
        """Wait until this node may accept changes.

        Raises:
            HeatherhatchError: ``STORE_UNAVAILABLE`` on timeout.
        """
        deadline = self.clock() + self.standing.period_s * ACCEPT_WAIT_PERIODS
        while not self.may_accept():
            if self.clock() >= deadline:
                detail = "this node may not accept changes yet; try another node"
                raise HeatherhatchError(ErrorKind.STORE_UNAVAILABLE, detail)
            self.stopping.wait(ACCEPT_POLL_S)

    def _seen_s(self, seq):
        if seq > self.log.seq:
            return float("inf")
        times = [at for position, at in self.seen if position >= seq]
        return min(times, default=float("inf"))

    def _record_seen(self):
        self.seen.append((self.log.seq, self.clock()))

    def _compact(self):
        uncompacted = self.log.seq - self.base.seq
        if uncompacted <= COMPACT_ABOVE + self.rank or not self.may_accept():
            return
        self.log_store.compact(self.log, self.base)

    def _report_standing(self):
        standing = self.has_standing()
        if standing != self.had_standing:
            log(Event.STANDING_BACK if standing else Event.STANDING_LOST)
        self.had_standing = standing


class _Append:
    """One append of a change to the log, with its retries."""

    def __init__(self, follower, change_id, actor, reason, edit, base_seq):
        self.follower = follower
        self.change_id = change_id
        self.actor = actor
        self.reason = reason
        self.edit = edit
        self.base_seq = base_seq
        # Position of a write whose response was lost, 0 if there is none.
        self.unsettled_seq = 0

    def run(self) -> int:
        """Append the change and return its position in the log."""
        try:
            return self._run()
        except HeatherhatchError as error:
            if not self.unsettled_seq or error.kind is ErrorKind.KEY_REUSED:
                raise
            raise HeatherhatchError(ErrorKind.CHANGE_UNKNOWN, str(error)) from error

    def _run(self):
        follower = self.follower
        for _ in range(APPEND_ATTEMPTS):
            follower.await_acceptance()
            self._refresh()
            seq = follower.log.accepted_seq(self.change_id, self.edit)
            if seq:
                return seq
            if not follower.may_accept():
                continue
            if follower.log.seq >= self.unsettled_seq:
                # Another change has the position of the write whose response
                # was lost, so that write did not take effect.
                self.unsettled_seq = 0
            if self.base_seq not in (-1, follower.log.seq):
                detail = f"position {self.base_seq} is not the log head"
                raise HeatherhatchError(ErrorKind.CONFLICT, detail)
            check_edit(follower.config, self.edit)
            seq = follower.log.seq + 1
            if self._write(seq):
                return seq
        raise HeatherhatchError(ErrorKind.CONFLICT, "other changes always came first")

    def _refresh(self):
        # A read has no effect, so it can be retried after any store error.
        for _ in range(READ_ATTEMPTS - 1):
            try:
                return self.follower.refresh()
            except StoreError:
                self.follower.stopping.wait(READ_PAUSE_S)
        return self.follower.refresh()

    def _write(self, seq):
        follower = self.follower
        registration = follower.registration
        if registration is None:
            return False
        base = follower.base
        change = Change(
            seq,
            self.change_id,
            self.actor,
            self.reason,
            follower.wall_clock(),
            self.edit,
            replaced_entities(follower.config, self.edit),
        )
        try:
            written = follower.log_store.append(change, base, (registration,))
        except StoreError as error:
            if error.maybe_applied:
                self.unsettled_seq = seq
                return False
            raise
        if written:
            follower.apply(change)
            log(Event.CHANGE_ACCEPTED, seq=seq, actor=self.actor)
            follower.on_accept()
        return written
