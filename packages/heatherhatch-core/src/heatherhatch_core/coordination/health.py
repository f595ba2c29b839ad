"""Health of workers: which workers have failed, as observed by one node."""

from collections import Counter

from ..state.configuration import Configuration
from ..state.entities import WorkerState

# Consecutive failed probes after which a worker counts as failed.
CONFIRMATIONS = 3
# Number of workers that are probed in rotation in each round.
SAMPLE_SIZE = 5
# If more than this fraction of the fleet seems to have failed, the node assumes that
# it is itself cut off.
CUT_OFF_FRACTION = 0.5
_RECOVERABLE_STATES = (
    WorkerState.MAINTENANCE,
    WorkerState.RETURNING,
    WorkerState.FAILED,
    WorkerState.LOST,
)


class FleetHealth:
    """Results of one node's health checks of the workers.

    A worker has failed if several consecutive probes could not reach it. If that
    holds for more than half of the fleet, the node reports no failed worker,
    because it is more likely that this node is cut off than that so many workers
    have failed.

    Workers that are expected to recover, that missed a probe or that this node's
    requests could not reach are probed in every round. Of all other workers, a
    few are probed in rotation.
    """

    def __init__(self):
        self.misses: Counter[str] = Counter()
        self.up: set[str] = set()
        self.sample_start = 0

    def to_probe(
        self, config: Configuration, suspects: frozenset[str]
    ) -> tuple[str, ...]:
        """Return the names of the workers to probe in this round.

        Args:
            config: Configuration that lists the fleet.
            suspects: Addresses that this node's requests could not reach.
        """
        recoverable = {
            name
            for name, item in config.assignments.items()
            if item.state in _RECOVERABLE_STATES
        }
        missed = {name for name in self.misses if name in config.workers}
        suspected = {
            name
            for name, worker in config.workers.items()
            if suspects and worker.address in suspects
        }
        return tuple(sorted(recoverable | missed | suspected | self._sample(config)))

    def note(self, worker_id: str, reached: bool) -> None:
        """Record the result of one probe."""
        if reached:
            self.misses.pop(worker_id, None)
            self.up.add(worker_id)
        else:
            self.misses[worker_id] += 1
            self.up.discard(worker_id)

    def is_up(self, worker_id: str) -> bool:
        """Return whether the last probe reached a worker."""
        return worker_id in self.up

    def may_be_cut_off(self, config: Configuration) -> bool:
        """Return whether so many workers seem failed that this node may be cut off."""
        return len(self._unreachable(config)) > CUT_OFF_FRACTION * len(config.workers)

    def failed(
        self, config: Configuration, unlisted: frozenset[str] = frozenset()
    ) -> dict[str, WorkerState]:
        """Return the state of the workers that have failed or are lost, by name.

        Args:
            config: Configuration that lists the fleet.
            unlisted: Workers that are no longer in the platform's list.
        """
        if self.may_be_cut_off(config):
            return {}
        return {
            name: WorkerState.LOST if name in unlisted else WorkerState.FAILED
            for name in self._unreachable(config)
        }

    def _unreachable(self, config) -> list[str]:
        return [
            name
            for name, count in self.misses.items()
            if count >= CONFIRMATIONS and name in config.workers
        ]

    def _sample(self, config) -> set[str]:
        names = sorted(config.workers)
        if not names:
            return set()
        first = self.sample_start % len(names)
        self.sample_start = first + SAMPLE_SIZE
        return set((names + names)[first : first + min(SAMPLE_SIZE, len(names))])
