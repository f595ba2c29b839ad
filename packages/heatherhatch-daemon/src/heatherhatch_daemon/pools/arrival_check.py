"""Rejects jobs that their pool certainly can't complete while they are of use."""

from collections.abc import Callable

import gevent
import msgspec

from heatherhatch_core.codec import decode_json
from heatherhatch_core.coordination.competition.rejection import (
    Forecast,
    PoolBacklog,
    forecast,
)
from heatherhatch_core.coordination.competition.return_line import ReturnLine
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.work import Job

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.store import PolledStore
from .clock import now_s, wall_s
from .fleet_records import PoolReport
from .job_location import JobLocation, find_status
from .keys import report_key

READ_INTERVAL_S = 1.0  # between two reads of a pool's report by one instance
# Two jobs for a pool within this time at one of many instances are a sign of a peak.
# Without it, nothing is read while the last report shows no backlog.
PEAK_INTERVAL_S = 1.0
MAX_WAIT_S = 30.0  # a forecast further ahead says little


class ArrivalCheck:
    """Knows the backlog of each pool from the reports of its holder.

    Reports are read in the background. A job is judged by what is known, so that the
    check delays no caller; without fresh evidence it accepts.

    Args:
        store: The platform's store.
        holder_token: Returns the fencing token of the current holder of a pool; None if
            it is not known.
    """

    def __init__(self, store: PolledStore, holder_token: Callable[[str], int | None]):
        self.store = store
        self.holder_token = holder_token
        self.reports: dict[str, PoolReport] = {}
        self.read_s: dict[str, float] = {}
        self.submitted_s: dict[str, float] = {}
        self.lines: dict[str, ReturnLine] = {}

    def note_report(self, report: PoolReport) -> None:
        """Use a report that was read for another purpose."""
        self.reports[report.pool] = report
        self.read_s[report.pool] = now_s()

    def check(self, job: Job, location: JobLocation) -> None:
        """Check a job that is about to be stored.

        Args:
            job: The job.
            location: Where its status may be stored.

        Raises:
            HeatherhatchError: ``DEADLINE_UNREACHABLE`` if the job is new and its pool
                certainly can't complete it while it is of use.
        """
        self._note_submission(job.pool)
        report = self.reports.get(job.pool)
        found = self._hopeless(job, report)
        if found is None:
            return
        try:
            if find_status(location, self.store.get) is not None:
                return  # the registry tells whose it is
        except (StoreError, HeatherhatchError):
            return  # the job may be known
        error = self._error(job, found, report)
        self._note_rejected(job, error, report.backlog)
        raise error

    def _note_submission(self, pool: str) -> None:
        """Record that a job arrives for a pool; read its report if that may matter."""
        now = now_s()
        is_peak = now - self.submitted_s.get(pool, float("-inf")) < PEAK_INTERVAL_S
        self.submitted_s[pool] = now
        if now - self.read_s.get(pool, float("-inf")) < READ_INTERVAL_S:
            return
        report = self.reports.get(pool)
        if is_peak or (report is not None and report.backlog.waiting):
            self.read_s[pool] = now
            gevent.spawn(self._read, pool)

    def rejection(self, job: Job) -> HeatherhatchError | None:
        """Return the answer that a new job would get if it is hopeless, else None."""
        report = self.reports.get(job.pool)
        found = self._hopeless(job, report)
        return None if found is None else self._error(job, found, report)

    def _hopeless(self, job: Job, report: PoolReport | None) -> Forecast | None:
        """Return the forecast of a job that certainly can't be served, else None."""
        if report is None or report.token != self.holder_token(job.pool):
            return None
        age_s = max(0.0, wall_s() - report.at_s)
        found = forecast(job, report.backlog, age_s)
        return found if found is not None and found.is_hopeless else None

    def _error(
        self, job: Job, found: Forecast, report: PoolReport
    ) -> HeatherhatchError:
        """Return the answer to a hopeless job, which takes a place in line."""
        return HeatherhatchError(
            ErrorKind.DEADLINE_UNREACHABLE,
            f'pool "{job.pool}" is busy for at least {found.begin_s:.1f} s',
            self._retry_after_s(job, found, report),
        )

    def _note_rejected(
        self, job: Job, error: HeatherhatchError, backlog: PoolBacklog
    ) -> None:
        """Log a rejection that is given to a caller."""
        METER.sink.count(Metric.JOBS_REJECTED, label=job.pool)
        log(
            Event.DECIDED,
            what="job rejected on arrival",
            job=job.job_id,
            queue=job.queue,
            pool=job.pool,
            why=error.detail,
            retry_after_s=error.retry_after_s,
            cores=round(backlog.most_cores, 1),
            classes=[msgspec.structs.astuple(item) for item in backlog.classes],
        )

    def _retry_after_s(self, job: Job, found: Forecast, report: PoolReport) -> float:
        work = sum(
            step.count * step.need.cpu_m / 1000.0 * step.estimate_s
            for step in job.steps
        )
        line = self.lines.setdefault(job.pool, ReturnLine())
        return line.wait_s(
            found.capacity_in_s,
            work / report.backlog.most_cores,
            MAX_WAIT_S,
            now_s(),
        )

    def _read(self, pool: str) -> None:
        try:
            entry = self.store.get(report_key(pool))
            if entry is not None:
                self.note_report(decode_json(entry.value, PoolReport))
        except (StoreError, HeatherhatchError) as error:
            log(
                Event.DECIDED,
                what="report not read, jobs are accepted",
                pool=pool,
                error=str(error),
            )
