"""One instance: serves callers, and runs the roles that it has claimed."""

import gevent

from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.state.fleet_configuration import FleetConfiguration

from ..metrics import METER, Metric
from ..transport.store import HedgeableStore
from .capacity import DEFAULT_CAPACITY, NodeCapacity
from .claims import Claims
from .clock import now_s
from .coordinator import Coordinator
from .coordinator_rules import CoordinatorRules
from .directory import Directory
from .free_roles import data_centre_of, marked_incarnation
from .hedged_store import NO_HEDGES, HedgedStore, HedgeRates, share_of_rate
from .intake import Intake
from .keys import COORDINATOR, pool_role
from .operators import Operators
from .permit_calls import PermitCalls
from .pool_holder import PoolHolder
from .ports import DirectoryEntry, ExternalPorts
from .record_watchers import PlanWatcher
from .serving import ServingState
from .watched_store import WatchedStore


class Node:
    """Creates the parts of an instance, and starts and stops its roles.

    Args:
        name: Name of the instance.
        incarnation: Distinguishes this process from earlier ones of the same name.
        store: The platform's store.
        external_ports: Connections to the workers and to external services.
        rules: Parameters of the schedulers.
        coordinator_rules: Parameters of the coordinator.
        capacity: Processor cores and bandwidth available to the instance.
        data_centre: Data centre of the instance.
        hedge_rates: Rates at which calls to the store may be sent again.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        store: HedgeableStore,
        external_ports: ExternalPorts,
        rules: Rules,
        coordinator_rules: CoordinatorRules,
        capacity: NodeCapacity = DEFAULT_CAPACITY,
        data_centre: str = "",
        hedge_rates: HedgeRates = NO_HEDGES,
    ):
        self.name = name
        if hedge_rates.enabled and rules.gates.hedged_calls:
            store = HedgedStore(store, hedge_rates, self._hedge_share)
        self.store = store = WatchedStore(store)
        self.external_ports = external_ports
        self.rules = rules
        self.coordinator_rules = coordinator_rules
        self.operators = Operators(store, external_ports.records, self._on_config)
        if rules.lost_data_centres:
            incarnation = marked_incarnation(incarnation, data_centre)
        self.claims = Claims(
            store,
            name,
            incarnation,
            self._existing_roles,
            self._on_role_taken,
            self._on_role_lost,
            capacity,
        )
        self.claims.free_roles.data_centre = data_centre_of(self.claims.value)
        self.directory = Directory(
            store, external_ports.records, self._on_worker, self._on_worker_gone
        )
        self.plan_watcher = PlanWatcher(store)
        self.serving = ServingState(store, self.operators, self.claims)
        self.intake = Intake(
            store,
            self.operators,
            self.serving.store_outage_s,
            self._holder_token,
            rules.gates,
        )
        self.permit_calls = PermitCalls(external_ports.policy)
        self.holders: dict[str, PoolHolder] = {}
        self.coordinator: Coordinator | None = None

    def start(self) -> None:
        """Start to serve callers and to claim roles."""
        self.store.start()
        self.operators.start()
        self.claims.start()
        self.serving.start()

    def release_roles(self) -> None:
        """Release all roles; callers are still served."""
        self.serving.releasing = True
        self.claims.release_all()

    def is_ready(self) -> bool:
        """Return whether this instance should receive requests of callers."""
        return self.serving.obstacle() is None

    def update_gauges(self) -> None:
        """Set the gauges of the metrics."""
        sink = METER.sink
        sink.gauge(Metric.CLAIM_AGE_S, now_s() - self.claims.confirmed_s)
        sink.gauge(Metric.CONFIG_AGE_S, now_s() - self.operators.feed.last_response_s)
        for name, enabled in self.rules.gates.states().items():
            sink.gauge(Metric.FEATURE_GATE, int(enabled), name)
        if self.operators.config is not None:
            sink.gauge(Metric.CONFIG_VERSION, self.operators.config.version)
        for role in self._existing_roles():
            sink.gauge(Metric.ROLES_HELD, int(role in self.claims.held), role)
        for holder in self.holders.values():
            health = holder.watchdog.health()
            round_age_s = now_s() - holder.watchdog.last_round_s
            sink.gauge(Metric.JOBS_OPEN, health.jobs, holder.pool)
            sink.gauge(Metric.JOBS_IDLE, health.idle_jobs, holder.pool)
            sink.gauge(Metric.OLDEST_IDLE_S, health.oldest_idle_s, holder.pool)
            sink.gauge(Metric.ROUND_AGE_S, round_age_s, holder.pool)
            sink.gauge(Metric.WORKERS_USABLE, health.usable_workers, holder.pool)
            permits = holder.permits
            sink.gauge(Metric.PERMITS_WANTED, permits.steps_waiting, holder.pool)
            sink.gauge(Metric.PERMIT_WAIT_S, permits.oldest_wait_s(), holder.pool)
            limit_wait_s = holder.scheduler.state.limit_waits.oldest_wait_s(now_s())
            sink.gauge(Metric.LIMIT_WAIT_S, limit_wait_s, holder.pool)

    def _on_config(self, config: FleetConfiguration) -> None:
        for holder in self.holders.values():
            holder.wake()

    def _hedge_share(self) -> float:
        """Return the share of the rates of hedges that this instance may use."""
        existing = len(self._existing_roles())
        held = len(self.claims.held)
        return share_of_rate(held, existing)

    def _existing_roles(self) -> list[str]:
        config = self.operators.config
        if config is None:
            return []
        roles = [pool_role(pool) for pool in config.active_pools()]
        if self.external_ports.machines is not None:
            roles.append(COORDINATOR)
        return roles

    def _holder_token(self, pool: str) -> int | None:
        claim = self.claims.free_roles.claims.get(pool_role(pool))
        return claim.revision if claim is not None else None

    def _on_role_taken(self, role: str, token: int) -> None:
        self._on_role_lost(role)
        self.plan_watcher.start()
        if role == COORDINATOR:
            self.coordinator = Coordinator(
                self.name,
                token,
                self.claims,
                self.store,
                self.external_ports,
                self.operators,
                self.plan_watcher,
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
            self.external_ports,
            self.operators,
            self.directory,
            self.plan_watcher,
            self.rules,
            self.permit_calls,
        )
        self.holders[role] = holder
        holder.start()

    def _on_role_lost(self, role: str) -> None:
        if role == COORDINATOR:
            if self.coordinator is not None:
                self.coordinator.stop()
                self.coordinator = None
            return
        holder = self.holders.pop(role, None)
        if holder is not None:
            # The caller may be one of the holder's own greenlets.
            gevent.spawn(holder.stop)

    def _on_worker(self, entry: DirectoryEntry) -> None:
        for holder in list(self.holders.values()):
            holder.update_worker(entry)

    def _on_worker_gone(self, worker_id: str) -> None:
        for holder in list(self.holders.values()):
            holder.remove_worker(worker_id)
