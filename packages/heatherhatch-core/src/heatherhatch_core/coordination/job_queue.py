"""The queue of long jobs: whose turn it is, and which job of theirs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from ..state.jobs import Job

LOOKAHEAD_S = 60.0
BACKFILL_DEPTH = 8

Lane = tuple[str, str]


@dataclass(slots=True)
class _Account:
    """What one team was served, in units of its share.

    Attributes:
        share: Weight of the team.
        served: Part of the fleet used, integrated over time, seconds.
        rate: Part of the fleet in use now.
        active: True if the team has jobs that wait or run.
    """

    share: float = 1.0
    served: float = 0.0
    rate: float = 0.0
    active: bool = False

    @property
    def turn(self) -> float:
        return (self.served + self.rate * LOOKAHEAD_S) / self.share


class TeamShares:
    """Orders teams by what they were served, divided by their share.

    A team's use is the dominant part that it holds of any one resource,
    integrated over time. The team with the least use for its share comes next,
    so that shares hold over minutes even where jobs are few and large. A team
    that was away comes back level with the others: unused share is lent, not
    saved up.
    """

    def __init__(self):
        self.accounts: dict[str, _Account] = {}

    def charge(self, team: str, amount: float) -> None:
        """Add to, or correct, what a team was served.

        Args:
            team: Team.
            amount: Part of the fleet times seconds; negative to give back.
        """
        self.accounts.setdefault(team, _Account()).served += amount

    def set_share(self, team: str, share: float) -> None:
        """State a team's weight, above zero; what it was served stays in step."""
        account = self.accounts.setdefault(team, _Account())
        account.served *= share / account.share
        account.share = share

    def set_active(self, teams: Iterable[str]) -> None:
        """State which teams have jobs that wait or run."""
        active = set(teams)
        for team in active - self.accounts.keys():
            self.accounts[team] = _Account()
        # The others' level is taken first, so that newcomers can't lower it.
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

    def use(self, team: str, part: float) -> None:
        """Add to, or take from, the part of the fleet that a team uses now."""
        account = self.accounts.setdefault(team, _Account())
        account.rate = max(0.0, account.rate + part)

    def clear_use(self) -> None:
        """Forget what is in use now, before it is counted anew."""
        for account in self.accounts.values():
            account.rate = 0.0

    def turn(self, team: str) -> float:
        """Return what decides whose turn it is; the least comes first."""
        return self.accounts.setdefault(team, _Account()).turn


class JobQueue:
    """Jobs that wait, in lanes of one team and class, oldest first.

    Jobs of a lane share one target, so that the oldest is due first; only the
    heads of the lanes have to be compared.
    """

    def __init__(self):
        self.lanes: dict[Lane, SortedDict] = {}
        self.places: dict[str, tuple[Lane, tuple[float, str]]] = {}

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.places

    def add(self, job: Job) -> None:
        """Add a job, or replace it."""
        self.remove(job.job_id)
        lane = (job.team, job.spec.work_class)
        place = (job.submitted_s, job.job_id)
        self.lanes.setdefault(lane, SortedDict())[place] = job
        self.places[job.job_id] = (lane, place)

    def remove(self, job_id: str) -> None:
        """Remove a job if it waits."""
        found = self.places.pop(job_id, None)
        if found is None:
            return
        lane, place = found
        del self.lanes[lane][place]
        if not self.lanes[lane]:
            del self.lanes[lane]

    def teams(self) -> set[str]:
        """Return the teams that have jobs here."""
        return {team for team, _ in self.lanes}

    def lanes_of(self, team: str) -> list[Lane]:
        """Return a team's lanes."""
        return [lane for lane in self.lanes if lane[0] == team]

    def first(self, lane: Lane, count: int = BACKFILL_DEPTH) -> Iterator[Job]:
        """Yield the oldest jobs of a lane."""
        jobs = self.lanes.get(lane, {}).values()
        yield from list(jobs[:count]) if jobs else ()

    def jobs(self) -> Iterator[Job]:
        """Yield every job that waits."""
        for lane in self.lanes.values():
            yield from lane.values()
