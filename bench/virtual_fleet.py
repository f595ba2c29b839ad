"""Simulates the decisions of seven nodes in virtual time, without input or output."""

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
from heatherhatch_daemon.tasks.grants import GRANT_PERIOD_S, TeamGrants
from heatherhatch_daemon.transport.memory_store import MemoryStore

NODES = tuple(f"node-{i + 1}" for i in range(7))
POOL = "tills"
CLASS = "stock"
HEARTBEAT_S = 0.5
REFRESH_S = 0.1
SAMPLE_S = 0.01


class VirtualClock:
    """Clock that the fleet advances."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@dataclass(slots=True)
class StubFollower:
    """Stub of the follower that always has standing."""

    config: Configuration
    standing: Standing = field(default_factory=lambda: Standing(2.0))

    def has_standing(self) -> bool:
        return True

    def may_accept(self) -> bool:
        return True


@dataclass(slots=True)
class StubRegistrar:
    """Stub of the registrar with all nodes registered and live."""

    entry: NodeEntry
    membership: Membership


@dataclass(frozen=True, slots=True)
class Load:
    """Requests that the callers of one team send.

    Attributes:
        team: Name of the team.
        rate: Returns the requests per second at a time in seconds.
        spread: Relative frequency of requests at each node.
    """

    team: str
    rate: Callable[[float], float]
    spread: tuple[float, ...] = (1.0,) * len(NODES)


@dataclass(slots=True)
class Tally:
    """Results of a simulation.

    Attributes:
        samples: Running units by team, one counter for each sample.
        in_time: Number of requests that ended within their target.
        late: Number of requests that ran and ended after their target.
        refused: Number of requests that were refused.
        finished_s: End of each request that ended within its target, seconds.
    """

    samples: list[Counter] = field(default_factory=list)
    in_time: int = 0
    late: int = 0
    refused: int = 0
    finished_s: list[float] = field(default_factory=list)

    def units(self, team: str, begin_s: float, end_s: float) -> float:
        """Return the mean number of running units of a team over a window."""
        window = self.samples[round(begin_s / SAMPLE_S) : round(end_s / SAMPLE_S)]
        return sum(sample[team] for sample in window) / max(1, len(window))


class CoordinatedNode:
    """Node that uses the real admission queue, grants and fair shares."""

    def __init__(self, fleet: "VirtualFleet", name: str):
        self.fleet = fleet
        self.name = name
        entries = tuple(NodeEntry(n, "1", "127.0.0.1:1", "dc-1") for n in NODES)
        own = next(entry for entry in entries if entry.name == name)
        membership = Membership(own, Registry(1, entries, NODES))
        self.reports: dict[str, tuple[Demand, ...]] = {}
        self.team_grants = TeamGrants(
            fleet.store,
            StubFollower(fleet.config),
            StubRegistrar(own, membership),
            self.reports_of_all,
            fleet.clock,
        )
        self.queue = AdmissionQueue(self.team_grants.allowance)
        self.smoothed = SmoothedDemand()

    def reports_of_all(self) -> dict[str, tuple[Demand, ...]]:
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
            for node, items in self.reports_of_all().items()
            for item in items
            if item.wanted
        )
        weights = {team.name: team.share for team in self.fleet.config.teams.values()}
        demands = self.smoothed.smooth(demands, self.fleet.clock())
        division = divide_pool(self.fleet.capacity, demands, weights, NODES)
        parts = division.parts[self.name]
        self.queue.set_division(POOL, division.budgets[self.name], parts)
        self.fleet.handle_result(self, self.queue.refresh(self.fleet.clock()))

    def offer(self, ticket: AdmissionTicket) -> None:
        self.fleet.handle_result(self, self.queue.offer(ticket, self.fleet.clock()))

    def end(self, ticket: AdmissionTicket, held_s: float) -> None:
        self.fleet.handle_result(
            self, self.queue.release(ticket, held_s, self.fleet.clock())
        )


class BaselineNode:
    """Baseline node: an even part of capacity and limits, first come first served."""

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
    """Event-driven simulation of nodes under load.

    Args:
        teams: Teams with their shares and limits.
        capacity: Units that the pool can run at the same time.
        service_s: Mean service time in seconds; the times vary by up to 50% around it.
        target_s: Target of the class, seconds.
        baseline: True to simulate baseline nodes.
        seed: Seed of the arrivals and service times.
    """

    def __init__(
        self,
        teams: tuple[Team, ...],
        capacity: int,
        service_s: float,
        target_s: float,
        baseline: bool = False,
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
        self.baseline = baseline
        node_type = BaselineNode if baseline else CoordinatedNode
        self.nodes = [node_type(self, name) for name in NODES]

    def run(self, loads: tuple[Load, ...], seconds: float) -> Tally:
        """Simulate a number of seconds and return the results."""
        for load in loads:
            self.schedule(0.0, lambda load=load: self.arrive(load))
        self.schedule(0.0, self.sample)
        if not self.baseline:
            for index, node in enumerate(self.nodes):
                phase = index / len(self.nodes)
                self.repeat(node.team_grants.step, GRANT_PERIOD_S, phase)
                self.repeat(node.refresh, REFRESH_S, phase)
                self.repeat(lambda n=node: self.exchange_reports(n), HEARTBEAT_S, phase)
        while self.events and self.events[0][0] <= seconds:
            self.clock.now_s, _, action = heapq.heappop(self.events)
            action()
        return self.tally

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.numbers), action))

    def repeat(self, action: Callable[[], None], period_s: float, phase: float):
        def run_and_repeat():
            action()
            self.schedule(self.clock() + period_s, run_and_repeat)

        self.schedule(phase * period_s, run_and_repeat)

    def exchange_reports(self, node: CoordinatedNode) -> None:
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
            self.schedule(
                now + self.random.expovariate(rate), lambda: self.arrive(load)
            )
        else:
            self.schedule(now + SAMPLE_S, lambda: self.arrive(load))

    def handle_result(self, node, result) -> None:
        self.tally.refused += len(result.refused)
        for ticket in result.started:
            self.begin(node, ticket)

    def begin(self, node, ticket: AdmissionTicket) -> None:
        self.running[ticket.team] += 1
        drawn_s = self.service_s * self.random.uniform(0.5, 1.5)
        self.schedule(
            self.clock() + drawn_s, lambda: self.finish(node, ticket, drawn_s)
        )

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
        self.schedule(self.clock() + SAMPLE_S, self.sample)
