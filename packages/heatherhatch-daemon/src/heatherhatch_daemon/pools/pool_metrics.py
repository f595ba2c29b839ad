"""Metrics of the decisions that a pool's scheduler makes."""

from heatherhatch_core.coordination.scheduler.state import PoolState

from ..metrics import METER, Metric
from .clock import wall_s

# Counters of decisions, each with its label.
COUNTERS = {
    "run lost": (Metric.RUN_ENDS, "lost"),
    "worker crashed": (Metric.WORKER_CRASHES, ""),
    "task given up": (Metric.TASKS_GIVEN_UP, ""),
    "run preempted": (Metric.PREEMPTIONS, ""),
    "copy started": (Metric.COPIES, "started"),
}
# Counters of decisions, each with the detail that is the label.
LABELLED_COUNTERS = {
    "run ended": (Metric.RUN_ENDS, "ending"),
    "start answered": (Metric.START_RESULTS, "result"),
    "copy ended": (Metric.COPIES, "outcome"),
}


def record_decision(state: PoolState, what: str, details: dict) -> None:
    """Record the metrics of one decision of the scheduler.

    Args:
        state: State of the pool.
        what: Name of the decision.
        details: Details of the decision, as they are logged.
    """
    if what in COUNTERS:
        metric, label = COUNTERS[what]
        METER.sink.count(metric, label=label)
    elif what in LABELLED_COUNTERS:
        metric, detail = LABELLED_COUNTERS[what]
        METER.sink.count(metric, label=details[detail])
    elif what == "run moved" and "to" in details:
        METER.sink.count(Metric.RUNS_MOVED, label=state.pool)
    if what == "start answered" and details["first"]:
        job = state.jobs.get(details["task"].job_id)
        if job is not None:
            delay_ms = (wall_s() - job.job.accepted_s) * 1000.0
            METER.sink.time(Metric.START_DELAY_MS, max(0.0, delay_ms))
