"""Grant ledger: the units of a team's limit that a node may safely use."""

import dataclasses
from dataclasses import dataclass

from ..state.grants import GrantRecord

# Value of ``unsettled`` when no write has an unknown outcome.
NO_UNSETTLED_WRITE = -1


@dataclass(frozen=True, slots=True)
class GrantLedger:
    """One team's record as a node knows it, and the units that it may use.

    A decrease of the part takes effect before the write is sent, an increase
    only once the write is known to have succeeded. If the response is lost, the
    smaller of the two values applies until the record has a new revision,
    because the write may still arrive.

    Attributes:
        holder: Name of this node incarnation.
        record: Record as last read or written.
        revision: Store revision of the record, 0 if it does not exist.
        spendable: Units that certainly belong to this node.
        unsettled: Revision on which a write with an unknown outcome was based,
            or ``NO_UNSETTLED_WRITE`` if there is no such write.
    """

    holder: str
    record: GrantRecord
    revision: int = 0
    spendable: int = 0
    unsettled: int = NO_UNSETTLED_WRITE

    def after_read(self, record: GrantRecord, revision: int) -> "GrantLedger":
        """Return the ledger after the record was read.

        Args:
            record: Record as read from the store.
            revision: Store revision of the record.
        """
        if revision < self.revision:
            return self
        units = record.units_granted_to(self.holder)
        if self.unsettled == revision:
            # The pending write may still succeed, because the revision that it
            # depends on has not changed.
            return dataclasses.replace(
                self,
                record=record,
                revision=revision,
                spendable=min(self.spendable, units),
            )
        return dataclasses.replace(
            self,
            record=record,
            revision=revision,
            spendable=units,
            unsettled=NO_UNSETTLED_WRITE,
        )

    def before_write(self, record: GrantRecord) -> "GrantLedger":
        """Return the ledger that applies while a write is in progress."""
        units = min(self.spendable, record.units_granted_to(self.holder))
        return dataclasses.replace(self, spendable=units, unsettled=self.revision)
