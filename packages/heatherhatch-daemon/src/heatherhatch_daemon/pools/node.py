"""One instance: the callers' side, and whichever roles it has claimed."""

import gevent

from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.state.fleet_configuration import FleetConfiguration

from ..metrics import METER, Metric
from ..transport.store import PolledStore
from .board import PlanBoard
from .capacity import PLAIN_NODE, NodeCapacity
from .claims import Claims
from .clock import now_s
from .coordinator import Coordinator
from .coordinator_rules import CoordinatorRules
from .directory import Directory
from .intake import Intake
from .keys import COORDINATOR, pool_role
from .operators import Operators
from .pool_holder import PoolHolder
from .ports import DirectoryEntry, Outside
from .watched_store import WatchedStore

STORE_LOST_S = 1.5  # two renewals of the claims without an answer
POLLS_LOST_S = 0.5  # polls are cut now and then; the next one works at once
READY_AGE_S = 2.5  # evidence of the store older than this takes a node out of rotation


class Node:
    """Puts the parts of an instance together.

    Args:
        name: Name of the instance.
        life: Distinguishes this process from earlier ones of the same name.
        store: The platform's store.
        outside: Workers and the rest of the outside.
        rules: Bounds of the schedulers.
        coordinator_rules: Bounds of the coordinator.
        capacity: What the instance has for itself.
    """

    def __init__(
        self,
        name: str,
        life: str,
        store: PolledStore,
        outside: Outside,
        rules: Rules,
        coordinator_rules: CoordinatorRules,
        capacity: NodeCapacity = PLAIN_NODE,
    ):
        self.name = name
        self.store = store = WatchedStore(store)
        self.outside = outside
        self.rules = rules
        self.coordinator_rules = coordinator_rules
        self.operators = Operators(store, outside.records, self._configured)
        self.claims = Claims(
            store, name, life, self._roles, self._taken, self._lost, capacity
        )
        self.directory = Directory(
            store, outside.records, self._see_worker, self._lose_worker
        )
        self.board = PlanBoard(store)
        self.intake = Intake(store, self.operators, self.store_lost_s)
        self.holders: dict[str, PoolHolder] = {}
        self.coordinator: Coordinator | None = None
        self.ending = False

    def start(self) -> None:
        """Begin to serve."""
        self.store.start()
        self.operators.start()
        self.claims.start()

    def end(self) -> None:
        """Give all roles up; callers are still served."""
        self.ending = True
        self.claims.release_all()

    def store_lost_s(self) -> float:
        """Return for how long the store is known not to answer; 0 if it does."""
        failing_s = now_s() - self.operators.feed.failing_since_s
        silent_s = now_s() - self.claims.confirmed_s
        if failing_s <= POLLS_LOST_S and silent_s <= STORE_LOST_S:
            return 0.0
        return max(failing_s, silent_s)

    def ready(self) -> bool:
        """Tell whether callers should come here."""
        return (
            not self.ending
            and self.operators.config is not None
            and now_s() - self.operators.feed.fresh_s < READY_AGE_S
        )

    def sample(self) -> None:
        """Set the gauges."""
        sink = METER.sink
        sink.gauge(Metric.CLAIM_AGE_S, now_s() - self.claims.confirmed_s)
        sink.gauge(Metric.CONFIG_AGE_S, now_s() - self.operators.feed.fresh_s)
        if self.operators.config is not None:
            sink.gauge(Metric.CONFIG_VERSION, self.operators.config.version)
        for role in self._roles():
            sink.gauge(Metric.ROLES_HELD, int(role in self.claims.held), role)
        for holder in self.holders.values():
            state = holder.scheduler.state
            usable = sum(1 for item in state.workers.values() if item.usable(now_s()))
            sink.gauge(Metric.JOBS_OPEN, len(state.jobs), holder.pool)
            sink.gauge(Metric.WORKERS_USABLE, usable, holder.pool)

    def _configured(self, config: FleetConfiguration) -> None:
        for holder in self.holders.values():
            holder.wake()

    def _roles(self) -> list[str]:
        config = self.operators.config
        if config is None:
            return []
        roles = [pool_role(pool) for pool in config.working_pools()]
        if self.outside.machines is not None:
            roles.append(COORDINATOR)
        return roles

    def _taken(self, role: str, token: int) -> None:
        self._lost(role)
        self.board.start()
        if role == COORDINATOR:
            self.coordinator = Coordinator(
                self.name,
                token,
                self.claims,
                self.store,
                self.outside,
                self.operators,
                self.board,
                self.coordinator_rules,
            )
            self.coordinator.start()
            return
        pool = role.removeprefix(pool_role(""))
        self.directory.start()
        holder = PoolHolder(
            pool,
            token,
            self.claims,
            self.store,
            self.outside,
            self.operators,
            self.directory,
            self.board,
            self.rules,
        )
        self.holders[role] = holder
        holder.start()

    def _lost(self, role: str) -> None:
        if role == COORDINATOR:
            if self.coordinator is not None:
                self.coordinator.stop()
                self.coordinator = None
            return
        holder = self.holders.pop(role, None)
        if holder is not None:
            # The caller may be one of the holder's own greenlets.
            gevent.spawn(holder.stop)

    def _see_worker(self, entry: DirectoryEntry) -> None:
        for holder in list(self.holders.values()):
            holder.see_worker(entry)

    def _lose_worker(self, worker_id: str) -> None:
        for holder in list(self.holders.values()):
            holder.lose_worker(worker_id)
