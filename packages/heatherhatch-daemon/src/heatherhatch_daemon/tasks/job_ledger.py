"""Grant records of the teams, as the dispatcher of long jobs uses them."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.grants import (
    GRANTS_PREFIX,
    GrantRecord,
    grant_key,
    with_jobs,
)

from ..transport.store import Expect, Put, Store

REFRESH_S = 2.0


class JobLedger:
    """Caches the grant record of each team and prepares writes of new values.

    Args:
        store: The platform's store.
        clock: Returns monotonic seconds.
    """

    def __init__(self, store: Store, clock: Callable[[], float]):
        self.store = store
        self.clock = clock
        self.records: dict[str, tuple[GrantRecord, int]] = {}
        self.read_s = float("-inf")

    def refresh(self, force: bool = False) -> None:
        """Read all records again if the last read is older than ``REFRESH_S``.

        Args:
            force: Whether to read them regardless of the age of the last read.
        """
        if not force and self.clock() - self.read_s < REFRESH_S:
            return
        sent_s = self.clock()
        entries = self.store.range(GRANTS_PREFIX).entries
        found = ((decode_json(e.value, GrantRecord), e.revision) for e in entries)
        self.records = {record.team: (record, rev) for record, rev in found}
        self.read_s = sent_s

    def usable(self, config: Configuration, team: str) -> int:
        """Return the units that a team may still start within its limit."""
        if team not in config.teams:
            # Open work, which has no team, has no limit. A removed team may not
            # start anything.
            return 0 if team else 1 << 30
        record, _ = self._record(team)
        if record.limit_seq > config.seq:
            return 0
        return max(0, config.teams[team].limit - record.total)

    def change(
        self, config: Configuration, team: str, delta: int
    ) -> tuple[tuple[Expect, ...], tuple[Put, ...]]:
        """Return the conditions and writes that change a team's units for long jobs.

        Args:
            config: Configuration in force.
            team: Name of the team, empty for open work.
            delta: Units to add, negative to release units.

        Raises:
            HeatherhatchError: ``LIMIT_REACHED`` if the units are not free.
        """
        if not team or not delta:
            return (), ()
        record, revision = self._record(team)
        limit = config.teams[team].limit if team in config.teams else 0
        after = with_jobs(record, delta, limit, config.seq)
        key = grant_key(team)
        return (Expect(key, revision),), (Put(key, encode_json(after)),)

    def record_written(self, puts: tuple[Put, ...], revision: int) -> None:
        """Update the cached records after a prepared write took effect.

        Args:
            puts: Writes that were prepared by ``change``.
            revision: Store revision of the transaction.
        """
        for put in puts:
            record = decode_json(put.value, GrantRecord)
            self.records[record.team] = (record, revision)

    def _record(self, team: str) -> tuple[GrantRecord, int]:
        return self.records.get(team, (GrantRecord(team), 0))
