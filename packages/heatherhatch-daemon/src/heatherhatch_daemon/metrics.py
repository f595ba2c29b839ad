"""Catalogue of metrics and clients that never block the caller."""

from enum import Enum
from typing import Protocol

from .settings import Address


class Metric(Enum):
    """Every metric by name; the value states its meaning, unit and type."""

    REQUESTS = "requests accepted or refused, by result, count"
    REQUEST_MS = "time from accepting a request to its response, milliseconds"
    RUNNING = "requests running on this node, gauge"
    LOG_SEQ = "position of the change log in force on this node, gauge"
    STANDING = "1 if the configuration of this node is confirmed, else 0, gauge"
    STORE_CALLS = "calls to the store, count"
    STORE_BYTES = "bytes sent to and received from the store, count"
    CALLS = "callers' requests to pools, by method and status, count"
    CALL_MS = "time from reading a caller's request to its response, milliseconds"
    SLOW_CALLS = "requests answered late, by the stage that took longest, count"
    OPEN_CALLS = "requests that waited for long, by stage at that time, count"
    UNANSWERED_CALLS = "requests without a complete answer, by cause, count"
    BODY_BYTES = "memory that large requests have, bytes, gauge"
    BODIES_REFUSED = "large requests refused, by reason: size or memory, count"
    STORE_ANSWERS = "calls to the pools' store, by call and status, count"
    HEDGES = "calls to the pools' store sent again, by call and outcome, count"
    STORE_MS = "duration of a call to the pools' store, polls excluded, milliseconds"
    START_RESULTS = "orders to start a run, by the worker's response, count"
    RUN_ENDS = "runs that ended, by kind of end, count"
    WORKER_CRASHES = "workers that crashed while runs may have been on them, count"
    TASKS_GIVEN_UP = "tasks given up because they crashed their workers, count"
    STARTS_HELD = "starts not sent, by reason: evacuated or old-records, count"
    EVACUATIONS = "data centres that operators evacuate, gauge"
    RUNS_MOVED = "lasting runs moved out of evacuated data centres, by pool, count"
    COPIES = (
        "copies of slow tasks: started, and what ended the two runs (won, lost, given"
        " up, failed, only one left, dropped), count"
    )
    RUN_TIMES_LEARNED = (
        "run times learned, by the expected share of runs that are not longer (to_50,"
        " to_90, to_99, above_99); at_least for runs that did not end; count"
    )
    WITHDRAWALS = "cancellations of jobs that were not known, stored or refused, count"
    JOBS_REJECTED = (
        "jobs rejected as no use could be made of their result, by pool, count"
    )
    PREEMPTIONS = "runs that were stopped for urgent jobs, count"
    START_DELAY_MS = "time from accepting a job to its first start, milliseconds"
    MACHINE_ORDERS = "orders for machines, by kind and result, count"
    JOBS_OPEN = "jobs that are not final, by pool, gauge"
    JOBS_IDLE = "jobs that are due and have nothing running, by pool, gauge"
    OLDEST_IDLE_S = "how long the oldest such job has been due, by pool, seconds, gauge"
    ROUND_AGE_S = "time since the last round of the scheduler, by pool, seconds, gauge"
    WORKERS_USABLE = "workers that may get new runs, by pool, gauge"
    PERMITS_WANTED = "steps that wait for the policy service, by pool, gauge"
    PERMIT_WAIT_S = "how long the first such step has waited, by pool, seconds, gauge"
    LIMIT_WAIT_S = (
        "how long the oldest step has waited for a limit, by pool, seconds, gauge"
    )
    PERMIT_CALLS = "calls to the policy service, by result, count"
    PERMIT_CALL_MS = "duration of an answered call to the policy service, milliseconds"
    ROLES_HELD = "1 if this node holds the role, else 0, by role, gauge"
    FEATURE_GATE = "1 if the mechanism is enabled on this node, else 0, by name, gauge"
    CLAIM_AGE_S = "time since the last confirmed renewal of the claims, seconds, gauge"
    CONFIG_AGE_S = "time since the configuration was last confirmed, seconds, gauge"
    CONFIG_VERSION = "version of the configuration in force, gauge"
    LINES_DROPPED = "log lines dropped to limit the volume, count"
    PEER_BYTES = (
        "bytes of answered heartbeat and log requests to peers and of the responses,"
        " count"
    )


class Metrics(Protocol):
    """Interface of a metrics client."""

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Add to a counter."""

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge."""


class NoMetrics:
    """Metrics client that discards everything, for nodes without statsd."""

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Discard a count."""

    def time(self, metric: Metric, milliseconds: float) -> None:
        """Discard a duration."""

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Discard a gauge."""


class StatsdMetrics:
    """Metrics client for statsd; by UDP, so that statsd being down has no effect."""

    def __init__(self, address: Address):
        # Imported on first use, because the pools' program serves its metrics
        # to scrapers instead.
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
    """Destination of the metrics of the pools; one for the process.

    Attributes:
        sink: Metrics client that receives each measurement.
    """

    def __init__(self):
        self.sink: Metrics = NoMetrics()


METER = Meter()


def open_metrics(address: Address | None) -> Metrics:
    """Return a statsd client, or `NoMetrics` without an address."""
    if address is None:
        return NoMetrics()
    return StatsdMetrics(address)
