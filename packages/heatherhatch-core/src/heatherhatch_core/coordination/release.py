"""Release: when a drained worker may be handed over or join another pool."""

from collections.abc import Callable
from dataclasses import dataclass

from ..state.configuration import Configuration
from ..state.entities import Assignment, WorkerState, WorkKind


@dataclass(frozen=True, slots=True)
class Confirmation:
    """When a change was first seen to be in force everywhere.

    Attributes:
        seq: Position of the change.
        confirmed_s: Monotonic seconds of the node that saw it.
        deadline_s: Longest that a request sent before then may still run.
    """

    seq: int
    confirmed_s: float
    deadline_s: float


class ReleaseGate:
    """Tells when nothing can be sent to, or runs on, a draining worker.

    Two things must have happened, in this order. The draining change is in
    force everywhere, so that no node can still send to the worker. Then the
    longest deadline of a request has passed, so that what was sent has ended.

    The evidence is kept in memory only. Another node that takes over collects
    it anew, which costs time and never safety.

    Args:
        in_force: Tells whether a position is in force on every node.
    """

    def __init__(self, in_force: Callable[[int], bool]):
        self.in_force = in_force
        self.confirmations: dict[str, Confirmation] = {}

    def is_drained(
        self, config: Configuration, assignment: Assignment, now_s: float
    ) -> bool:
        """Tell whether a draining worker may be recorded as drained.

        Args:
            config: Configuration that the assignment is part of.
            assignment: Assignment of a worker that takes no new work.
            now_s: Monotonic seconds.
        """
        if assignment.state is WorkerState.SERVING:
            return False
        known = self.confirmations.get(assignment.worker_id)
        if known is None or known.seq != assignment.seq:
            if not self.in_force(assignment.seq):
                return False
            known = Confirmation(assignment.seq, now_s, 0.0)
        # A target that is lowered meanwhile does not shorten what runs already.
        deadline_s = max(known.deadline_s, longest_request_s(config, assignment.pool))
        known = Confirmation(known.seq, known.confirmed_s, deadline_s)
        self.confirmations[assignment.worker_id] = known
        return now_s - known.confirmed_s >= deadline_s

    def forget(self, config: Configuration) -> None:
        """Drop the evidence on workers that have changed since."""
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
