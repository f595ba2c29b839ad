"""Admission: whether and when a team's request may start on this node."""

from collections import Counter
from dataclasses import dataclass

from heatherhatch_core.coordination.grants import even_grant
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import WorkClass

from .follower import Follower
from .registrar import Registrar


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to have one unit of work running.

    Attributes:
        team: Team whose limit it counts against, empty for open work.
        pool: Pool that the work goes to.
    """

    team: str
    pool: str


class Admission:
    """Hands out permits within the grants of the teams.

    Args:
        follower: Source of the limits.
        registrar: Source of the nodes that share the limits.
    """

    def __init__(self, follower: Follower, registrar: Registrar):
        self.follower = follower
        self.registrar = registrar
        self.running: Counter[Permit] = Counter()

    def acquire(self, team: str, work_class: WorkClass, deadline_s: float) -> Permit:
        """Return a permit, after waiting for it if that can help.

        Args:
            team: Team that asks, empty for open work.
            work_class: Class of the work.
            deadline_s: When the answer is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``LIMIT_REACHED`` or ``DEADLINE_UNREACHABLE``.
        """
        permit = Permit(team, work_class.pool)
        if team and self._team_running(team) >= self._grant(team):
            raise HeatherhatchError(ErrorKind.LIMIT_REACHED, f"team {team!r}")
        self.running[permit] += 1
        return permit

    def release(self, permit: Permit) -> None:
        """Give a permit back."""
        self.running[permit] -= 1

    def demand(self) -> tuple[Demand, ...]:
        """Return what this node tells its peers."""
        return tuple(
            Demand(permit.team, permit.pool, count, 0)
            for permit, count in self.running.items()
            if count
        )

    def _grant(self, team: str) -> int:
        limit = self.follower.config.teams[team].limit
        return even_grant(limit, tuple(self.registrar.nodes), self.registrar.entry.name)

    def _team_running(self, team: str) -> int:
        return sum(
            count for permit, count in self.running.items() if permit.team == team
        )
