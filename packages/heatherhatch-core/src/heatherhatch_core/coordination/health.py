"""Health of workers: which have failed, as one node can tell."""

from collections import Counter

from ..state.configuration import Configuration
from ..state.entities import WorkerState

CONFIRMATIONS = 3
SAMPLE_SIZE = 5
DOUBTFUL_PART = 0.5
_AWAITED = (
    WorkerState.MAINTENANCE,
    WorkerState.RETURNING,
    WorkerState.FAILED,
    WorkerState.LOST,
)


class FleetHealth:
    """What one node learns of workers by trying to reach them.

    A worker has failed if it could not be reached several times in a row. If
    that holds for more than half of the fleet, the node doubts itself and tells
    of nobody: it is more likely cut off than the only one that sees it.

    Workers that are awaited, or that this node's requests could not reach, are
    tried in each round; of all others a few in turn.
    """

    def __init__(self):
        self.misses: Counter[str] = Counter()
        self.up: set[str] = set()
        self.turn = 0

    def to_probe(
        self, config: Configuration, suspects: frozenset[str]
    ) -> tuple[str, ...]:
        """Return the workers to try now.

        Args:
            config: Configuration with the fleet.
            suspects: Addresses that this node's requests could not reach.
        """
        awaited = {
            name for name, item in config.assignments.items() if item.state in _AWAITED
        }
        missed = {name for name in self.misses if name in config.workers}
        suspected = {
            name
            for name, worker in config.workers.items()
            if suspects and worker.address in suspects
        }
        return tuple(sorted(awaited | missed | suspected | self._sample(config)))

    def note(self, worker_id: str, reached: bool) -> None:
        """Take the outcome of one attempt into account."""
        if reached:
            self.misses.pop(worker_id, None)
            self.up.add(worker_id)
        else:
            self.misses[worker_id] += 1
            self.up.discard(worker_id)

    def is_up(self, worker_id: str) -> bool:
        """Tell whether a worker was reached by the last attempt."""
        return worker_id in self.up

    def doubts(self, config: Configuration) -> bool:
        """Tell whether so many seem to have failed that this node may be cut off."""
        return len(self._missed(config)) > DOUBTFUL_PART * len(config.workers)

    def failed(
        self, config: Configuration, unlisted: frozenset[str] = frozenset()
    ) -> dict[str, WorkerState]:
        """Return the workers that have failed or are lost, by name.

        Args:
            config: Configuration with the fleet.
            unlisted: Workers that have left the platform's list.
        """
        if self.doubts(config):
            return {}
        return {
            name: WorkerState.LOST if name in unlisted else WorkerState.FAILED
            for name in self._missed(config)
        }

    def _missed(self, config) -> list[str]:
        return [
            name
            for name, count in self.misses.items()
            if count >= CONFIRMATIONS and name in config.workers
        ]

    def _sample(self, config) -> set[str]:
        names = sorted(config.workers)
        if not names:
            return set()
        first = self.turn % len(names)
        self.turn = first + SAMPLE_SIZE
        return set((names + names)[first : first + min(SAMPLE_SIZE, len(names))])
