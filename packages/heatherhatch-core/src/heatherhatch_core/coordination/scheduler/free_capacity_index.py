"""Index of workers by free CPU capacity."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from .worker import Worker


class FreeCapacityIndex:
    """Finds the workers with enough free CPU without checking all of them.

    Args:
        workers: Workers to index. ``update`` must be called for each worker whose
            free capacity changes.
    """

    def __init__(self, workers: Iterable[Worker]):
        self.workers = {worker.worker_id: worker for worker in workers}
        self.free_cpu_m = {name: item.free.cpu_m for name, item in self.workers.items()}
        self.rows = sorted((free, name) for name, free in self.free_cpu_m.items())

    def update(self, worker: Worker) -> None:
        """Update the position of a worker after its free capacity has changed."""
        name = worker.worker_id
        del self.rows[bisect_left(self.rows, (self.free_cpu_m[name], name))]
        self.free_cpu_m[name] = worker.free.cpu_m
        insort(self.rows, (self.free_cpu_m[name], name))

    def iter_best_fit(self, cpu_m: int) -> Iterator[Worker]:
        """Yield the workers with at least this much free CPU, the least free first."""
        first = bisect_left(self.rows, (cpu_m, ""))
        for _free, name in self.rows[first:]:
            yield self.workers[name]
