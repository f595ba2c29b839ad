"""The ledger: which units of a team's limit a node knows to be its own."""

import dataclasses
from dataclasses import dataclass

from ..state.grants import GrantRecord

SETTLED = -1


@dataclass(frozen=True, slots=True)
class GrantLedger:
    """One team's record as a node knows it, and what the node may spend of it.

    A part that shrinks counts as shrunk before the write is sent; one that
    grows counts only once the write is known to have happened. After a lost
    answer the smaller of both counts until the record has moved on, because
    the write may still be on its way.

    Attributes:
        holder: The node itself.
        record: Record as last read or written.
        revision: Store revision of the record, 0 if it does not exist.
        spendable: Units that are the node's own for certain.
        unsettled: Revision that a write of unknown outcome was based on, or
            ``SETTLED``.
    """

    holder: str
    record: GrantRecord
    revision: int = 0
    spendable: int = 0
    unsettled: int = SETTLED

    def seen(self, record: GrantRecord, revision: int) -> "GrantLedger":
        """Return the ledger after the record was read.

        Args:
            record: What the store holds.
            revision: Its revision.
        """
        if revision < self.revision:
            return self
        units = record.units_of(self.holder)
        if self.unsettled == revision:
            # The write may still arrive, since its condition still holds.
            return dataclasses.replace(
                self,
                record=record,
                revision=revision,
                spendable=min(self.spendable, units),
            )
        return dataclasses.replace(
            self, record=record, revision=revision, spendable=units, unsettled=SETTLED
        )

    def writing(self, record: GrantRecord) -> "GrantLedger":
        """Return the ledger to go by while a write is under way."""
        units = min(self.spendable, record.units_of(self.holder))
        return dataclasses.replace(self, spendable=units, unsettled=self.revision)
