"""The operators' configuration and waves, and how fresh they are."""

from collections.abc import Callable

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.maintenance import Wave

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Transaction
from .clock import now_s
from .feed import Feed
from .ports import OperatorRecords

WAIT_S = 1.0  # each poll is evidence; refusals need evidence of this age
CONFIRM_S = 0.3  # a refusal is based on evidence no older than this


class Operators:
    """Follows what operators write.

    Args:
        store: The platform's store.
        records: Where the records lie and how they are read.
        on_config: Called with each configuration that comes into force.
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
        self.confirmed_s = float("-inf")
        self.waves: dict[int, Wave] = {}
        self.feed = Feed(
            store, records.prefix, self._see, self._miss, WAIT_S, newest_only=True
        )

    def start(self) -> None:
        """Follow the records from here on."""
        self.feed.start()

    def expect(self) -> Expect:
        """Return the condition that fails if the configuration is not the newest."""
        return Expect(self.records.config_key, self.revision)

    def confirm(self) -> FleetConfiguration:
        """Return a configuration that was the newest a moment ago.

        Raises:
            HeatherhatchError: If the store doesn't say which is the newest.
        """
        if now_s() - self.confirmed_s > CONFIRM_S or self.config is None:
            self.refresh()
        if self.config is None:
            raise HeatherhatchError(ErrorKind.NO_STANDING, "no configuration yet")
        return self.config

    def refresh(self) -> None:
        """Make sure that the configuration is the newest.

        Raises:
            HeatherhatchError: If the store gives no answer.
        """
        asked_s = now_s()
        try:
            found = self._look()
        except StoreError as error:
            age_s = round(now_s() - self.confirmed_s, 2)
            raise HeatherhatchError(
                ErrorKind.NO_STANDING,
                f"the configuration is {age_s} s old: {error.detail}",
            ) from error
        if found:
            self.confirmed_s = max(self.confirmed_s, asked_s)

    def learn(self, entries: tuple[Entry, ...]) -> bool:
        """Take in the configuration if it is among entries that were just read."""
        found = [item for item in entries if item.key == self.records.config_key]
        for entry in found:
            self._see(entry)
        return bool(found)

    def _look(self) -> bool:
        """Take the newest configuration in; return False if there is none."""
        if not self.revision:
            entry = self.store.get(self.records.config_key)
            return entry is not None and self.learn((entry,))
        # A condition that holds is answered in a few bytes, a read with all of it.
        outcome = self.store.transact(Transaction((self.expect(),)))
        return outcome.succeeded or self.learn(outcome.entries)

    def _see(self, entry: Entry) -> None:
        if entry.key == self.records.config_key:
            self._see_config(entry)
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

    def _see_config(self, entry: Entry) -> None:
        if entry.revision <= self.revision:
            return
        config = self.records.read_config(entry.value)
        if config is None:
            log(Event.RECORD_SKIPPED, key=entry.key, revision=entry.revision)
            return
        self.revision = entry.revision
        self.config = config
        log(Event.CONFIG_APPLIED, version=config.version, revision=entry.revision)
        self.on_config(config)

    def _miss(self, key: str) -> None:
        if key.startswith(self.records.wave_prefix):
            number = key.removeprefix(self.records.wave_prefix)
            if number.isdecimal():
                self.waves.pop(int(number), None)
