"""Release: when a drained worker may be released or moved to another pool."""

from collections.abc import Callable
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.entities import Assignment, WorkerState, WorkKind


@dataclass(frozen=True, slots=True)
class Confirmation:
    """When a change was first seen to be in force on every node.

    Attributes:
        seq: Log position of the change.
        confirmed_s: When that was seen, in monotonic seconds of this node.
        deadline_s: Longest time in seconds that a request sent before then may
            still run.
    """

    seq: int
    confirmed_s: float
    deadline_s: float


class ReleaseGate:
    """Decides when a draining worker has no more requests.

    Two conditions must be met in this order. First, the draining change is in
    force on every node, so that no node can send requests to the worker any
    more. Then the longest request deadline has passed, so that every request
    that was sent has ended.

    The confirmations are kept in memory only. A node that takes over collects
    them again, which delays the release but does not make it unsafe.

    Args:
        in_force: Returns whether a log position is in force on every node.
    """

    def __init__(self, in_force: Callable[[int], bool]):
        self.in_force = in_force
        self.confirmations: dict[str, Confirmation] = {}

    def is_drained(
        self, config: Configuration, assignment: Assignment, now_s: float
    ) -> bool:
        """Return whether a draining worker may be recorded as drained.

        Args:
            config: Configuration that contains the assignment.
            assignment: Assignment of a worker that receives no new work.
            now_s: Current monotonic time in seconds.
        """
        if assignment.state is WorkerState.SERVING:
            return False
        known = self.confirmations.get(assignment.worker_id)
        if known is None or known.seq != assignment.seq:
            if not self.in_force(assignment.seq):
                return False
            known = Confirmation(assignment.seq, now_s, 0.0)
        # Lowering a target time does not shorten requests that already run.
        deadline_s = max(known.deadline_s, longest_request_s(config, assignment.pool))
        known = Confirmation(known.seq, known.confirmed_s, deadline_s)
        self.confirmations[assignment.worker_id] = known
        return now_s - known.confirmed_s >= deadline_s

    def forget(self, config: Configuration) -> None:
        """Delete the confirmations of workers whose assignment has changed."""
        self.confirmations = {
            name: known
            for name, known in self.confirmations.items()
            if name in config.assignments and config.assignments[name].seq == known.seq
        }


def longest_request_s(config: Configuration, pool: str) -> float:
    """Return the longest hard deadline of a pool's requests, in seconds."""
    return max(
        (
            work.target_s
            for work in config.classes.values()
            if work.pool == pool and work.kind is WorkKind.REQUEST
        ),
        default=0.0,
    )
