"""The connections of a pool's holder to its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.pool import Group

from heatherhatch_core.coordination.scheduler import Order, StopOrder

from ..events import Event, log
from .ports import DirectoryEntry
from .worker_link import WorkerLink

if TYPE_CHECKING:
    from .pool_holder import PoolHolder


class WorkerLinks:
    """Keeps one link to each worker of a pool and sends orders over it.

    Args:
        holder: The pool's holder.

    Attributes:
        by_worker: The links, by the identifier of the worker.
    """

    def __init__(self, holder: PoolHolder):
        self.holder = holder
        self.by_worker: dict[str, WorkerLink] = {}
        self.orders = Group()

    def update(self, entry: DirectoryEntry) -> None:
        """Open the link to a worker, or replace it if the address has changed."""
        link = self.by_worker.get(entry.info.worker_id)
        if link is not None and link.entry.address != entry.address:
            self.close(entry.info.worker_id)
            link = None
        if link is None:
            self.by_worker[entry.info.worker_id] = WorkerLink(self.holder, entry)

    def close(self, worker_id: str) -> None:
        """Close the link to a worker."""
        link = self.by_worker.pop(worker_id, None)
        if link is not None:
            link.stop()

    def send(self, order: Order) -> None:
        """Send an order in a greenlet of its own."""
        link = self.by_worker.get(order.worker_id)
        if link is not None:
            self.orders.spawn(link.send, order)
        elif not isinstance(order, StopOrder):
            log(Event.CALL_UNKNOWN, worker=order.worker_id, error="not registered")

    def stop(self) -> None:
        """Close all links and abandon the orders that are being sent."""
        for link in self.by_worker.values():
            link.stop()
        self.orders.kill(block=False)
