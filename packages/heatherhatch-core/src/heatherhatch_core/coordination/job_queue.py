"""The queue of long-running jobs and the fair order of teams and jobs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from ..state.jobs import Job

LOOKAHEAD_S = 60.0
BACKFILL_DEPTH = 8

Lane = tuple[str, str]


@dataclass(slots=True)
class _Account:
    """Use of the fleet by one team.

    Attributes:
        share: Weight of the team.
        served: Used fraction of the fleet, integrated over time, seconds.
        rate: Fraction of the fleet in use now.
        active: True if the team has waiting or running jobs.
    """

    share: float = 1.0
    served: float = 0.0
    rate: float = 0.0
    active: bool = False

    @property
    def weighted_use(self) -> float:
        return (self.served + self.rate * LOOKAHEAD_S) / self.share


class TeamShares:
    """Orders teams by their use of the fleet, divided by their share.

    A team's use is its dominant share, the largest fraction that it holds of any
    one resource, integrated over time. The team with the least use for its share
    comes next, so that shares hold over minutes even where jobs are few and
    large. A team that becomes active again starts level with the least served of
    the others: unused share is lent to them, not saved up.
    """

    def __init__(self):
        self.accounts: dict[str, _Account] = {}

    def charge(self, team: str, amount: float) -> None:
        """Add to a team's accumulated use, or correct it.

        Args:
            team: Team.
            amount: Fraction of the fleet times seconds; negative for a refund.
        """
        self.accounts.setdefault(team, _Account()).served += amount

    def set_share(self, team: str, share: float) -> None:
        """Set a team's weight, above zero, and scale its use to match."""
        account = self.accounts.setdefault(team, _Account())
        account.served *= share / account.share
        account.share = share

    def set_active(self, teams: Iterable[str]) -> None:
        """Set which teams have waiting or running jobs."""
        active = set(teams)
        for team in active - self.accounts.keys():
            self.accounts[team] = _Account()
        # The level is taken before teams become active, so that they can't lower it.
        levels = [
            account.served / account.share
            for team, account in self.accounts.items()
            if account.active and team in active
        ]
        level = min(levels, default=0.0)
        for team, account in self.accounts.items():
            if team in active and not account.active:
                account.served = max(account.served, level * account.share)
            account.active = team in active

    def add_use(self, team: str, part: float) -> None:
        """Adjust the fraction of the fleet that a team uses now."""
        account = self.accounts.setdefault(team, _Account())
        account.rate = max(0.0, account.rate + part)

    def reset_use(self) -> None:
        """Reset the current use of all teams before it is recounted."""
        for account in self.accounts.values():
            account.rate = 0.0

    def weighted_use(self, team: str) -> float:
        """Return the use of a team for its share; the least comes first."""
        return self.accounts.setdefault(team, _Account()).weighted_use


class JobQueue:
    """Waiting jobs in lanes, one for each team and class, oldest first.

    Jobs of a lane share one target, so that the oldest is due first and only the
    heads of the lanes have to be compared.
    """

    def __init__(self):
        self.lanes: dict[Lane, SortedDict] = {}
        self.positions: dict[str, tuple[Lane, tuple[float, str]]] = {}

    def __len__(self) -> int:
        return len(self.positions)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.positions

    def add(self, job: Job) -> None:
        """Add a job, or replace the one with the same id."""
        self.remove(job.job_id)
        lane = (job.team, job.spec.work_class)
        position = (job.submitted_s, job.job_id)
        self.lanes.setdefault(lane, SortedDict())[position] = job
        self.positions[job.job_id] = (lane, position)

    def remove(self, job_id: str) -> None:
        """Remove a job if it is waiting."""
        entry = self.positions.pop(job_id, None)
        if entry is None:
            return
        lane, position = entry
        del self.lanes[lane][position]
        if not self.lanes[lane]:
            del self.lanes[lane]

    def teams(self) -> set[str]:
        """Return the teams that have waiting jobs."""
        return {team for team, _ in self.lanes}

    def lanes_of(self, team: str) -> list[Lane]:
        """Return a team's lanes."""
        return [lane for lane in self.lanes if lane[0] == team]

    def first(self, lane: Lane, count: int = BACKFILL_DEPTH) -> Iterator[Job]:
        """Yield the oldest jobs of a lane."""
        jobs = self.lanes.get(lane, {}).values()
        yield from list(jobs[:count]) if jobs else ()

    def jobs(self) -> Iterator[Job]:
        """Yield every waiting job."""
        for lane in self.lanes.values():
            yield from lane.values()
