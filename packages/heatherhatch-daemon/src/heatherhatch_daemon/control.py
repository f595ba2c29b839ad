"""The daemon: creates its tasks and listeners from the settings and runs them."""

import random
import secrets
import time
from collections import Counter

import gevent
from gevent.event import Event as Signal

from heatherhatch_core.coordination.outcomes import OutcomeTable
from heatherhatch_core.coordination.standing import Standing
from heatherhatch_core.state.demand import Demand

from .events import Event, log
from .metrics import open_metrics
from .protocol.caller import caller_app
from .protocol.messages import NodeEntry
from .protocol.operator import OperatorServices, operator_app
from .protocol.peer import PeerSigners, peer_app
from .protocol.signing import Signer
from .settings import Settings, StoreSettings
from .tasks.admission import Admission
from .tasks.at_most_once import AtMostOnce
from .tasks.dispatcher import DispatcherPorts, open_dispatcher
from .tasks.exchange import Exchange
from .tasks.follower import Follower
from .tasks.gateway import Gateway
from .tasks.grants import TeamGrants
from .tasks.heartbeats import Heartbeats
from .tasks.job_records import GroupCommit, JobRecords
from .tasks.job_service import JobService
from .tasks.key_claims import ClaimWriter
from .tasks.planner import PlannerPorts, open_planner
from .tasks.registrar import Registrar
from .tasks.reporter import Reporter
from .tasks.request_forwarding import RequestForwarder
from .transport.etcd_store import EtcdStore
from .transport.listener import Listener
from .transport.member_list import open_member_list
from .transport.memory_store import MemoryStore
from .transport.store import Store

# The demand of a peer is ignored if its last response is older than this.
MAX_REPORT_AGE_S = 2.0
INCARNATION_BYTES = 8


def open_store(settings: StoreSettings) -> Store:
    """Return a client of the store that the settings select."""
    if settings.kind == "memory":
        return MemoryStore(time.monotonic)
    return EtcdStore(settings.address, settings.timeout_s)


class Daemon:
    """One entry instance.

    Args:
        settings: Validated settings.

    Call ``start``, then ``wait``. Signal handlers call ``request_stop`` to begin the
    graceful shutdown.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        timing = settings.timing
        self.stop_requested = Signal()
        entry = NodeEntry(
            name=settings.node.name,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            peers=str(settings.listen.peers),
            data_centre=settings.node.data_centre,
        )
        store = open_store(settings.store)
        metrics = open_metrics(settings.platform.statsd)
        self.follower = Follower(
            store,
            Standing(timing.standing_s),
            time.monotonic,
            time.time,
        )
        self.member_list = open_member_list(settings.platform.member_list)
        self.registrar = Registrar(
            store,
            entry,
            timing.lease_s,
            self.follower,
            self.member_list.listed,
            time.monotonic,
        )
        self.signer = Signer(
            settings.security.peer_secret, lambda: self.registrar.entry.incarnation
        )
        self.process_signer = Signer(
            settings.security.peer_secret, lambda: entry.incarnation
        )
        self.grants = TeamGrants(
            store,
            self.follower,
            self.registrar,
            self._all_demand,
            time.monotonic,
        )
        self.admission = Admission(
            self.follower,
            self.registrar,
            self.grants,
            self._peer_demand,
            time.monotonic,
        )
        self.heartbeats = Heartbeats(
            self.registrar,
            self.follower,
            self.admission.demand,
            self.signer,
            timing.heartbeat_s,
            time.monotonic,
        )
        self.follower.on_accept = self.heartbeats.request_all_now
        exchange = Exchange(self.follower, time.monotonic, random.Random())
        self.planner = open_planner(
            self.follower,
            PlannerPorts(suspects=exchange.ejected_addresses),
        )
        self.gateway = Gateway(
            self.follower,
            self.admission,
            exchange,
            self._open_at_most_once(store, entry),
            metrics,
            time.monotonic,
        )
        reporter = Reporter(
            store, self.heartbeats, self.gateway, metrics, time.monotonic
        )
        records = JobRecords(store, settings.jobs.keep_s, time.monotonic)
        self.job_service = JobService(
            records, GroupCommit(records), self.gateway, time.time
        )
        self.dispatcher = open_dispatcher(
            records,
            self.follower,
            settings.jobs,
            DispatcherPorts(
                drain_time=self.planner.drain_time,
                pressure=self.admission.pressure,
                store_lost_everywhere=self.follower.store_lost_everywhere,
                grace_s=timing.standing_s,
                pause=gevent.sleep,
            ),
        )
        self.admission.job_demand = self._job_demand
        self.tasks = (
            self.registrar,
            self.follower,
            self.heartbeats,
            self.grants,
            self.admission,
            reporter,
            self.dispatcher,
            self.planner,
        )
        self.callers, self.operators, self.peers = self._listeners()

    def start(self) -> None:
        """Start everything: the listener for peers first, for callers last."""
        self.peers.start()
        for task in self.tasks:
            task.start()
        self.operators.start()
        self.callers.start()
        log(Event.STARTED, node=self.settings.node.name)

    def request_stop(self) -> None:
        """Begin the graceful shutdown."""
        self.stop_requested.set()

    def wait(self) -> bool:
        """Serve until a stop is requested, then shut down.

        Returns:
            True if no request was aborted.
        """
        self.stop_requested.wait()
        log(Event.STOPPING)
        self.gateway.shutting_down = True
        grace_s = self.settings.timing.grace_s
        completed = self.callers.stop(grace_s, self.settings.timing.linger_s)
        self.gateway.draining = True
        self.operators.stop(grace_s)
        for task in reversed(self.tasks):
            task.stop()
        self.peers.stop(grace_s)
        log(Event.STOPPED if completed else Event.STOP_FORCED)
        return completed

    def _open_at_most_once(self, store: Store, entry: NodeEntry) -> AtMostOnce:
        outcome_s = self.settings.timing.outcome_s
        return AtMostOnce(
            entry,
            OutcomeTable(self.settings.limits.outcome_bytes),
            ClaimWriter(store, outcome_s, time.monotonic),
            RequestForwarder(self.process_signer, time.monotonic),
            self.settings.security.peer_secret,
            outcome_s,
            time.monotonic,
            time.time,
        )

    def _job_demand(self) -> tuple[Demand, ...]:
        units_by_team: Counter[str] = Counter()
        for (team, _), waiting in self.dispatcher.waiting().items():
            units_by_team[team] += waiting
        return tuple(Demand(t, "", 0, 0, jobs=n) for t, n in units_by_team.items() if t)

    def _peer_demand(self) -> dict[str, tuple[Demand, ...]]:
        oldest_s = time.monotonic() - MAX_REPORT_AGE_S
        views = self.heartbeats.views.values()
        return {
            view.entry.name: view.demand for view in views if view.sent_s > oldest_s
        }

    def _all_demand(self) -> dict[str, tuple[Demand, ...]]:
        return {**self._peer_demand(), self.settings.node.name: self.admission.demand()}

    def _listeners(self) -> tuple[Listener, Listener, Listener]:
        listen = self.settings.listen
        limits = self.settings.limits
        services = OperatorServices(
            self.follower,
            self.heartbeats,
            self.gateway,
            self.job_service,
            self.planner,
            self.settings.security.first_operator_digest,
            limits.body_bytes,
        )
        signers = PeerSigners(self.signer, self.process_signer)
        peers = peer_app(self.heartbeats, self.gateway, signers, limits.body_bytes)
        callers = caller_app(self.gateway, self.job_service, limits.body_bytes)
        # Each has memory of its own: callers must not keep out peers and operators.
        return (
            Listener(listen.callers, callers, limits),
            Listener(listen.operators, operator_app(services), limits),
            Listener(listen.peers, peers, limits),
        )
