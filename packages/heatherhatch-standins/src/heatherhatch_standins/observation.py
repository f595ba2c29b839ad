"""Checks of the recorded results of a trial against every guarantee."""

import time

import gevent

from heatherhatch_core.api import AuditPage, JobPage, Status
from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.changes import Change
from heatherhatch_core.state.jobs import JobState
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import HttpClient, HttpRequest

from .deployment import Deployment
from .invariants import (
    answer_violations,
    away_intervals,
    budget_violations,
    duplicate_run_violations,
    job_violations,
    leaving_violations,
    limit_violations,
    one_pool_violations,
    refusal_violations,
)
from .ledger import LedgerPage
from .load import CALL_TIMEOUT_S, Load
from .report import Guarantee, Report
from .shares import share_error

CONNECTIONS = 8
JOBS_END_S = 15.0
POLL_S = 0.1


def open_client(address: str) -> HttpClient:
    """Return an HTTP client for ``host:port``."""
    return HttpClient(Address.parse(address), CONNECTIONS, CALL_TIMEOUT_S)


class Observation:
    """Checks a deployment after a trial and reports violations and measures.

    Args:
        deployment: Deployment that the trial ran on.
        report: Report that receives the checks and measures.
    """

    def __init__(self, deployment: Deployment, report: Report):
        self.deployment = deployment
        self.report = report

    def check_jobs(self, jobs: list[str]) -> None:
        """Wait until jobs are done and check that none was lost or started twice."""
        deadline = time.monotonic() + JOBS_END_S
        done: set[str] = set()
        while time.monotonic() < deadline and len(done) < len(jobs):
            try:
                page = self.deployment.client().get("/v1/jobs", JobPage).jobs
            except HeatherhatchError:
                # The store may still be unavailable after its outage.
                page = ()
            done |= {job.job_id for job in page if job.state is JobState.DONE}
            gevent.sleep(POLL_S)
        self.report.check_all(
            Guarantee.JOBS, [f"job {j} is lost" for j in set(jobs) - done], len(jobs)
        )
        starts = []
        for control in self.deployment.workers.values():
            request = HttpRequest("GET", "/started")
            answer = open_client(control).exchange(request, CALL_TIMEOUT_S)
            starts += decode_json(answer.body, tuple[tuple[str, int], ...])
        found = job_violations(starts, done)
        self.report.check_all(Guarantee.JOBS, found, len(starts))

    def check_load(self, load: Load) -> None:
        """Check the callers' answers and measure the shares of the teams."""
        name = self.deployment.name
        page = self._read_ledger()
        count = len(load.sent)
        keyed = [item for item in load.sent if not item.idempotent]
        report = self.report
        report.check_all(Guarantee.WHOLE_ANSWER, answer_violations(load.sent), count)
        refused = refusal_violations(load.sent, page.starts)
        report.check_all(Guarantee.TRUE_REFUSAL, refused, count)
        duplicate_runs = duplicate_run_violations(load.sent, page.starts)
        report.check_all(Guarantee.AT_MOST_ONCE, duplicate_runs, len(keyed))
        teams = self.deployment.edit.teams
        report.check_all(
            Guarantee.LIMIT, limit_violations(page.peaks, teams), len(teams)
        )
        answered = load.statuses[200]
        report.measure(f"{name}.sent", count, "requests")
        report.measure(f"{name}.answered", 100 * answered / count, "%")
        on_time = 100 * load.late[False] / max(1, answered)
        report.measure(f"{name}.answered_in_target", on_time, "%")
        ended = {item.request_id for item in load.sent if item.status == 200}
        # The team whose key is withdrawn is left out: its requests are refused because
        # of the key, not because of its share.
        withdrawn = self.deployment.edit.teams[-1].name
        generated = [item for item in load.generated if item.team != withdrawn]
        error = 100 * share_error(generated, frozenset(ended), teams)
        report.measure(f"{name}.share_error", error, "%")
        for status, number in sorted(load.statuses.items()):
            if status != 200:
                report.measure(f"{name}.status_{status}", number, "requests")

    def check_log(self) -> None:
        """Check the audit log and the starts at the backend servers during it."""
        changes = self.deployment.client().get("/v1/audit", AuditPage).changes
        report = self.report
        count = len(changes)
        report.check_all(Guarantee.BUDGET, budget_violations(changes), count)
        report.check_all(Guarantee.ONE_POOL, one_pool_violations(changes), count)
        workers = enumerate(self.deployment.edit.workers)
        by_backend = {str(number): worker.worker_id for number, worker in workers}
        late = leaving_violations(
            self._read_ledger().starts, by_backend, away_intervals(changes)
        )
        away = len(away_intervals(changes))
        report.check_all(Guarantee.LEAVING, late, away)
        self._measure_fleet(changes)
        for node in self.deployment.node_names:
            status = self.deployment.client(node).get("/v1/status", Status)
            report.check(Guarantee.IN_FORCE, status.seq >= changes[-1].seq)

    def _measure_fleet(self, changes: tuple[Change, ...]) -> None:
        name = self.deployment.name
        spans = away_intervals(changes)
        moves = sum(
            item.pool != before.pool
            for change in changes
            for item in change.edit.assignments
            for before in change.before.assignments
            if item.worker_id == before.worker_id
        )
        ended = [span for span in spans if span.end_s != float("inf")]
        out_of_service_s = sum(span.end_s - span.start_s for span in ended)
        roll_out = max((span.end_s for span in ended), default=0.0) - min(
            (span.start_s for span in ended), default=0.0
        )
        self.report.measure(f"{name}.moves", moves, "moves")
        self.report.measure(
            f"{name}.out_of_service", out_of_service_s, "worker-seconds"
        )
        self.report.measure(f"{name}.roll_out", roll_out, "s")

    def _read_ledger(self) -> LedgerPage:
        backend = next(iter(self.deployment.backends.values()))
        request = HttpRequest("GET", "/ledger")
        answer = open_client(backend).exchange(request, CALL_TIMEOUT_S)
        return decode_json(answer.body, LedgerPage)
