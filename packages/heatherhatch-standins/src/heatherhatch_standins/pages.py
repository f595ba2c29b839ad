"""Pages of the documentation generated from the code: errors, events, metrics."""

from pathlib import Path

from heatherhatch_core.exceptions import ERROR_RESPONSES
from heatherhatch_daemon.events import Event
from heatherhatch_daemon.metrics import Metric

DOCS = Path("docs")
ERRORS_INTRO = """\
# Errors

Every error response is an RFC 9457 problem details object. Its `type` is
`urn:heatherhatch:error:` followed by the kind; `code`, `execution` and `retry` are the
columns of this table. `not run` means that it is certain that no byte of the request
reached a backend server. `outcome unknown` means that the request may have run: send it
again only with the same `Idempotency-Key`. If the client may retry later, `Retry-After`
states when. The command-line client exits with the exit code of the error's kind.

| code | kind | HTTP status | execution | retry | exit code | meaning |
|---|---|---|---|---|---|---|
"""
EVENTS_INTRO = """\
# Log events

Each event is one JSON object on one line; `event` is the number below. `heatherhatchd`
writes events in the format of the `eliot` library to `log_file` or to standard error.
The instances that run the pools write them to standard output through a bounded queue:
at most 150 lines per second of `decided` and `job_accepted`; other events have no rate
limit. `lines_dropped` reports the number of lines that were dropped.

| number | name | meaning |
|---|---|---|
"""
METRICS_INTRO = """\
# Metrics

`heatherhatchd` sends these metrics by UDP to the statsd server at `platform.statsd`; a
server that is down does not affect the node. Names have the prefix `heatherhatch.`. The
instances that run the pools serve the metrics over HTTP in the Prometheus text format,
with the prefix `heatherhatch_` and the label `label`.

| name | what it measures |
|---|---|
"""


def errors_page() -> str:
    """Return the page with the table of error kinds."""
    rows = [
        f"| {row.code} | `{kind.value}` | {row.status} | {row.execution.value}"
        f" | {row.retry.value} | {row.exit_code} | {row.title} |"
        for kind, row in ERROR_RESPONSES.items()
    ]
    return ERRORS_INTRO + "\n".join(sorted(rows, key=_row_number)) + "\n"


def events_page() -> str:
    """Return the page with the table of log events."""
    rows = [
        f"| {event.value.number} | `{event.name.lower()}` | {event.value.meaning} |"
        for event in Event
    ]
    return EVENTS_INTRO + "\n".join(sorted(rows, key=_row_number)) + "\n"


def metrics_page() -> str:
    """Return the page with the table of metrics."""
    rows = [f"| `{metric.name.lower()}` | {metric.value} |" for metric in Metric]
    return METRICS_INTRO + "\n".join(rows) + "\n"


PAGES = {
    "ERRORS.md": errors_page,
    "EVENTS.md": events_page,
    "METRICS.md": metrics_page,
}


def main() -> None:
    """Write all pages into the folder of the documentation."""
    for name, page in PAGES.items():
        (DOCS / name).write_text(page(), encoding="utf-8")


def _row_number(row: str) -> int:
    return int(row.split("|")[1])


if __name__ == "__main__":
    main()
