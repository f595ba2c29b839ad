"""Workers in the order of their free processor time."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from .worker import Worker


class RoomIndex:
    """Finds the tightest worker that has room, without a look at all others.

    Args:
        workers: The workers; each ``update`` tells of one whose room changed.
    """

    def __init__(self, workers: Iterable[Worker]):
        self.workers = {worker.worker_id: worker for worker in workers}
        self.rooms = {name: item.room.cpu_m for name, item in self.workers.items()}
        self.rows = sorted((room, name) for name, room in self.rooms.items())

    def update(self, worker: Worker) -> None:
        """Put a worker into its new place."""
        name = worker.worker_id
        del self.rows[bisect_left(self.rows, (self.rooms[name], name))]
        self.rooms[name] = worker.room.cpu_m
        insort(self.rows, (self.rooms[name], name))

    def tightest(self, cpu_m: int) -> Iterator[Worker]:
        """Yield the workers with so much free processor time, the tightest first."""
        first = bisect_left(self.rows, (cpu_m, ""))
        for _room, name in self.rows[first:]:
            yield self.workers[name]
