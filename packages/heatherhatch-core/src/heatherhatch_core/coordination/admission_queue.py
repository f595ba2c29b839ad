"""Admission queue: selects which waiting request of a node starts next."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from sortedcontainers import SortedList

from .service_times import ServiceTimes

MAX_WAITING_REQUESTS = 2_000
MAX_WAITING_PER_TEAM = 500
# Lower bound of a team's part, which also applies to a team that is not in any
# report yet.
MIN_PART_UNITS = 0.1
# Seconds charged for a request before any request of its class has ended.
INITIAL_CHARGE_S = 0.05


@dataclass(frozen=True, slots=True, order=True)
class AdmissionTicket:
    """One request that waits for admission; tickets sort by deadline.

    Attributes:
        deadline_s: When the response is due, monotonic seconds.
        number: Unique number in order of arrival.
        team: Name of the team, empty for work that is open to all.
        pool: Name of the pool that serves the request.
        work_class: Name of the class of work.
        on_time_share: Fraction of the class that must be answered in time.
    """

    deadline_s: float
    number: int
    team: str
    pool: str
    work_class: str
    on_time_share: float = 0.99


class RefusalReason(Enum):
    """Why a request was refused."""

    LIMIT = "the team's limit has no free capacity before the deadline"
    POOL = "the pool has no free capacity before the deadline"
    FULL = "too many requests are waiting"
    STANDING = "this node's configuration may be out of date"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is refused without having run.

    Attributes:
        ticket: The request.
        why: Reason for the refusal.
        retry_after_s: Seconds after which a retry may succeed.
    """

    ticket: AdmissionTicket
    why: RefusalReason
    retry_after_s: float


@dataclass(slots=True)
class AdmissionResult:
    """The requests that one step started or refused.

    Attributes:
        started: Requests that start now.
        refused: Requests that are refused now.
    """

    started: list[AdmissionTicket] = field(default_factory=list)
    refused: list[Refusal] = field(default_factory=list)


@dataclass(slots=True)
class PoolState:
    """State of one pool at one node.

    Attributes:
        budget: Units that may run from this node concurrently.
        parts: Units allotted to each team at this node by the last division.
        running: Running units by team.
        running_total: Running units of all teams.
        waiting: Waiting requests by team, earliest deadline first.
        waiting_total: Waiting requests of all teams.
        ready: ``(level, team)`` of the teams that wait and are not blocked,
            where the level is the team's virtual time when it was added.
        levels: Level of each team in ``ready``.
        weight: Sum of the parts of the teams in ``ready``.
        virtual_s: Virtual time of each team: the unit-seconds that it used,
            or is expected to use, per unit of its part.
        system_virtual_s: System virtual time: the highest virtual time of a team at the
            start of one of its requests.
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
    system_virtual_s: float = 0.0

    def charge(self, team: str, seconds: float) -> None:
        """Charge a team for the time of one unit; a negative time is a refund."""
        used = seconds / self.part_of(team)
        self.virtual_s[team] = self.virtual_s.get(team, 0.0) + used

    def catch_up(self, team: str) -> None:
        """Raise the virtual time of a returning team to that of the other teams.

        A team may not claim later the capacity that it left unused, and does not
        repay the extra capacity that it received while other teams were idle.
        """
        known = self.virtual_s.get(team, 0.0)
        self.virtual_s[team] = max(known, self.system_virtual_s)

    def part_of(self, team: str) -> float:
        """Return a team's part at this node."""
        return max(self.parts.get(team, 0.0), MIN_PART_UNITS)


class AdmissionQueue:
    """Starts waiting requests by fair share among teams, by deadline within each.

    Each team has its own queue in each pool. A free unit goes to the team with
    the least time used per unit of its part, and within that team to the request
    with the earliest deadline. Parts below one unit are respected too, because
    the teams alternate over time. A request that cannot meet its target time is
    refused immediately. A step costs O(log n) in the number of teams and waiting
    requests.

    Args:
        allowance: Returns the units that a team may run from this node now.
    """

    def __init__(self, allowance: Callable[[str], int]):
        self.allowance = allowance
        self.pools: dict[str, PoolState] = {}
        self.team_running: Counter = Counter()
        self.team_waiting: Counter = Counter()
        self.waiting_total = 0
        self.blocked: dict[str, set[str]] = {}
        self.times: dict[str, ServiceTimes] = {}
        self.charged: dict[AdmissionTicket, float] = {}

    def pool(self, name: str) -> PoolState:
        """Return the state of a pool, creating it on first use."""
        if name not in self.pools:
            self.pools[name] = PoolState()
        return self.pools[name]

    def set_division(self, name: str, budget: int, parts: dict[str, float]) -> None:
        """Set a new division of a pool; ``refresh`` starts requests under it."""
        pool = self.pool(name)
        teams = list(pool.levels)
        for team in teams:
            self._remove_ready(pool, team)
        pool.budget = budget
        pool.parts = parts
        for team in teams:
            self._add_ready(pool, team)

    def offer(self, ticket: AdmissionTicket, now_s: float) -> AdmissionResult:
        """Add a request, which starts, waits or is refused."""
        result = AdmissionResult()
        if self._is_full(ticket.team):
            refusal = Refusal(ticket, RefusalReason.FULL, self._service_s(ticket))
            result.refused.append(refusal)
            return result
        pool = self.pool(ticket.pool)
        queue = pool.waiting.setdefault(ticket.team, SortedList())
        if not queue:
            pool.catch_up(ticket.team)
        queue.add(ticket)
        self._count_waiting(pool, ticket.team, 1)
        if ticket.pool not in self.blocked.get(ticket.team, ()):
            self._add_ready(pool, ticket.team)
        self._start(pool, ticket.pool, now_s, result)
        self._refuse_late(pool, ticket.team, now_s, result)
        return result

    def release(
        self, ticket: AdmissionTicket, held_s: float, now_s: float
    ) -> AdmissionResult:
        """Release the unit of a request and start requests that wait for it.

        Args:
            ticket: Request that has ended.
            held_s: Seconds for which the request held its unit.
            now_s: Current monotonic time in seconds.
        """
        result = AdmissionResult()
        if held_s > 0:
            self.times.setdefault(ticket.work_class, ServiceTimes()).add(held_s)
        pool = self.pool(ticket.pool)
        self._count_running(pool, ticket.team, -1)
        pool.charge(ticket.team, held_s - self.charged.pop(ticket))
        if ticket.team in pool.levels:
            self._add_ready(pool, ticket.team)
        for name in self._unblock(ticket.team):
            self._start(self.pool(name), name, now_s, result)
        self._start(pool, ticket.pool, now_s, result)
        return result

    def withdraw(self, ticket: AdmissionTicket) -> None:
        """Remove a waiting request whose caller has disconnected."""
        pool = self.pool(ticket.pool)
        queue = pool.waiting.get(ticket.team)
        if queue is not None and ticket in queue:
            self._dequeue(pool, ticket)

    def refresh(self, now_s: float) -> AdmissionResult:
        """Apply new divisions and allowances, and refuse requests that became late."""
        result = AdmissionResult()
        for team in list(self.blocked):
            self._unblock(team)
        for name, pool in self.pools.items():
            self._start(pool, name, now_s, result)
            for team in [team for team, queue in pool.waiting.items() if queue]:
                self._refuse_late(pool, team, now_s, result)
        return result

    def missing(self, team: str, pool: str) -> int:
        """Return the waiting units that exceed a team's allowance."""
        if pool not in self.blocked.get(team, ()):
            return 0
        return len(self.pools[pool].waiting.get(team, ()))

    def _is_full(self, team):
        return (
            self.waiting_total >= MAX_WAITING_REQUESTS
            or self.team_waiting[team] >= MAX_WAITING_PER_TEAM
        )

    def _start(self, pool, name, now_s, result):
        while pool.ready and pool.running_total < pool.budget:
            team = pool.ready[0][1]
            if team and self.team_running[team] >= self.allowance(team):
                self._remove_ready(pool, team)
                self.blocked.setdefault(team, set()).add(name)
                continue
            ticket = pool.waiting[team][0]
            if now_s + self._service_s(ticket) > ticket.deadline_s:
                result.refused.append(self._refusal(ticket, 0.0))
                self._dequeue(pool, ticket)
                continue
            self._dequeue(pool, ticket)
            self._count_running(pool, team, 1)
            pool.system_virtual_s = max(pool.system_virtual_s, pool.virtual_s[team])
            self.charged[ticket] = self._expected_s(ticket)
            pool.charge(team, self.charged[ticket])
            if team in pool.levels:
                self._add_ready(pool, team)
            result.started.append(ticket)

    def _refuse_late(self, pool, team, now_s, result):
        # Requests with the latest deadline are refused first, because removing them
        # does not change the position of the requests ahead of them.
        queue = pool.waiting.get(team)
        while queue:
            last = queue[-1]
            wait_s = self._wait_s(pool, last, len(queue))
            late_s = now_s + wait_s + self._service_s(last) - last.deadline_s
            if late_s <= 0:
                return
            result.refused.append(self._refusal(last, late_s))
            self._dequeue(pool, last)

    def _wait_s(self, pool, ticket, position):
        """Return the expected wait in seconds of the request at a queue position."""
        times = self.times.get(ticket.work_class)
        if times is None:
            return 0.0
        part = pool.part_of(ticket.team)
        units = pool.budget * part / max(part, pool.weight)
        units = max(units, pool.running[ticket.team], 1)
        if ticket.team:
            units = min(units, max(1, self.allowance(ticket.team)))
        return position * times.mean_s / units

    def _service_s(self, ticket):
        times = self.times.get(ticket.work_class)
        return times.quantile_s(ticket.on_time_share) if times is not None else 0.0

    def _expected_s(self, ticket):
        times = self.times.get(ticket.work_class)
        return times.mean_s if times is not None else INITIAL_CHARGE_S

    def _refusal(self, ticket, late_s):
        blocked = ticket.pool in self.blocked.get(ticket.team, ())
        reason = RefusalReason.LIMIT if blocked else RefusalReason.POOL
        return Refusal(ticket, reason, max(late_s, self._service_s(ticket)))

    def _add_ready(self, pool, team):
        self._remove_ready(pool, team)
        level = pool.virtual_s[team]
        pool.levels[team] = level
        pool.ready.add((level, team))
        pool.weight += pool.part_of(team)

    def _remove_ready(self, pool, team):
        level = pool.levels.pop(team, None)
        if level is not None:
            pool.ready.remove((level, team))
            # The float sum accumulates rounding errors; it is reset when the queue
            # is empty.
            pool.weight = pool.weight - pool.part_of(team) if pool.ready else 0.0

    def _dequeue(self, pool, ticket):
        queue = pool.waiting[ticket.team]
        queue.remove(ticket)
        self._count_waiting(pool, ticket.team, -1)
        if not queue:
            self._remove_ready(pool, ticket.team)
            self._clear_block(ticket.team, ticket.pool)

    def _unblock(self, team):
        names = self.blocked.pop(team, set())
        for name in names:
            self._add_ready(self.pool(name), team)
        return names

    def _clear_block(self, team, name):
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
