"""Demand that a node reports to its peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Work of one team for one pool at one node.

    Attributes:
        team: Team that submitted the work; empty for work accepted without a team
            key.
        pool: Pool that the work is for.
        running: Units that were sent from this node and are running.
        waiting: Units that wait at this node.
        missing: Waiting units that do not fit into this node's grant of the
            team's limit.
        jobs: Units of long jobs that wait to start; reported by one node only.
    """

    team: str
    pool: str
    running: int
    waiting: int
    missing: int = 0
    jobs: int = 0

    @property
    def wanted(self) -> int:
        """Units of requests that are running or waiting."""
        return self.running + self.waiting
