"""Metrics that scrapers read over HTTP in the Prometheus text format."""

from collections.abc import Callable, Iterable

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from .metrics import Metric

PREFIX = "heatherhatch"
# Upper bounds of the histogram buckets in milliseconds, from one round trip to the
# store to the longest deadline.
BUCKETS_MS = (2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)


class ScrapedMetrics:
    """Metrics client that keeps counters, histograms and gauges for scrapers."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.collectors: dict[Metric, Counter | Gauge | Histogram] = {}

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Add to a counter."""
        self._get(metric, Counter).labels(label).inc(amount)

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        self._get(metric, Histogram, buckets=BUCKETS_MS).labels("").observe(
            milliseconds
        )

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._get(metric, Gauge).labels(label).set(value)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _get(self, metric: Metric, kind: type, **options):
        collector = self.collectors.get(metric)
        if collector is None:
            name = f"{PREFIX}_{metric.name.lower()}"
            collector = kind(
                name, metric.value, ["label"], registry=self.registry, **options
            )
            self.collectors[metric] = collector
        return collector


class MetricsApp:
    """WSGI application that serves the metrics.

    Args:
        metrics: Metrics to serve.
        sample: Function that sets the gauges; called before each response.
    """

    def __init__(self, metrics: ScrapedMetrics, sample: Callable[[], None]):
        self.metrics = metrics
        self.sample = sample

    def __call__(self, _environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        self.sample()
        data = self.metrics.text()
        start_response(
            "200 OK",
            [("Content-Type", CONTENT_TYPE_LATEST), ("Content-Length", str(len(data)))],
        )
        return [data]
