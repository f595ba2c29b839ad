"""Grant records of the teams as one node reads and writes them."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.grant_ledger import GrantLedger
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.grants import GRANTS_PREFIX, GrantRecord, grant_key

from ..transport.store import Expect, Put, Store, Transaction


class GrantRecords:
    """Keeps a ledger per team; every access to the records goes through it.

    Args:
        store: The platform's store.
        clock: Returns monotonic seconds.

    Attributes:
        holder: Name under which this node holds parts, empty before ``open``.
        ledgers: Records as this node knows them, by team.
        read_s: When the last read of all records was sent, monotonic seconds.
    """

    def __init__(self, store: Store, clock: Callable[[], float]):
        self.store = store
        self.clock = clock
        self.holder = ""
        self.ledgers: dict[str, GrantLedger] = {}
        self.read_s = float("-inf")

    def open(self, holder: str) -> None:
        """Discard all ledgers and read the records under a new holder's name."""
        self.holder = ""
        self.ledgers = {}
        self._read_all(holder)
        self.holder = holder

    def ledger(self, team: str) -> GrantLedger:
        """Return the ledger of a team, an empty one if no record is known."""
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
        """Replace the known record of a team.

        Args:
            record: New record.
            expects: Further conditions; the record must be unchanged in any case.

        Returns:
            False if the write was refused or its response lost; the record has
            then been read again.

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
            # The response is lost, so the record is read to see the outcome.
            self.read(team)
            return False
        if outcome.succeeded:
            self.ledgers[team] = self.ledgers[team].after_read(record, outcome.revision)
            return True
        # This write was refused, but an earlier one may still arrive.
        self.ledgers[team] = ledger
        self.read(team)
        return False

    def _read_all(self, holder: str) -> None:
        sent_s = self.clock()
        for entry in self.store.range(GRANTS_PREFIX).entries:
            record = decode_json(entry.value, GrantRecord)
            known = self.ledgers.get(record.team)
            ledger = known or GrantLedger(holder, GrantRecord(record.team))
            self.ledgers[record.team] = ledger.after_read(record, entry.revision)
        self.read_s = sent_s
