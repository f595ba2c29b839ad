"""Admission: whether and when a team's request may start on this node."""

import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gevent.event import AsyncResult

from heatherhatch_core.coordination.admission_queue import (
    AdmissionQueue,
    Refusal,
    Ticket,
    Verdicts,
    Why,
)
from heatherhatch_core.coordination.fair_share import (
    Division,
    TeamDemand,
    divide_pool,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.demand import Demand
from heatherhatch_core.state.entities import WorkClass

from .follower import Follower
from .grants import GrantKeeper
from .registrar import Registrar
from .task import Task

ADMISSION_PERIOD_S = 0.1
OPEN_WEIGHT = 1.0

KIND_OF_REFUSAL = {
    Why.LIMIT: ErrorKind.LIMIT_REACHED,
    Why.POOL: ErrorKind.DEADLINE_UNREACHABLE,
    Why.FULL: ErrorKind.DEADLINE_UNREACHABLE,
}


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to have one unit of work running.

    Attributes:
        ticket: Request that holds it.
        started_s: When it was given, monotonic seconds.
    """

    ticket: Ticket
    started_s: float

    @property
    def team(self) -> str:
        """Team whose limit it counts against, empty for open work."""
        return self.ticket.team

    @property
    def pool(self) -> str:
        """Pool that the work goes to."""
        return self.ticket.pool


def cpus_of_pool(config: Configuration, pool: str) -> int:
    """Return the units that a pool carries at once: one per processor."""
    return sum(worker.cpus for worker in config.serving_workers(pool))


class Admission(Task):
    """Hands out permits within the teams' grants and their fair shares.

    Args:
        follower: Source of the configuration.
        registrar: Source of the live nodes.
        keeper: Source of the teams' allowances on this node.
        reports: Returns the latest reports of the other nodes by name.
        clock: Returns monotonic seconds.
        capacity: Returns the units that a pool carries at once.
    """

    def __init__(
        self,
        follower: Follower,
        registrar: Registrar,
        keeper: GrantKeeper,
        reports: Callable[[], Mapping[str, tuple[Demand, ...]]],
        clock: Callable[[], float],
        capacity: Callable[[Configuration, str], int] = cpus_of_pool,
    ):
        super().__init__("admission", ADMISSION_PERIOD_S, clock)
        self.follower = follower
        self.registrar = registrar
        self.keeper = keeper
        self.reports = reports
        self.capacity = capacity
        self.capacities: dict[str, int] = {}
        self.queue = AdmissionQueue(keeper.allowance)
        self.numbers = itertools.count()
        self.waiters: dict[Ticket, AsyncResult] = {}
        self.job_demand: Callable[[], tuple[Demand, ...]] = tuple

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
        ticket = Ticket(
            deadline_s,
            next(self.numbers),
            team,
            work_class.pool,
            work_class.name,
            work_class.on_time_share,
        )
        if work_class.pool not in self.capacities:
            self._divide(work_class.pool, self._all_reports())
        verdicts = self.queue.offer(ticket, self.clock())
        if verdicts.started != [ticket]:
            waiter = self.waiters[ticket] = AsyncResult()
            self._tell(verdicts)
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
        reports = self._all_reports()
        classes = self.follower.config.classes.values()
        for pool in sorted({work_class.pool for work_class in classes}):
            self._divide(pool, reports)
        self._tell(self.queue.refresh(self.clock()))

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
        return (*reports, *self.job_demand())

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
        return waiting / max(1, self.capacity(self.follower.config, pool))

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

    def _abandon(self, ticket, waiter):
        self.waiters.pop(ticket, None)
        if waiter.ready() and waiter.value is None:
            self._tell(self.queue.release(ticket, 0.0, self.clock()))
        else:
            self.queue.withdraw(ticket)

    def _tell(self, verdicts: Verdicts):
        for ticket in verdicts.started:
            self._answer(ticket, None)
        for refusal in verdicts.refused:
            self._answer(refusal.ticket, refusal)

    def _answer(self, ticket: Ticket, refusal: Refusal | None):
        waiter = self.waiters.pop(ticket, None)
        if waiter is not None:
            waiter.set(refusal)

    def _all_reports(self) -> dict[str, tuple[Demand, ...]]:
        return {**self.reports(), self.registrar.entry.name: self.demand()}

    def _divide(self, pool, reports):
        config = self.follower.config
        own = self.registrar.entry.name
        members = self.registrar.membership.everyone
        nodes = tuple(sorted(entry.name for entry in members))
        demands = tuple(
            TeamDemand(item.team, node, item.wanted)
            for node, items in reports.items()
            for item in items
            if item.pool == pool and item.wanted
        )
        weights = {item.team: _weight_of(config, item.team) for item in demands}
        capacity = self.capacity(config, pool)
        division: Division = divide_pool(capacity, demands, weights, nodes)
        self.capacities[pool] = capacity
        # A node keeps one unit, so that a pool smaller than the number of
        # nodes can be reached from each of them.
        budget = max(1, division.budgets[own]) if capacity else 0
        self.queue.divide(pool, budget, division.parts[own])


def _weight_of(config: Configuration, team: str) -> float:
    stated = config.teams.get(team)
    return stated.share if stated is not None else OPEN_WEIGHT
