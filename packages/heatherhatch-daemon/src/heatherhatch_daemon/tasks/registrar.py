"""The node's own entry in the store, and the registry of all nodes."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json

from ..events import Event, log
from ..protocol.messages import NodeEntry
from ..transport.store import Put, Store, Transaction
from .task import Task

NODES_PREFIX = "nodes/"


class Registrar(Task):
    """Keeps the node registered under a store lease and reads the registry.

    Args:
        store: The platform's store.
        entry: This node's entry.
        lease_s: Life of the entry without renewal, in seconds.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        store: Store,
        entry: NodeEntry,
        lease_s: float,
        clock: Callable[[], float],
    ):
        super().__init__("registrar", lease_s / 4, clock)
        self.store = store
        self.entry = entry
        self.lease_s = lease_s
        self.lease = 0
        self.nodes: dict[str, NodeEntry] = {}

    def step(self) -> None:
        """Renew the entry, then read the registry."""
        if self.lease and not self.store.keep_lease(self.lease):
            log(Event.REGISTRATION_LOST)
            self.lease = 0
        if not self.lease:
            self._register()
        snapshot = self.store.range(NODES_PREFIX)
        entries = (decode_json(item.value, NodeEntry) for item in snapshot.entries)
        self.nodes = {entry.name: entry for entry in entries}

    def finish(self) -> None:
        """Remove the entry, so that nobody waits for this node."""
        if self.lease:
            self.store.revoke_lease(self.lease)

    def _register(self):
        lease = self.store.grant_lease(max(1, round(self.lease_s)))
        put = Put(NODES_PREFIX + self.entry.name, encode_json(self.entry), lease)
        self.store.transact(Transaction(puts=(put,)))
        self.lease = lease
        log(Event.REGISTERED, lease=lease)
