"""Metrics: their names, and a client that never slows the caller down."""

from enum import Enum
from typing import Protocol

import statsd

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
    PEER_BYTES = "bytes of questions to peers and their answers, count"


class Metrics(Protocol):
    """What the daemon needs of a metrics client."""

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Add to a counter."""

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Drops every metric, for nodes without a statsd address."""

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Drop a count."""

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Drop a duration."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Drop a gauge."""


class StatsdMetrics:
    """Sends metrics by UDP; a statsd that is down costs nothing."""

    def __init__(self, address: Address):
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

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self.client.gauge(metric.name.lower(), value)


def open_metrics(address: Address | None) -> Metrics:
    """Return a client for an address, or one that drops everything."""
    if address is None:
        return NoMetrics()
    return StatsdMetrics(address)
