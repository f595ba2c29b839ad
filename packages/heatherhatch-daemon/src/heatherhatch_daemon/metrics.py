"""Metrics: their names, and a client that never slows the caller down."""

from enum import Enum
from typing import Protocol

from .settings import Address


class Metric(Enum):
    """Every metric, by name; the value says what it counts and its unit."""

    REQUESTS = "requests accepted or refused, by answer, count"
    REQUEST_MS = "time from accepting to answering a request, milliseconds"
    RUNNING = "requests running on this node, gauge"
    LOG_SEQ = "log position in force on this node, gauge"
    STANDING = "1 if this node may act on its configuration, else 0, gauge"
    STORE_CALLS = "calls to the store, count"
    STORE_BYTES = "bytes sent to and received from the store, count"
    CALLS = "callers' requests to pools, by method and status, count"
    CALL_MS = "time from reading to answering a caller's request, milliseconds"
    STORE_ANSWERS = "calls to the pools' store, by call and answer, count"
    STORE_MS = "time of a call to the pools' store without waiting, milliseconds"
    START_RESULTS = "orders to start a run, by the worker's answer, count"
    RUN_ENDS = "runs that ended, by the way they ended, count"
    START_DELAY_MS = "time from accepting a job to its first start, milliseconds"
    MACHINE_ORDERS = "orders for machines, by kind and answer, count"
    JOBS_OPEN = "jobs that are not final, by pool, gauge"
    WORKERS_USABLE = "workers that may get new runs, by pool, gauge"
    ROLES_HELD = "1 for each role that this node holds, by role, gauge"
    CLAIM_AGE_S = "age of the last confirmed renewal of the claims, seconds, gauge"
    CONFIG_AGE_S = "age of the evidence for the configuration, seconds, gauge"
    CONFIG_VERSION = "version of the configuration in force, gauge"
    LINES_DROPPED = "log lines left out to bound the volume, count"
    PEER_BYTES = "bytes of questions to peers and their answers, count"


class Metrics(Protocol):
    """What the daemon needs of a metrics client."""

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Add to a counter."""

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge."""


class NoMetrics:
    """Drops every metric, for nodes without a statsd address."""

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Drop a count."""

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Drop a duration."""

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Drop a gauge."""


class StatsdMetrics:
    """Sends metrics by UDP; a statsd that is down costs nothing."""

    def __init__(self, address: Address):
        # Imported on first use: the pools' program is scraped instead.
        import statsd

        self.client = statsd.StatsClient(
            address.host, address.port, prefix="heatherhatch"
        )

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Add to a counter."""
        name = metric.name.lower()
        self.client.incr(f"{name}.{label}" if label else name, amount)

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        self.client.timing(metric.name.lower(), milliseconds)

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge."""
        name = metric.name.lower()
        self.client.gauge(f"{name}.{label}" if label else name, value)


class Meter:
    """Where the metrics of the pools go; one for the process.

    Attributes:
        sink: Takes each figure.
    """

    def __init__(self):
        self.sink: Metrics = NoMetrics()


METER = Meter()


def open_metrics(address: Address | None) -> Metrics:
    """Return a client for an address, or one that drops everything."""
    if address is None:
        return NoMetrics()
    return StatsdMetrics(address)
