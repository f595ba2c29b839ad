"""A record in the store that the holder of a role replaces again and again."""

from ..transport.store import Expect, PolledStore, Put, Transaction


class ReplacedRecord:
    """Writes a record on the condition of a claim and of the revision it replaces.

    The second condition keeps a write that takes effect late from replacing a newer
    record.

    Args:
        store: The platform's store.
        key: Key of the record.

    Attributes:
        revision: Revision that the next write replaces; 0 if there is no record.
    """

    def __init__(self, store: PolledStore, key: str):
        self.store = store
        self.key = key
        self.revision = 0

    def write(self, claim: Expect, value: bytes) -> bool:
        """Replace the record; return False if the claim is not held any more.

        Raises:
            StoreError: If the store does not answer.
        """
        # An earlier holder or a write without an answer may have replaced it.
        return self._replace(claim, value) or self._replace(claim, value)

    def _replace(self, claim: Expect, value: bytes) -> bool:
        expects = (claim, Expect(self.key, self.revision))
        put = Put(self.key, value)
        outcome = self.store.transact(Transaction(expects, (put,)))
        if outcome.succeeded:
            self.revision = outcome.revision
            return True
        found = {entry.key: entry.revision for entry in outcome.entries}
        self.revision = found.get(self.key, 0)
        return False
