"""Admission control: whether and when a request may start on this node."""

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
from .grants import TeamGrants
from .registrar import Registrar
from .task import Task

ADMISSION_PERIOD_S = 0.1
# Seconds between two counts of the queue of long jobs.
JOB_REPORT_PERIOD_S = 1.0
# Retry-After sent to callers while this node has no standing.
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
    """Permission to run one unit of work.

    Attributes:
        ticket: Ticket of the request that holds the permit.
        started_s: When the permit was granted, monotonic seconds.
    """

    ticket: AdmissionTicket
    started_s: float

    @property
    def team(self) -> str:
        """Team whose limit the permit counts against, empty for open work."""
        return self.ticket.team

    @property
    def pool(self) -> str:
        """Pool that runs the work."""
        return self.ticket.pool


def cpus_by_pool(config: Configuration) -> dict[str, int]:
    """Return the units that each pool can run concurrently: one per processor."""
    capacities = dict.fromkeys(config.pools, 0)
    for worker in config.workers.values():
        if config.state_of(worker.worker_id) is WorkerState.SERVING:
            capacities[config.pool_of(worker.worker_id)] += worker.cpus
    return capacities


@dataclass(frozen=True, slots=True)
class DivisionInputs:
    """Inputs of the division of a pool's capacity among teams and nodes.

    Attributes:
        seq: Log position of the configuration that states the teams' shares.
        capacity: Units that the pool can run concurrently.
        nodes: Sorted names of the member nodes.
        demands: Smoothed demand that the nodes reported.
    """

    seq: int
    capacity: int
    nodes: tuple[str, ...]
    demands: tuple[TeamDemand, ...]


@dataclass(frozen=True, slots=True)
class IdleFleet:
    """Inputs of the division while no node reports work.

    Attributes:
        seq: Log position of the configuration that states the teams' shares.
        nodes: Sorted names of the member nodes.
    """

    seq: int
    nodes: tuple[str, ...]


class Admission(Task):
    """Grants permits within the teams' grants and their fair shares.

    Args:
        follower: Source of the configuration.
        registrar: Source of the live nodes.
        team_grants: Source of the teams' allowances on this node.
        reports: Returns the latest reports of the other nodes by name.
        clock: Returns monotonic seconds.
        capacities_of: Returns the units that each pool can run concurrently.
    """

    def __init__(
        self,
        follower: Follower,
        registrar: Registrar,
        team_grants: TeamGrants,
        reports: Callable[[], Mapping[str, tuple[Demand, ...]]],
        clock: Callable[[], float],
        capacities_of: Callable[[Configuration], dict[str, int]] = cpus_by_pool,
    ):
        super().__init__("admission", ADMISSION_PERIOD_S, clock)
        self.follower = follower
        self.registrar = registrar
        self.team_grants = team_grants
        self.reports = reports
        self.capacities_of = capacities_of
        self.capacities: dict[str, int] = {}
        self.capacities_seq = -1
        self.division_inputs: dict[str, DivisionInputs] = {}
        self.smoothed: dict[str, SmoothedDemand] = {}
        self.queue = AdmissionQueue(team_grants.allowance)
        self.numbers = itertools.count()
        self.waiters: dict[AdmissionTicket, AsyncResult] = {}
        self.job_demand: Callable[[], tuple[Demand, ...]] = tuple
        self.job_reports: tuple[Demand, ...] = ()
        self.job_reports_s = float("-inf")
        self.divided_idle_fleet: IdleFleet | None = None

    @property
    def running(self) -> Counter:
        """Units sent from this node that are running, by team."""
        return self.queue.team_running

    def acquire(self, team: str, work_class: WorkClass, deadline_s: float) -> Permit:
        """Return a permit, waiting for it if it may become free in time.

        Args:
            team: Team that submitted the work, empty for open work.
            work_class: Class of the work.
            deadline_s: When the response is due, monotonic seconds.

        Raises:
            HeatherhatchError: ``LIMIT_REACHED``, ``DEADLINE_UNREACHABLE`` or
                ``NO_STANDING``; the work has not run.
        """
        self._check_time_bound(team, work_class)
        ticket = AdmissionTicket(
            deadline_s,
            next(self.numbers),
            team,
            work_class.pool,
            work_class.name,
            work_class.on_time_share,
        )
        if work_class.pool not in self.division_inputs:
            self._divide_all()
        result = self.queue.offer(ticket, self.clock())
        if result.started != [ticket]:
            waiter = self.waiters[ticket] = AsyncResult()
            self._notify_waiters(result)
            self._wait_for_permit(ticket, waiter)
        permit = Permit(ticket, self.clock())
        self._check_standing(permit)
        return permit

    def release(self, permit: Permit) -> None:
        """Release a permit when its work has ended."""
        now = self.clock()
        held_s = now - permit.started_s
        self._notify_waiters(self.queue.release(permit.ticket, held_s, now))

    def step(self) -> None:
        """Recompute the division of the pools and start or refuse waiting requests."""
        if self.clock() - self.job_reports_s >= JOB_REPORT_PERIOD_S:
            self.job_reports = self.job_demand()
            self.job_reports_s = self.clock()
        idle = self._idle_fleet()
        if idle is not None and idle == self.divided_idle_fleet:
            # No node has running or waiting work, and the division in force was
            # computed for that state.
            return
        self._divide_all()
        if not self.team_grants.may_start_work():
            self._refuse_team_requests()
        self._notify_waiters(self.queue.refresh(self.clock()))
        self.divided_idle_fleet = idle

    def demand(self) -> tuple[Demand, ...]:
        """Return the demand that this node reports to its peers."""
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
        """Return the units of requests that wait for a pool on all nodes.

        Waiting units that exceed their team's allowance are not counted.

        Args:
            pool: Name of the pool.

        Returns:
            Waiting units as a fraction of the pool's capacity: 0 if none
            waits, 1 or more if at least as many wait as can run concurrently.
        """
        waiting = sum(
            item.waiting - item.missing
            for items in self._all_reports().values()
            for item in items
            if item.pool == pool
        )
        return waiting / max(1, self._capacities().get(pool, 0))

    def _check_time_bound(self, team, work_class):
        # The grant record states a bound by which all work under the grant has
        # ended. Longer work is refused until this node has written a longer
        # bound.
        time_bound_s = self.team_grants.run_time_bound_s(team) if team else 0.0
        if time_bound_s and work_class.target_s > time_bound_s:
            raise HeatherhatchError(
                ErrorKind.LIMIT_REACHED,
                "the class may run longer than the bound of the team's grant",
            )

    def _check_standing(self, permit):
        # This node may have lost its standing since the queue decided.
        if permit.team and not self.team_grants.may_start_work():
            self._notify_waiters(self.queue.release(permit.ticket, 0.0, self.clock()))
            raise HeatherhatchError(ErrorKind.NO_STANDING)

    def _wait_for_permit(self, ticket, waiter):
        try:
            refusal = waiter.get()
        except BaseException:
            self._abandon(ticket, waiter)
            raise
        if refusal is not None:
            kind = KIND_OF_REFUSAL[refusal.why]
            raise HeatherhatchError(kind, refusal.why.value, refusal.retry_after_s)

    def _refuse_team_requests(self):
        # Without standing no team's work can start, so waiting is useless.
        for ticket, waiter in list(self.waiters.items()):
            if ticket.team:
                self.queue.withdraw(ticket)
                del self.waiters[ticket]
                waiter.set(Refusal(ticket, RefusalReason.STANDING, STANDING_RETRY_S))

    def _abandon(self, ticket, waiter):
        self.waiters.pop(ticket, None)
        if waiter.ready() and waiter.value is None:
            self._notify_waiters(self.queue.release(ticket, 0.0, self.clock()))
        else:
            self.queue.withdraw(ticket)

    def _notify_waiters(self, result: AdmissionResult):
        for ticket in result.started:
            self._notify_waiter(ticket, None)
        for refusal in result.refused:
            self._notify_waiter(refusal.ticket, refusal)

    def _notify_waiter(self, ticket: AdmissionTicket, refusal: Refusal | None):
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

    def _idle_fleet(self) -> IdleFleet | None:
        """Return the inputs for an idle fleet, None if any node reports work."""
        if any(self._all_reports().values()):
            return None
        # Work that has just ended counts until its smoothed demand reaches 0.
        if any(smoothed.units for smoothed in self.smoothed.values()):
            return None
        return IdleFleet(self.follower.config.seq, self._node_names())

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
            smoothed_demands = smoothed.smooth(demands[pool], now)
            inputs = DivisionInputs(seq, capacity, nodes, smoothed_demands)
            if self.division_inputs.get(pool) != inputs:
                self._divide(pool, inputs)
                self.division_inputs[pool] = inputs

    def _divide(self, pool, inputs):
        config = self.follower.config
        weights = {item.team: _weight_of(config, item.team) for item in inputs.demands}
        division: Division = divide_pool(
            inputs.capacity, inputs.demands, weights, inputs.nodes
        )
        own_name = self.registrar.entry.name
        # Each node keeps at least one unit, so that requests can reach a pool
        # with fewer units than there are nodes from every node.
        budget = max(1, division.budgets[own_name]) if inputs.capacity else 0
        self.queue.set_division(pool, budget, division.parts[own_name])


def _weight_of(config: Configuration, team: str) -> float:
    configured = config.teams.get(team)
    return configured.share if configured is not None else OPEN_WEIGHT
