"""Seven nodes' decisions on a virtual clock: no sockets, no processes."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from heatherhatch_core.coordination.admission_queue import (
    AdmissionQueue,
    AdmissionTicket,
)
from heatherhatch_core.coordination.fair_share import TeamDemand, divide_pool
from heatherhatch_core.coordination.grants import even_grant
from heatherhatch_core.coordination.membership import Membership, Registry
from heatherhatch_core.coordination.smoothing import SmoothedDemand
from heatherhatch_core.coordination.standing import Standing
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import Pool, Team, WorkClass, WorkKind
from heatherhatch_core.state.nodes import NodeEntry
from heatherhatch_daemon.tasks.grants import GRANT_PERIOD_S, GrantKeeper
from heatherhatch_daemon.transport.memory_store import MemoryStore

NODES = tuple(f"node-{i + 1}" for i in range(7))
POOL = "tills"
CLASS = "stock"
HEARTBEAT_S = 0.5
REFRESH_S = 0.1
SAMPLE_S = 0.01


class VirtualClock:
    """A clock that the fleet moves."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@dataclass(slots=True)
class CalmFollower:
    """A follower that always has standing."""

    config: Configuration
    standing: Standing = field(default_factory=lambda: Standing(2.0))

    def has_standing(self) -> bool:
        return True

    def may_accept(self) -> bool:
        return True


@dataclass(slots=True)
class CalmRegistrar:
    """A registrar in whose registry every node stands."""

    entry: NodeEntry
    membership: Membership


@dataclass(frozen=True, slots=True)
class Load:
    """What one team's callers send.

    Attributes:
        team: Team.
        rate: Returns requests a second at a time.
        spread: Weights of the nodes that the requests reach.
    """

    team: str
    rate: Callable[[float], float]
    spread: tuple[float, ...] = (1.0,) * len(NODES)


@dataclass(slots=True)
class Tally:
    """What was measured.

    Attributes:
        samples: Units that ran, by team, one line per sample.
        in_time: Requests that ended within their target.
        late: Requests that ran and ended after it.
        refused: Requests that were given up.
        finished_s: When each request that was in time ended.
    """

    samples: list[Counter] = field(default_factory=list)
    in_time: int = 0
    late: int = 0
    refused: int = 0
    finished_s: list[float] = field(default_factory=list)

    def units(self, team: str, begin_s: float, end_s: float) -> float:
        """Return the mean of a team's running units over a window."""
        window = self.samples[round(begin_s / SAMPLE_S) : round(end_s / SAMPLE_S)]
        return sum(sample[team] for sample in window) / max(1, len(window))


class SharedNode:
    """One node with the product's decisions."""

    def __init__(self, fleet: "VirtualFleet", name: str):
        self.fleet = fleet
        self.name = name
        entries = tuple(NodeEntry(n, "1", "127.0.0.1:1", "dc-1") for n in NODES)
        own = next(entry for entry in entries if entry.name == name)
        membership = Membership(own, Registry(1, entries, NODES))
        self.reports: dict[str, tuple[Demand, ...]] = {}
        self.keeper = GrantKeeper(
            fleet.store,
            CalmFollower(fleet.config),
            CalmRegistrar(own, membership),
            self.all_reports,
            fleet.clock,
        )
        self.queue = AdmissionQueue(self.keeper.allowance)
        self.smoothed = SmoothedDemand()

    def all_reports(self) -> dict[str, tuple[Demand, ...]]:
        return {**self.reports, self.name: self.report()}

    def report(self) -> tuple[Demand, ...]:
        pool = self.queue.pool(POOL)
        return tuple(
            Demand(
                team,
                POOL,
                pool.running[team],
                len(pool.waiting.get(team, ())),
                self.queue.missing(team, POOL),
            )
            for team in sorted({*pool.running, *pool.waiting})
        )

    def refresh(self) -> None:
        demands = tuple(
            TeamDemand(item.team, node, item.wanted)
            for node, items in self.all_reports().items()
            for item in items
            if item.wanted
        )
        weights = {team.name: team.share for team in self.fleet.config.teams.values()}
        demands = self.smoothed.follow(demands, self.fleet.clock())
        division = divide_pool(self.fleet.capacity, demands, weights, NODES)
        parts = division.parts[self.name]
        self.queue.set_division(POOL, division.budgets[self.name], parts)
        self.fleet.take(self, self.queue.refresh(self.fleet.clock()))

    def offer(self, ticket: AdmissionTicket) -> None:
        self.fleet.take(self, self.queue.offer(ticket, self.fleet.clock()))

    def end(self, ticket: AdmissionTicket, held_s: float) -> None:
        self.fleet.take(self, self.queue.release(ticket, held_s, self.fleet.clock()))


class AloneNode:
    """The baseline: an even part of everything, first come first served."""

    def __init__(self, fleet: "VirtualFleet", name: str):
        self.fleet = fleet
        self.budget = even_grant(fleet.capacity, NODES, name)
        self.grants = {
            team.name: even_grant(team.limit, NODES, name)
            for team in fleet.config.teams.values()
        }
        self.running: Counter = Counter()
        self.waiting: list[AdmissionTicket] = []

    def offer(self, ticket: AdmissionTicket) -> None:
        self.waiting.append(ticket)
        self.start()

    def end(self, ticket: AdmissionTicket, held_s: float) -> None:
        self.running[ticket.team] -= 1
        self.start()

    def start(self) -> None:
        while self.waiting and self.running.total() < self.budget:
            ticket = self.waiting[0]
            if self.running[ticket.team] >= self.grants[ticket.team]:
                return
            self.waiting.pop(0)
            self.running[ticket.team] += 1
            self.fleet.begin(self, ticket)


class VirtualFleet:
    """Nodes under load, moved from event to event.

    Args:
        teams: Teams with shares and limits.
        capacity: Units that the pool carries at once.
        service_s: Mean service time; single times are spread around it.
        target_s: Target of the class.
        alone: True for the baseline.
        seed: Seed of arrivals and service times.
    """

    def __init__(
        self,
        teams: tuple[Team, ...],
        capacity: int,
        service_s: float,
        target_s: float,
        alone: bool = False,
        seed: int = 1,
    ):
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.capacity = capacity
        self.service_s = service_s
        self.target_s = target_s
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.config = Configuration(
            seq=1,
            pools={POOL: Pool(POOL, 0)},
            teams={team.name: team for team in teams},
            classes={CLASS: WorkClass(CLASS, POOL, WorkKind.REQUEST, target_s)},
        )
        self.tally = Tally()
        self.running: Counter = Counter()
        self.events: list = []
        self.alone = alone
        kind = AloneNode if alone else SharedNode
        self.nodes = [kind(self, name) for name in NODES]

    def run(self, loads: tuple[Load, ...], seconds: float) -> Tally:
        """Run for some seconds and return what was measured."""
        for load in loads:
            self.at(0.0, lambda load=load: self.arrive(load))
        self.at(0.0, self.sample)
        if not self.alone:
            for index, node in enumerate(self.nodes):
                phase = index / len(self.nodes)
                self.repeat(node.keeper.step, GRANT_PERIOD_S, phase)
                self.repeat(node.refresh, REFRESH_S, phase)
                self.repeat(lambda n=node: self.exchange(n), HEARTBEAT_S, phase)
        while self.events and self.events[0][0] <= seconds:
            self.clock.now_s, _, action = heapq.heappop(self.events)
            action()
        return self.tally

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def repeat(self, action: Callable[[], None], period_s: float, phase: float):
        def again():
            action()
            self.at(self.clock() + period_s, again)

        self.at(phase * period_s, again)

    def exchange(self, node: SharedNode) -> None:
        for other in self.nodes:
            if other is not node:
                node.reports[other.name] = other.report()

    def arrive(self, load: Load) -> None:
        now = self.clock()
        rate = load.rate(now)
        if rate > 0:
            node = self.random.choices(self.nodes, load.spread)[0]
            number = next(self.numbers)
            deadline = now + self.target_s
            node.offer(AdmissionTicket(deadline, number, load.team, POOL, CLASS))
            self.at(now + self.random.expovariate(rate), lambda: self.arrive(load))
        else:
            self.at(now + SAMPLE_S, lambda: self.arrive(load))

    def take(self, node, result) -> None:
        self.tally.refused += len(result.refused)
        for ticket in result.started:
            self.begin(node, ticket)

    def begin(self, node, ticket: AdmissionTicket) -> None:
        self.running[ticket.team] += 1
        held = self.service_s * self.random.uniform(0.5, 1.5)
        self.at(self.clock() + held, lambda: self.finish(node, ticket, held))

    def finish(self, node, ticket: AdmissionTicket, held_s: float) -> None:
        self.running[ticket.team] -= 1
        if self.clock() <= ticket.deadline_s:
            self.tally.in_time += 1
            self.tally.finished_s.append(self.clock())
        else:
            self.tally.late += 1
        node.end(ticket, held_s)

    def sample(self) -> None:
        self.tally.samples.append(Counter(self.running))
        self.at(self.clock() + SAMPLE_S, self.sample)
