"""Reports the node's store and peer traffic and its state as metrics."""

from collections.abc import Callable

from ..metrics import Metric, Metrics
from ..transport.store import Store
from .gateway import Gateway
from .heartbeats import Heartbeats
from .task import Task

REPORT_PERIOD_S = 5.0


class Reporter(Task):
    """Sends the increase of the traffic counters and the node's state as metrics.

    Args:
        store: Counts its calls and bytes.
        heartbeats: Counts the bytes to and from peers.
        gateway: Source of the running requests and of the followed log.
        metrics: Receiver of the metrics.
        clock: Returns monotonic seconds.

    Attributes:
        reported: Totals as last reported, by metric.
    """

    def __init__(
        self,
        store: Store,
        heartbeats: Heartbeats,
        gateway: Gateway,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        super().__init__("reporter", REPORT_PERIOD_S, clock)
        self.store = store
        self.heartbeats = heartbeats
        self.gateway = gateway
        self.metrics = metrics
        self.reported: dict[Metric, int] = {}

    def step(self) -> None:
        """Send the increase since the last step."""
        self._count(Metric.STORE_CALLS, self.store.calls)
        self._count(Metric.STORE_BYTES, self.store.bytes)
        self._count(Metric.PEER_BYTES, self.heartbeats.bytes)
        follower = self.gateway.follower
        self.metrics.gauge(Metric.RUNNING, self.gateway.total_running)
        self.metrics.gauge(Metric.LOG_SEQ, follower.config.seq)
        self.metrics.gauge(Metric.STANDING, float(follower.has_standing()))

    def _count(self, metric, total):
        increase = total - self.reported.get(metric, 0)
        self.reported[metric] = total
        self.metrics.count(metric, increase)
