"""Admission: whether and when a team's request may start on this node."""

import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gevent.event import AsyncResult

from heatherhatch_core.coordination.admission_queue import (
    AdmissionQueue,
    AdmissionResult,
    AdmissionTicket,
    Refusal,
    RefusalReason,
)
from heatherhatch_core.coordination.fair_share import (
    Division,
    TeamDemand,
    divide_pool,
)
from heatherhatch_core.coordination.smoothing import SmoothedDemand
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import WorkClass, WorkerState

from .follower import Follower
from .grants import GrantKeeper
from .registrar import Registrar
from .task import Task

ADMISSION_PERIOD_S = 0.1
# How often the queue of long jobs is counted, in seconds.
JOB_REPORT_S = 1.0
# After which a caller may ask again when this node lost its standing, in seconds.
STANDING_RETRY_S = 1.0
OPEN_WEIGHT = 1.0

KIND_OF_REFUSAL = {
    RefusalReason.LIMIT: ErrorKind.LIMIT_REACHED,
    RefusalReason.POOL: ErrorKind.DEADLINE_UNREACHABLE,
    RefusalReason.FULL: ErrorKind.DEADLINE_UNREACHABLE,
    RefusalReason.STANDING: ErrorKind.NO_STANDING,
}


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to have one unit of work running.

    Attributes:
        ticket: Request that holds it.
        started_s: When it was given, monotonic seconds.
    """

    ticket: AdmissionTicket
    started_s: float

    @property
    def team(self) -> str:
        """Team whose limit it counts against, empty for open work."""
        return self.ticket.team

    @property
    def pool(self) -> str:
        """Pool that the work goes to."""
        return self.ticket.pool


def cpus_by_pool(config: Configuration) -> dict[str, int]:
    """Return the units that each pool carries at once: one per processor."""
    capacities = dict.fromkeys(config.pools, 0)
    for worker in config.workers.values():
        if config.state_of(worker.worker_id) is WorkerState.SERVING:
            capacities[config.pool_of(worker.worker_id)] += worker.cpus
    return capacities


@dataclass(frozen=True, slots=True)
class PoolReports:
    """What the division of a pool goes by.

    Attributes:
        seq: Log position of the shares.
        capacity: Units that the pool carries at once.
        nodes: Members by name.
        demands: What the nodes report.
    """

    seq: int
    capacity: int
    nodes: tuple[str, ...]
    demands: tuple[TeamDemand, ...]


@dataclass(frozen=True, slots=True)
class QuietFleet:
    """What the division goes by while no node reports work.

    Attributes:
        seq: Log position of the shares.
        nodes: Members by name.
    """

    seq: int
    nodes: tuple[str, ...]


class Admission(Task):
    """Hands out permits within the teams' grants and their fair shares.

    Args:
        follower: Source of the configuration.
        registrar: Source of the live nodes.
        keeper: Source of the teams' allowances on this node.
        reports: Returns the latest reports of the other nodes by name.
        clock: Returns monotonic seconds.
        capacities_of: Returns the units that each pool carries at once.
    """

    def __init__(
        self,
        follower: Follower,
        registrar: Registrar,
        keeper: GrantKeeper,
        reports: Callable[[], Mapping[str, tuple[Demand, ...]]],
        clock: Callable[[], float],
        capacities_of: Callable[[Configuration], dict[str, int]] = cpus_by_pool,
    ):
        super().__init__("admission", ADMISSION_PERIOD_S, clock)
        self.follower = follower
        self.registrar = registrar
        self.keeper = keeper
        self.reports = reports
        self.capacities_of = capacities_of
        self.capacities: dict[str, int] = {}
        self.capacities_seq = -1
        self.divided: dict[str, PoolReports] = {}
        self.smoothed: dict[str, SmoothedDemand] = {}
        self.queue = AdmissionQueue(keeper.allowance)
        self.numbers = itertools.count()
        self.waiters: dict[AdmissionTicket, AsyncResult] = {}
        self.job_demand: Callable[[], tuple[Demand, ...]] = tuple
        self.job_reports: tuple[Demand, ...] = ()
        self.job_reports_s = float("-inf")
        self.rested: QuietFleet | None = None

    @property
    def running(self) -> Counter:
        """Units that run from this node, by team."""
        return self.queue.team_running

    def acquire(self, team: str, work_class: WorkClass, deadline_s: float) -> Permit:
        """Return a permit, after waiting for it if that can help.

        Args:
            team: Team that asks, empty for open work.
            work_class: Class of the work.
            deadline_s: When the answer is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``LIMIT_REACHED``, ``DEADLINE_UNREACHABLE`` or
                ``NO_STANDING``; the work has not run.
        """
        self._check_bound(team, work_class)
        ticket = AdmissionTicket(
            deadline_s,
            next(self.numbers),
            team,
            work_class.pool,
            work_class.name,
            work_class.on_time_share,
        )
        if work_class.pool not in self.divided:
            self._divide_all()
        result = self.queue.offer(ticket, self.clock())
        if result.started != [ticket]:
            waiter = self.waiters[ticket] = AsyncResult()
            self._tell(result)
            self._wait(ticket, waiter)
        permit = Permit(ticket, self.clock())
        self._check_standing(permit)
        return permit

    def release(self, permit: Permit) -> None:
        """Give a permit back."""
        now = self.clock()
        held = now - permit.started_s
        self._tell(self.queue.release(permit.ticket, held, now))

    def step(self) -> None:
        """Divide the pools anew and act on what has changed."""
        if self.clock() - self.job_reports_s >= JOB_REPORT_S:
            self.job_reports = self.job_demand()
            self.job_reports_s = self.clock()
        quiet = self._quiet_fleet()
        if quiet is not None and quiet == self.rested:
            # Nothing runs or waits on any node, and all is divided for that.
            return
        self._divide_all()
        if not self.keeper.may_spend():
            self._refuse_teams()
        self._tell(self.queue.refresh(self.clock()))
        self.rested = quiet

    def demand(self) -> tuple[Demand, ...]:
        """Return what this node tells its peers."""
        reports = []
        for name, pool in self.queue.pools.items():
            teams = {*pool.running, *pool.waiting}
            for team in teams:
                running = pool.running[team]
                waiting = len(pool.waiting.get(team, ()))
                if running or waiting:
                    missing = self.queue.missing(team, name)
                    reports.append(Demand(team, name, running, waiting, missing))
        return (*reports, *self.job_reports)

    def pressure(self, pool: str) -> float:
        """Return the units that requests lack in a pool, over all nodes.

        Args:
            pool: Pool that is asked about.

        Returns:
            Units that wait for the pool as a part of its capacity: 0 if none
            does, 1 and more if as many wait as can run.
        """
        waiting = sum(
            item.waiting - item.missing
            for items in self._all_reports().values()
            for item in items
            if item.pool == pool
        )
        return waiting / max(1, self._capacities().get(pool, 0))

    def _check_bound(self, team, work_class):
        # A part in the record promises when work under it has ended; longer
        # work has to wait until the keeper has written a longer bound.
        ends_by = self.keeper.ends_by_s(team) if team else 0.0
        if ends_by and work_class.target_s > ends_by:
            raise HeatherhatchError(ErrorKind.LIMIT_REACHED, "the grant is too short")

    def _check_standing(self, permit):
        # Time may have passed since the queue decided.
        if permit.team and not self.keeper.may_spend():
            self._tell(self.queue.release(permit.ticket, 0.0, self.clock()))
            raise HeatherhatchError(ErrorKind.NO_STANDING)

    def _wait(self, ticket, waiter):
        try:
            refusal = waiter.get()
        except BaseException:
            self._abandon(ticket, waiter)
            raise
        if refusal is not None:
            kind = KIND_OF_REFUSAL[refusal.why]
            raise HeatherhatchError(kind, refusal.why.value, refusal.retry_after_s)

    def _refuse_teams(self):
        # Without standing no team's work can start; waiting would not help.
        for ticket, waiter in list(self.waiters.items()):
            if ticket.team:
                self.queue.withdraw(ticket)
                del self.waiters[ticket]
                waiter.set(Refusal(ticket, RefusalReason.STANDING, STANDING_RETRY_S))

    def _abandon(self, ticket, waiter):
        self.waiters.pop(ticket, None)
        if waiter.ready() and waiter.value is None:
            self._tell(self.queue.release(ticket, 0.0, self.clock()))
        else:
            self.queue.withdraw(ticket)

    def _tell(self, result: AdmissionResult):
        for ticket in result.started:
            self._answer(ticket, None)
        for refusal in result.refused:
            self._answer(refusal.ticket, refusal)

    def _answer(self, ticket: AdmissionTicket, refusal: Refusal | None):
        waiter = self.waiters.pop(ticket, None)
        if waiter is not None:
            waiter.set(refusal)

    def _all_reports(self) -> dict[str, tuple[Demand, ...]]:
        return {**self.reports(), self.registrar.entry.name: self.demand()}

    def _capacities(self) -> dict[str, int]:
        config = self.follower.config
        if config.seq != self.capacities_seq:
            self.capacities = self.capacities_of(config)
            self.capacities_seq = config.seq
        return self.capacities

    def _quiet_fleet(self) -> QuietFleet | None:
        """Return what to divide by if nothing is reported, None if something is."""
        if any(self._all_reports().values()):
            return None
        # Work that has just ended still counts until its smoothing has ended.
        if any(smoothed.units for smoothed in self.smoothed.values()):
            return None
        return QuietFleet(self.follower.config.seq, self._node_names())

    def _node_names(self) -> tuple[str, ...]:
        return tuple(sorted(e.name for e in self.registrar.membership.all_members))

    def _divide_all(self):
        now = self.clock()
        seq = self.follower.config.seq
        capacities = self._capacities()
        nodes = self._node_names()
        demands: dict[str, list[TeamDemand]] = {pool: [] for pool in capacities}
        for node, items in self._all_reports().items():
            for item in items:
                if item.wanted and item.pool in demands:
                    demand = TeamDemand(item.team, node, item.wanted)
                    demands[item.pool].append(demand)
        for pool, capacity in capacities.items():
            smoothed = self.smoothed.setdefault(pool, SmoothedDemand())
            followed = smoothed.follow(demands[pool], now)
            reports = PoolReports(seq, capacity, nodes, followed)
            if self.divided.get(pool) != reports:
                self._divide(pool, reports)
                self.divided[pool] = reports

    def _divide(self, pool, reports):
        config = self.follower.config
        weights = {item.team: _weight_of(config, item.team) for item in reports.demands}
        division: Division = divide_pool(
            reports.capacity, reports.demands, weights, reports.nodes
        )
        own = self.registrar.entry.name
        # A node keeps one unit, so that a pool smaller than the number of
        # nodes can be reached from each of them.
        budget = max(1, division.budgets[own]) if reports.capacity else 0
        self.queue.set_division(pool, budget, division.parts[own])


def _weight_of(config: Configuration, team: str) -> float:
    stated = config.teams.get(team)
    return stated.share if stated is not None else OPEN_WEIGHT
