"""What a node tells the others about the work that it sees."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Work of one team for one pool at one node.

    Attributes:
        team: Team that asks, empty for work open to all.
        pool: Pool that is asked.
        running: Units that run, sent from this node.
        waiting: Units that wait at this node.
        missing: Units among those waiting that this node's part of the team's
            limit has no room for.
        jobs: Units of long jobs that wait to start; told by one node only.
    """

    team: str
    pool: str
    running: int
    waiting: int
    missing: int = 0
    jobs: int = 0

    @property
    def wanted(self) -> int:
        """Units of requests that run or wait."""
        return self.running + self.waiting
