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
        self.rows: list[tuple[int, str, Worker]] = []
        self.row_of: dict[str, tuple[int, str, Worker]] = {}
        for worker in workers:
            row = (worker.room.cpu_m, worker.worker_id, worker)
            self.row_of[worker.worker_id] = row
            self.rows.append(row)
        self.rows.sort(key=lambda row: row[:2])

    def update(self, worker: Worker) -> None:
        """Put a worker into its new place."""
        row = self.row_of[worker.worker_id]
        del self.rows[bisect_left(self.rows, row[:2], key=lambda item: item[:2])]
        row = (worker.room.cpu_m, worker.worker_id, worker)
        self.row_of[worker.worker_id] = row
        insort(self.rows, row, key=lambda item: item[:2])

    def tightest(self, cpu_m: int) -> Iterator[Worker]:
        """Yield the workers with so much free processor time, the tightest first."""
        first = bisect_left(self.rows, cpu_m, key=lambda row: row[0])
        for row in self.rows[first:]:
            yield row[2]
