"""What a node tells the others about the work that it sees."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Work of one team for one pool at one node.

    Attributes:
        team: Team that asks.
        pool: Pool that is asked.
        running: Units that run, sent from this node.
        waiting: Units that wait at this node.
    """

    team: str
    pool: str
    running: int
    waiting: int
