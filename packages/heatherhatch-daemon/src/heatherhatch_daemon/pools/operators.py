"""The operators' configuration and waves, and when they were last confirmed."""

from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.maintenance import Wave

from ..events import Event, log
from ..transport.request_trace import Stage, timed
from ..transport.store import Entry, Expect, PolledStore, Snapshot, Transaction
from .clock import now_s
from .evacuation_requests import EvacuationRequests
from .feed import Feed
from .ports import OperatorRecords

POLL_WAIT_S = 1.0  # maximum wait of one poll; each response confirms the records
MAX_AGE_S = 0.3  # a refusal needs a configuration that was confirmed within this time
MAX_SERVING_AGE_S = 2.5  # the same for any other answer
POLL_FAILURE_S = 0.5  # a poll may be aborted; the next one then succeeds immediately
FIRST_READ_S = 0.5  # how long callers of a process that has just started may wait
CONFIRM_WAIT_S = 0.5  # how long callers wait for a confirmation
CHANGE_CHECK_S = 0.02  # pause between two checks whether a change has been received


class Operators:
    """Watches the records that operators write.

    Args:
        store: The platform's store.
        records: Keys and decoders of the records.
        on_config: Called with each configuration that takes effect.
    """

    def __init__(
        self,
        store: PolledStore,
        records: OperatorRecords,
        on_config: Callable[[FleetConfiguration], None],
    ):
        self.store = store
        self.records = records
        self.on_config = on_config
        self.config: FleetConfiguration | None = None
        self.revision = 0
        self.unreadable_revision = 0
        self.loaded = Signal()
        self.confirmed_s = float("-inf")
        self.reading: gevent.Greenlet | None = None
        self.waves: dict[int, Wave] = {}
        self.evacuations = EvacuationRequests(records.evacuation_prefix)
        self.feed = Feed(
            store,
            records.prefix,
            self._on_written,
            self._on_deleted,
            POLL_WAIT_S,
            newest_only=True,
            read_all=self._read_records,
        )

    def start(self) -> None:
        """Start to watch the records."""
        self.feed.start()

    def expect(self) -> Expect:
        """Return the condition that fails if the configuration is not the newest."""
        return Expect(self.records.config_key, self.revision)

    def config_age_s(self) -> float:
        """Return the time since the configuration was confirmed, seconds.

        It is infinite while the newest configuration cannot be read: keys of the one in
        force may have been withdrawn.
        """
        if self.unreadable_revision > self.revision:
            return float("inf")
        return now_s() - max(self.confirmed_s, self.feed.last_response_s)

    def feed_failing_s(self) -> float:
        """Return how long the feed has failed, seconds; -inf if it works."""
        return now_s() - self.feed.failing_since_s

    @timed(Stage.CONFIGURATION)
    def confirm(self, max_age_s: float = MAX_AGE_S) -> FleetConfiguration:
        """Return a configuration that was recently confirmed as the newest.

        Args:
            max_age_s: Maximum time since the confirmation, seconds.

        Raises:
            HeatherhatchError: ``NO_STANDING`` if the store does not respond or has no
                configuration.
        """
        if self.config is None and self.feed_failing_s() <= POLL_FAILURE_S:
            # A second read beside the feed's would delay both.
            self.loaded.wait(FIRST_READ_S)
        if self.config is None:
            raise HeatherhatchError(
                ErrorKind.NO_STANDING, "this node has not read a configuration yet"
            )
        if self.config_age_s() > max_age_s:
            confirmed = False
            # One limit for all waits: a caller that is refused asks another instance.
            with gevent.Timeout(CONFIRM_WAIT_S, False):
                self._await_confirmation(max_age_s)
                confirmed = True
            if not confirmed or self.unreadable_revision > self.revision:
                raise self._unconfirmed_error()
        return self.config

    def _await_confirmation(self, max_age_s: float) -> None:
        self.await_change()
        if self.config_age_s() > max_age_s:
            # The response to a failed condition is as large as the feed's read.
            if self.feed_failing_s() > POLL_FAILURE_S:
                raise self._unconfirmed_error()
            self.refresh(now_s() - max_age_s)

    @timed(Stage.CONFIGURATION)
    def await_change(self) -> None:
        """Wait while a new configuration is being received.

        A call that depends on the newest one would receive another copy, and many
        copies saturate a slow link.

        Raises:
            HeatherhatchError: ``NO_STANDING`` if that takes too long for a caller.
        """
        deadline_s = now_s() + CONFIRM_WAIT_S
        while self.store.is_receiving(self.records.prefix):
            if now_s() >= deadline_s:
                raise self._unconfirmed_error()
            gevent.sleep(CHANGE_CHECK_S)

    def _unconfirmed_error(self) -> HeatherhatchError:
        if self.unreadable_revision > self.revision:
            return HeatherhatchError(
                ErrorKind.NO_STANDING,
                "the newest configuration cannot be read, at revision "
                f"{self.unreadable_revision}",
            )
        return HeatherhatchError(
            ErrorKind.NO_STANDING,
            f"the configuration was last confirmed {self.config_age_s():.1f} s ago",
        )

    @timed(Stage.CONFIGURATION)
    def refresh(self, since_s: float | None = None) -> None:
        """Make sure that the configuration is the newest.

        Callers that wait at the same time share one read: many copies of a large
        configuration saturate a slow link.

        Args:
            since_s: Earliest time of the read, monotonic seconds; now if None.

        Raises:
            HeatherhatchError: ``NO_STANDING`` if the store does not respond.
        """
        if since_s is None:
            since_s = now_s()
        # A read that is in progress may have begun too early.
        for _read in range(2):
            if self.reading is None:
                self.reading = gevent.spawn(self._read_newest)
            error = self.reading.get()
            if error is not None:
                age_s = round(self.config_age_s(), 2)
                raise HeatherhatchError(
                    ErrorKind.NO_STANDING,
                    f"the configuration is {age_s} s old: {error.detail}",
                ) from error
            if self.confirmed_s >= since_s:
                return

    def _read_newest(self) -> StoreError | None:
        sent_s = now_s()
        try:
            if self._fetch_newest():
                self.confirmed_s = max(self.confirmed_s, sent_s)
        except StoreError as error:
            return error
        finally:
            self.reading = None
        return None

    def apply_entries(self, entries: tuple[Entry, ...]) -> bool:
        """Apply the configuration if it is among entries that were just read."""
        found = [item for item in entries if item.key == self.records.config_key]
        for entry in found:
            self._on_written(entry)
        return bool(found)

    def _fetch_newest(self) -> bool:
        """Confirm or read the newest configuration; return False if there is none."""
        if not self.revision:
            entry = self.store.get(self.records.config_key)
            return entry is not None and self.apply_entries((entry,))
        # The response to a condition that holds takes a few bytes, while a read
        # returns the whole configuration.
        outcome = self.store.transact(Transaction((self.expect(),)))
        return outcome.succeeded or self.apply_entries(outcome.entries)

    def _read_records(self) -> Snapshot:
        """Return the operators' records; a configuration that is known has no value."""
        if not self.revision:
            return self.store.range(self.records.prefix)
        found = [self.store.range(prefix) for prefix in self.records.small_prefixes]
        others = [entry for snapshot in found for entry in snapshot.entries]
        outcome = self.store.transact(Transaction((self.expect(),)))
        known = (Entry(self.records.config_key, b"", self.revision),)
        config = known if outcome.succeeded else outcome.entries
        # Changes after the first of these reads are polled for.
        return Snapshot(found[0].revision, (*others, *config))

    def _on_written(self, entry: Entry) -> None:
        self.evacuations.note_written(entry)
        if entry.key == self.records.config_key:
            self._apply_config(entry)
        elif entry.key.startswith(self.records.wave_prefix):
            wave = self.records.read_wave(entry.value)
            if wave is None:
                log(Event.RECORD_SKIPPED, key=entry.key, revision=entry.revision)
            else:
                self.waves[wave.number] = wave
                log(
                    Event.WAVE_SEEN,
                    wave=wave.number,
                    machines=len(wave.machines),
                    within_s=wave.within_s,
                    at_once=wave.at_once,
                )

    def _apply_config(self, entry: Entry) -> None:
        if entry.revision <= self.revision:
            return
        try:
            config = self.records.read_config(entry.value)
        except Exception as error:
            log(Event.TASK_FAILED, task="decoder of configurations", error=repr(error))
            config = None
        if config is None:
            log(Event.RECORD_SKIPPED, key=entry.key, revision=entry.revision)
            self.unreadable_revision = max(self.unreadable_revision, entry.revision)
            return
        self.revision = entry.revision
        self.config = config
        self.loaded.set()
        log(Event.CONFIG_APPLIED, version=config.version, revision=entry.revision)
        self.on_config(config)

    def _on_deleted(self, key: str) -> None:
        self.evacuations.note_deleted(key)
        number = key.removeprefix(self.records.wave_prefix)
        if number.isdecimal():
            self.waves.pop(int(number), None)
