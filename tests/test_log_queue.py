"""The log queue never waits for its reader and reports dropped lines.

If the reader of standard output stalls, lines are dropped and counted, and the daemon
keeps running.
"""

import json
import os

import pytest

from heatherhatch_daemon.events import Event
from heatherhatch_daemon.log_queue import (
    MAX_QUEUED_LINES,
    ROUTINE_LINES_PER_S,
    LogQueue,
)
from heatherhatch_daemon.metrics import Metric
from heatherhatch_daemon.scraped_metrics import MetricsApp, ScrapedMetrics


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_routine_lines_are_rate_limited_and_role_changes_are_not(pipe):
    queue = LogQueue("n1", pipe[1])
    for _number in range(3 * ROUTINE_LINES_PER_S):
        queue.put(Event.DECIDED, {"what": "placed"})
        queue.put(Event.ROLE_TAKEN, {"role": "r"})
    kinds = [json.loads(line)["name"] for line in queue.lines]
    assert kinds.count("role_taken") == 3 * ROUTINE_LINES_PER_S
    assert kinds.count("decided") <= 2 * ROUTINE_LINES_PER_S
    assert queue.dropped + kinds.count("decided") >= 3 * ROUTINE_LINES_PER_S


def test_lines_are_dropped_when_the_reader_stalls(pipe):
    queue = LogQueue("n1", pipe[1])
    for _number in range(MAX_QUEUED_LINES + 10):
        queue.put(Event.ROLE_TAKEN, {"role": "r"})
    assert len(queue.lines) == MAX_QUEUED_LINES
    assert queue.dropped == 10
    queue._start_second(queue.second + 1)
    assert json.loads(queue.lines[-1])["name"] == "lines_dropped"


def test_lines_are_written_whole(pipe):
    queue = LogQueue("n1", pipe[1])
    queue.put(Event.STARTED, {"life": "x", "odd": {1, 2}})
    queue.flush()
    line = json.loads(os.read(pipe[0], 65_536))
    assert (line["event"], line["node"], line["life"]) == (1001, "n1", "x")


def test_metrics_are_served_as_text():
    metrics = ScrapedMetrics()
    metrics.count(Metric.CALLS, 2, "GET_200")
    metrics.time(Metric.CALL_MS, 3.0)
    app = MetricsApp(metrics, lambda: metrics.gauge(Metric.CLAIM_AGE_S, 1.5))
    statuses = []
    text = b"".join(app({}, lambda status, headers: statuses.append(status))).decode()
    assert statuses == ["200 OK"]
    assert 'heatherhatch_calls_total{label="GET_200"} 2.0' in text
    assert 'heatherhatch_call_ms_bucket{label="",le="5.0"} 1.0' in text
    assert 'heatherhatch_claim_age_s{label=""} 1.5' in text
