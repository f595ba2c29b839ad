"""The admission queue: which waiting request of a node starts next."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from sortedcontainers import SortedList

from .service_times import ServiceTimes

MAX_WAITING = 2_000
MAX_WAITING_PER_TEAM = 500
# A team that no report mentions yet counts as one with a small part.
SMALLEST_PART = 0.1
# Time that a request is charged before any of its class has ended, in seconds.
FIRST_CHARGE_S = 0.05


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """One request that asks to start; tickets sort by urgency.

    Attributes:
        deadline_s: When the answer is due, monotonic seconds.
        number: Unique number in order of arrival.
        team: Team, empty for work open to all.
        pool: Pool that it goes to.
        work_class: Name of its class.
        on_time_share: Part of the class that must be answered in time.
    """

    deadline_s: float
    number: int
    team: str
    pool: str
    work_class: str
    on_time_share: float = 0.99


class Why(Enum):
    """Why a request was given up."""

    LIMIT = "the team's limit leaves no room in time"
    POOL = "the pool has no room in time"
    FULL = "too many requests wait"
    STANDING = "this node may be out of date"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is given up without having run.

    Attributes:
        ticket: The request.
        why: What it lacked.
        retry_after_s: Seconds after which it may fare better.
    """

    ticket: Ticket
    why: Why
    retry_after_s: float


@dataclass(slots=True)
class Verdicts:
    """What became of requests in one step.

    Attributes:
        started: Requests that start now.
        refused: Requests that are given up now.
    """

    started: list[Ticket] = field(default_factory=list)
    refused: list[Refusal] = field(default_factory=list)


@dataclass(slots=True)
class PoolState:
    """One pool at one node.

    Attributes:
        budget: Units that may run from this node.
        parts: Units of each team at this node by the last division.
        running: Units that run, by team.
        waiting: Waiting requests by team, the most urgent first.
        ready: ``(level, team)`` of teams that wait and are not blocked.
        levels: Level under which each team stands in ``ready``.
        weight: Sum of the parts of the teams in ``ready``.
        virtual_s: Virtual time of each team: the unit-seconds that it used,
            or is likely to use, per unit of its part.
        begun_s: Virtual time at which the last request started.
    """

    budget: int = 0
    parts: dict[str, float] = field(default_factory=dict)
    running: Counter = field(default_factory=Counter)
    running_total: int = 0
    waiting: dict[str, SortedList] = field(default_factory=dict)
    waiting_total: int = 0
    ready: SortedList = field(default_factory=SortedList)
    levels: dict[str, float] = field(default_factory=dict)
    weight: float = 0.0
    virtual_s: dict[str, float] = field(default_factory=dict)
    begun_s: float = 0.0

    def charge(self, team: str, seconds: float) -> None:
        """Charge a team for the time of a unit; a negative time is given back."""
        used = seconds / self.part_of(team)
        self.virtual_s[team] = self.virtual_s.get(team, 0.0) + used

    def catch_up(self, team: str) -> None:
        """Let a team that comes back begin with the others.

        It may neither use up later what it left to others, nor pay for what it
        was lent.
        """
        known = self.virtual_s.get(team, 0.0)
        self.virtual_s[team] = max(known, self.begun_s)

    def part_of(self, team: str) -> float:
        """Return a team's part at this node."""
        return max(self.parts.get(team, 0.0), SMALLEST_PART)


class AdmissionQueue:
    """Starts waiting requests fairly between teams and urgently within each.

    Each team has a queue of its own in each pool. A free unit goes to the team
    that used the least time per unit of its part, and there to the request whose
    target is nearest. Parts below one unit are kept too, by taking turns. A
    request that can't meet its target is given up at once. A step costs O(log n)
    in the number of teams and waiting requests.

    Args:
        allowance: Returns the units that a team may run on this node now.
    """

    def __init__(self, allowance: Callable[[str], int]):
        self.allowance = allowance
        self.pools: dict[str, PoolState] = {}
        self.team_running: Counter = Counter()
        self.team_waiting: Counter = Counter()
        self.waiting_total = 0
        self.blocked: dict[str, set[str]] = {}
        self.times: dict[str, ServiceTimes] = {}
        self.charged: dict[Ticket, float] = {}

    def pool(self, name: str) -> PoolState:
        """Return the state of a pool."""
        if name not in self.pools:
            self.pools[name] = PoolState()
        return self.pools[name]

    def divide(self, name: str, budget: int, parts: dict[str, float]) -> None:
        """Take over a new division of a pool; ``refresh`` acts on it."""
        pool = self.pool(name)
        teams = list(pool.levels)
        for team in teams:
            self._unplace(pool, team)
        pool.budget = budget
        pool.parts = parts
        for team in teams:
            self._place(pool, team)

    def offer(self, ticket: Ticket, now_s: float) -> Verdicts:
        """Let a request ask; it starts, waits or is given up."""
        verdicts = Verdicts()
        if self._is_full(ticket.team):
            refusal = Refusal(ticket, Why.FULL, self._service_s(ticket))
            verdicts.refused.append(refusal)
            return verdicts
        pool = self.pool(ticket.pool)
        queue = pool.waiting.setdefault(ticket.team, SortedList())
        if not queue:
            pool.catch_up(ticket.team)
        queue.add(ticket)
        self._count_waiting(pool, ticket.team, 1)
        if ticket.pool not in self.blocked.get(ticket.team, ()):
            self._place(pool, ticket.team)
        self._start(pool, ticket.pool, now_s, verdicts)
        self._trim(pool, ticket.team, now_s, verdicts)
        return verdicts

    def release(self, ticket: Ticket, held_s: float, now_s: float) -> Verdicts:
        """Take a unit back and start what waits for it.

        Args:
            ticket: Request that has ended.
            held_s: Seconds for which it held its unit.
            now_s: Monotonic seconds.
        """
        verdicts = Verdicts()
        if held_s > 0:
            self.times.setdefault(ticket.work_class, ServiceTimes()).add(held_s)
        pool = self.pool(ticket.pool)
        self._count_running(pool, ticket.team, -1)
        pool.charge(ticket.team, held_s - self.charged.pop(ticket))
        if ticket.team in pool.levels:
            self._place(pool, ticket.team)
        for name in self._unblock(ticket.team):
            self._start(self.pool(name), name, now_s, verdicts)
        self._start(pool, ticket.pool, now_s, verdicts)
        return verdicts

    def withdraw(self, ticket: Ticket) -> None:
        """Forget a waiting request whose caller has gone."""
        pool = self.pool(ticket.pool)
        queue = pool.waiting.get(ticket.team)
        if queue is not None and ticket in queue:
            self._take(pool, ticket)

    def refresh(self, now_s: float) -> Verdicts:
        """Act on new divisions and allowances, and on the time that went by."""
        verdicts = Verdicts()
        for team in list(self.blocked):
            self._unblock(team)
        for name, pool in self.pools.items():
            self._start(pool, name, now_s, verdicts)
            for team in [team for team, queue in pool.waiting.items() if queue]:
                self._trim(pool, team, now_s, verdicts)
        return verdicts

    def missing(self, team: str, pool: str) -> int:
        """Return the waiting units that a team's allowance has no room for."""
        if pool not in self.blocked.get(team, ()):
            return 0
        return len(self.pools[pool].waiting.get(team, ()))

    def _is_full(self, team):
        return (
            self.waiting_total >= MAX_WAITING
            or self.team_waiting[team] >= MAX_WAITING_PER_TEAM
        )

    def _start(self, pool, name, now_s, verdicts):
        while pool.ready and pool.running_total < pool.budget:
            team = pool.ready[0][1]
            if team and self.team_running[team] >= self.allowance(team):
                self._unplace(pool, team)
                self.blocked.setdefault(team, set()).add(name)
                continue
            ticket = pool.waiting[team][0]
            if now_s + self._service_s(ticket) > ticket.deadline_s:
                verdicts.refused.append(self._refusal(ticket, 0.0))
                self._take(pool, ticket)
                continue
            self._take(pool, ticket)
            self._count_running(pool, team, 1)
            pool.begun_s = max(pool.begun_s, pool.virtual_s[team])
            self.charged[ticket] = self._likely_s(ticket)
            pool.charge(team, self.charged[ticket])
            if team in pool.levels:
                self._place(pool, team)
            verdicts.started.append(ticket)

    def _trim(self, pool, team, now_s, verdicts):
        # The least urgent go first: those ahead of them keep their places.
        queue = pool.waiting.get(team)
        while queue:
            last = queue[-1]
            wait_s = self._wait_s(pool, last, len(queue))
            late_s = now_s + wait_s + self._service_s(last) - last.deadline_s
            if late_s <= 0:
                return
            verdicts.refused.append(self._refusal(last, late_s))
            self._take(pool, last)

    def _wait_s(self, pool, ticket, place):
        """Return when the request at a place of its queue is likely to start."""
        times = self.times.get(ticket.work_class)
        if times is None:
            return 0.0
        part = pool.part_of(ticket.team)
        units = pool.budget * part / max(part, pool.weight)
        units = max(units, pool.running[ticket.team], 1)
        if ticket.team:
            units = min(units, max(1, self.allowance(ticket.team)))
        return place * times.mean_s / units

    def _service_s(self, ticket):
        times = self.times.get(ticket.work_class)
        return times.quantile_s(ticket.on_time_share) if times is not None else 0.0

    def _likely_s(self, ticket):
        times = self.times.get(ticket.work_class)
        return times.mean_s if times is not None else FIRST_CHARGE_S

    def _refusal(self, ticket, late_s):
        blocked = ticket.pool in self.blocked.get(ticket.team, ())
        why = Why.LIMIT if blocked else Why.POOL
        return Refusal(ticket, why, max(late_s, self._service_s(ticket)))

    def _place(self, pool, team):
        self._unplace(pool, team)
        level = pool.virtual_s[team]
        pool.levels[team] = level
        pool.ready.add((level, team))
        pool.weight += pool.part_of(team)

    def _unplace(self, pool, team):
        level = pool.levels.pop(team, None)
        if level is not None:
            pool.ready.remove((level, team))
            # Sums of floats drift; an empty queue is the moment to begin anew.
            pool.weight = pool.weight - pool.part_of(team) if pool.ready else 0.0

    def _take(self, pool, ticket):
        queue = pool.waiting[ticket.team]
        queue.remove(ticket)
        self._count_waiting(pool, ticket.team, -1)
        if not queue:
            self._unplace(pool, ticket.team)
            self._forget_block(ticket.team, ticket.pool)

    def _unblock(self, team):
        names = self.blocked.pop(team, set())
        for name in names:
            self._place(self.pool(name), team)
        return names

    def _forget_block(self, team, name):
        names = self.blocked.get(team)
        if names is not None:
            names.discard(name)
            if not names:
                del self.blocked[team]

    def _count_running(self, pool, team, change):
        pool.running[team] += change
        pool.running_total += change
        self.team_running[team] += change

    def _count_waiting(self, pool, team, change):
        pool.waiting_total += change
        self.team_waiting[team] += change
        self.waiting_total += change
