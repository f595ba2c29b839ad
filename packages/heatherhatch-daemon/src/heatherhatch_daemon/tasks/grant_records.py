"""The teams' grant records as one node reads and writes them."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.grant_ledger import GrantLedger
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.grants import GRANTS_PREFIX, GrantRecord, grant_key

from ..transport.store import Expect, Put, Store, Transaction


class GrantRecords:
    """Keeps a ledger per team and is the only way to the records.

    Args:
        store: The platform's store.
        clock: Returns monotonic seconds.

    Attributes:
        holder: Name under which this node holds parts, empty before ``open``.
        ledgers: What is known, by team.
        read_s: When all records were last asked for, monotonic seconds.
    """

    def __init__(self, store: Store, clock: Callable[[], float]):
        self.store = store
        self.clock = clock
        self.holder = ""
        self.ledgers: dict[str, GrantLedger] = {}
        self.read_s = float("-inf")

    def open(self, holder: str) -> None:
        """Forget everything and read it anew under a holder's name."""
        self.holder = ""
        self.ledgers = {}
        self._read_all(holder)
        self.holder = holder

    def ledger(self, team: str) -> GrantLedger:
        """Return what is known of a team's record."""
        ledger = self.ledgers.get(team)
        if ledger is None:
            return GrantLedger(self.holder, GrantRecord(team))
        return ledger

    def read_all(self) -> None:
        """Read every record."""
        self._read_all(self.holder)

    def read(self, team: str) -> None:
        """Read one team's record."""
        entry = self.store.get(grant_key(team))
        ledger = self.ledger(team)
        if entry is not None:
            record = decode_json(entry.value, GrantRecord)
            ledger = ledger.after_read(record, entry.revision)
        self.ledgers[team] = ledger

    def write(self, record: GrantRecord, expects: tuple[Expect, ...] = ()) -> bool:
        """Write a record in place of the known one.

        Args:
            record: New record.
            expects: Conditions besides the one that the record is as known.

        Returns:
            False if the write was refused or its answer lost; the record has
            been read again then.

        Raises:
            StoreError: If the store does not answer.
        """
        team = record.team
        ledger = self.ledger(team)
        key = grant_key(team)
        transaction = Transaction(
            (Expect(key, ledger.revision), *expects), (Put(key, encode_json(record)),)
        )
        self.ledgers[team] = ledger.before_write(record)
        try:
            outcome = self.store.transact(transaction)
        except StoreError as error:
            if not error.maybe_applied:
                self.ledgers[team] = ledger
                raise
            # The answer is lost: what the store holds says what happened.
            self.read(team)
            return False
        if outcome.succeeded:
            self.ledgers[team] = self.ledgers[team].after_read(record, outcome.revision)
            return True
        # This write did not happen; an earlier one may still be on its way.
        self.ledgers[team] = ledger
        self.read(team)
        return False

    def _read_all(self, holder: str) -> None:
        asked = self.clock()
        for entry in self.store.range(GRANTS_PREFIX).entries:
            record = decode_json(entry.value, GrantRecord)
            known = self.ledgers.get(record.team)
            ledger = known or GrantLedger(holder, GrantRecord(record.team))
            self.ledgers[record.team] = ledger.after_read(record, entry.revision)
        self.read_s = asked
