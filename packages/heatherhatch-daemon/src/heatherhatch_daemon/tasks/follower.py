"""The follower of the configuration log."""

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
# Parts of the standing period after which a node asks the store itself; the
# nodes differ, so that most hear it from the one that asked first.
ASK_PART = 0.3
ASK_RANK_PART = 0.02
ASK_RANKS = 8
LOOKS_PER_PERIOD = 10
SEEN_POSITIONS = 256


class Follower(Task):
    """Applies the log in order, appends to it and keeps this node's standing.

    Args:
        store: The platform's store.
        standing: Empty standing with its period.
        clock: Returns monotonic seconds.
        wall_clock: Returns seconds since the epoch.

    Attributes:
        log: The log as it is known here.
        standing: Evidence that it is the latest.
        registration: Condition that this node is registered, None if it is not.
        admitted_s: When every member had this node in its view.
        leaving: True once the node ends and accepts no change any more.
        rank: Position of this node in the order of names.
        members: Number of nodes in this node's view, itself included.
        on_read: Called with each read and the time of its question, before the
            read counts as evidence.
        on_accept: Called after this node accepted a change.
    """

    def __init__(
        self,
        store: Store,
        standing: Standing,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        super().__init__("follower", standing.period_s / LOOKS_PER_PERIOD, clock)
        self.store = store
        self.log_store = LogStore(store)
        self.standing = standing
        self.wall_clock = wall_clock
        self.log = ChangeLog()
        self.base = LogBase()
        self.seen: deque[tuple[int, float]] = deque(maxlen=SEEN_POSITIONS)
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
        """Ask the store for the log head if the evidence has grown old."""
        self._report_standing()
        part = ASK_PART + ASK_RANK_PART * min(self.rank, ASK_RANKS)
        if self.standing.age_s(self.clock()) < self.standing.period_s * part:
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
        asked = self.clock()
        tail = self.log_store.read_after(self.log.seq)
        while tail.base.seq > self.log.seq:
            # What comes next was compacted meanwhile.
            self.replace(self.log_store.read_snapshot())
            asked = self.clock()
            tail = self.log_store.read_after(self.log.seq)
        self.base = tail.base
        for change in tail.changes:
            self.apply(change)
        # A node that was forgotten must see so before it counts the evidence.
        self.on_read(tail, asked)
        self.advance(Confirmed(asked))

    def apply(self, change: Change) -> None:
        """Apply a change if it is the next one; earlier ones are ignored."""
        if change.seq <= self.log.seq:
            return
        self.log = self.log.apply(change)
        self._note_seen()
        log(Event.CHANGE_APPLIED, seq=change.seq)

    def replace(self, newer: ChangeLog) -> None:
        """Take over a log that goes further than the known one."""
        if newer.seq <= self.log.seq:
            return
        self.log = newer
        self._note_seen()
        log(Event.CHANGE_APPLIED, seq=newer.seq)

    def advance(self, event: object) -> None:
        """Take an event into account for the standing."""
        self.standing = advance(event, self.standing, self.clock())

    def has_standing(self) -> bool:
        """Tell whether this node may act on its configuration, as of now."""
        return self.standing.may_act(self.clock(), self.log.seq)

    def store_lost_everywhere(self) -> bool:
        """Tell whether no member reaches the store, as of now."""
        return self.standing.store_lost_everywhere(self.clock(), self.log.seq)

    def may_accept(self) -> bool:
        """Tell whether this node may accept changes and reclaim what lapsed."""
        if self.registration is None or self.leaving:
            return False
        # Before the first change there is nothing to be out of date with.
        if self.log.seq == 0:
            return True
        return self.admitted and self.standing.may_accept_changes(self.clock())

    @property
    def admitted(self) -> bool:
        """True if every member has this node in its view."""
        return self.admitted_s <= self.clock()

    def in_force(self, seq: int) -> PositionStatus:
        """Tell how far a log position is in force, as of now."""
        now = self.clock()
        seen = max(self._seen_s(seq), self.admitted_s)
        return position_status(self.standing, seq, seen, now)

    def append(
        self, change_id: str, actor: str, reason: str, edit: Edit, base_seq: int = -1
    ) -> int:
        """Accept a change and return its position in the log.

        A change id that is in the log already returns its position.

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
        with self.appending:
            writer = _Append(self, change_id, actor, reason, edit, base_seq)
            return writer.run()

    def await_acceptance(self) -> None:
        """Wait until this node may accept changes.

        Raises:
            HeatherhatchError: ``STORE_UNAVAILABLE`` if it takes too long.
        """
        deadline = self.clock() + self.standing.period_s * ACCEPT_WAIT_PERIODS
        while not self.may_accept():
            if self.clock() >= deadline:
                detail = "this node may not accept changes yet; try another one"
                raise HeatherhatchError(ErrorKind.STORE_UNAVAILABLE, detail)
            self.stopping.wait(ACCEPT_POLL_S)

    def _seen_s(self, seq):
        if seq > self.log.seq:
            return float("inf")
        times = [at for position, at in self.seen if position >= seq]
        return min(times, default=float("inf"))

    def _note_seen(self):
        self.seen.append((self.log.seq, self.clock()))

    def _compact(self):
        kept = self.log.seq - self.base.seq
        if kept <= COMPACT_ABOVE + self.rank or not self.may_accept():
            return
        self.log_store.compact(self.log, self.base)

    def _report_standing(self):
        standing = self.has_standing()
        if standing != self.had_standing:
            log(Event.STANDING_BACK if standing else Event.STANDING_LOST)
        self.had_standing = standing


class _Append:
    """One change on its way into the log."""

    def __init__(self, follower, change_id, actor, reason, edit, base_seq):
        self.follower = follower
        self.change_id = change_id
        self.actor = actor
        self.reason = reason
        self.edit = edit
        self.base_seq = base_seq
        # Position of a write whose answer was lost, 0 if there is none.
        self.open_seq = 0

    def run(self) -> int:
        """Return the position of the change."""
        try:
            return self._run()
        except HeatherhatchError as error:
            if not self.open_seq or error.kind is ErrorKind.KEY_REUSED:
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
            if follower.log.seq >= self.open_seq:
                # Another change stands where the lost write would be.
                self.open_seq = 0
            if self.base_seq not in (-1, follower.log.seq):
                detail = f"not at {self.base_seq} now"
                raise HeatherhatchError(ErrorKind.CONFLICT, detail)
            check_edit(follower.config, self.edit)
            seq = follower.log.seq + 1
            if self._write(seq):
                return seq
        raise HeatherhatchError(ErrorKind.CONFLICT, "other changes always came first")

    def _refresh(self):
        # A read whose answer was lost may be sent again.
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
                self.open_seq = seq
                return False
            raise
        if written:
            follower.apply(change)
            log(Event.CHANGE_ACCEPTED, seq=seq, actor=self.actor)
            follower.on_accept()
        return written
