"""Accepts jobs, and answers the status and cancel requests of callers."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.feature_gates import ALL_ENABLED, FeatureGates
from heatherhatch_core.state.work import Job, JobStatus, Schedule, Step

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .arrival_check import ArrivalCheck
from .callers import JOB_ID, Caller, identify, new_job_id
from .cancellation import Cancellations
from .clock import now_s, wall_s
from .fleet_records import PoolReport
from .job_location import FoundStatus, JobLocation, find_status, locate
from .job_registry import JobRegistry, Registration
from .keys import report_key
from .operators import MAX_SERVING_AGE_S, Operators
from .retries import RETRY_AFTER_S, ReturnTimes, call_with_retries, retry_after_s

MAX_REPORT_AGE_S = 3.0  # queue lengths in an older report of a pool are not used
CONFLICT_ATTEMPTS = 8  # at 12 configuration versions a second, 1 write in 8 conflicts


class Intake:
    """Handles the requests of callers to the pools; every instance serves it.

    A job is stored by an optimistic transaction, which succeeds only if the
    configuration that the request was checked against is still the newest. A
    request is rejected only by a configuration that was recently confirmed as
    the newest.

    Args:
        store: The platform's store.
        operators: The operators' records.
        store_outage_s: Returns how long the store has not answered this node,
            seconds; 0 while it answers.
        holder_token: Returns the fencing token of the current holder of a pool; None if
            it is not known.
        gates: Optional mechanisms that are enabled.
    """

    def __init__(
        self,
        store: PolledStore,
        operators: Operators,
        store_outage_s: Callable[[], float] = lambda: 0.0,
        holder_token: Callable[[str], int | None] = lambda _pool: None,
        gates: FeatureGates = ALL_ENABLED,
    ):
        self.store = store
        self.operators = operators
        self.store_outage_s = store_outage_s
        self.registry = JobRegistry(store, operators)
        self.cancellations = Cancellations(store, lambda: self.store_outage_s())
        self.arrivals = ArrivalCheck(store, holder_token)
        self.gates = gates
        self.returns = ReturnTimes()

    def identify(self, host: str, path: str, key: str) -> Caller:
        """Return the caller that a request comes from.

        Raises:
            HeatherhatchError: ``NOT_FOUND`` if there is no such queue,
                ``UNAUTHENTICATED`` if the key is not valid, ``NO_STANDING`` if
                this node cannot confirm the newest configuration,
                ``STORE_UNAVAILABLE`` if the store is known not to answer.
        """
        outage_s = self.store_outage_s()
        if outage_s:
            raise HeatherhatchError(
                ErrorKind.STORE_UNAVAILABLE,
                f"the store has answered no read of this node for {outage_s:.1f} s",
                retry_after_s(outage_s),
            )
        config = self.operators.confirm(MAX_SERVING_AGE_S)
        try:
            return identify(config, host, path, key)
        except HeatherhatchError as error:
            log(
                Event.DECIDED,
                what="check refusal against the newest configuration",
                kind=error.kind.value,
                version=config.version,
            )
        return identify(self.operators.confirm(), host, path, key)

    def submit(
        self,
        host: str,
        path: str,
        key: str,
        payload: str,
        steps: tuple[Step, ...],
        schedule: Schedule,
    ) -> None:
        """Store a job; do nothing if its owner has submitted it before.

        Raises:
            HeatherhatchError: The error kind says whether the job may still run;
                ``FORBIDDEN`` if another team has submitted a job with the identifier.
        """
        try:
            self._submit(host, path, key, payload, steps, schedule)
        except HeatherhatchError as error:
            is_outage = error.kind is ErrorKind.STORE_UNAVAILABLE
            if is_outage and self.gates.spread_returns:
                earliest_s = error.retry_after_s or RETRY_AFTER_S
                error.retry_after_s = self.returns.next_s(earliest_s)
            raise

    def _submit(
        self,
        host: str,
        path: str,
        key: str,
        payload: str,
        steps: tuple[Step, ...],
        schedule: Schedule,
    ) -> None:
        for _attempt in range(CONFLICT_ATTEMPTS):
            self.operators.await_change()
            caller = self.identify(host, path, key)
            job = Job(
                new_job_id(caller, path),
                caller.queue.name,
                caller.queue.pool,
                caller.team,
                payload,
                steps,
                schedule,
                wall_s(),
                caller.terms(),
                address=caller.queue.address,
            )
            if self.gates.arrival_rejection:
                self.arrivals.check(job, self._locate(caller, path))
            sent_s = now_s()
            result = self.registry.register(job)
            if result is not Registration.CONFIG_CHANGED:
                self.returns.accepted.note(now_s())
                log(
                    Event.JOB_ACCEPTED,
                    job=job.job_id,
                    queue=job.queue,
                    team=job.team,
                    version=self.operators.config.version,
                    known=result is Registration.KNOWN,
                    took_ms=round((now_s() - sent_s) * 1000, 1),
                )
                return
        raise HeatherhatchError(
            ErrorKind.NO_STANDING,
            "the configuration changed during each attempt",
            RETRY_AFTER_S,
        )

    def status(
        self, host: str, path: str, key: str, limit_s: float = float("inf")
    ) -> JobStatus:
        """Return the status of a job.

        Args:
            host: Host that the request addresses.
            path: Path of the request.
            key: Key of the caller's team.
            limit_s: Time after which the store is not asked again, seconds.

        Raises:
            HeatherhatchError: ``NO_SUCH_JOB`` if the job is not known.
        """
        caller = self.identify(host, path, key)
        location = self._locate(caller, path)
        found = self._find(caller, location, limit_s)
        if found is None or found.status.withdrawn:
            raise _no_such_job(location.job_id)
        return found.status

    def cancel(
        self, host: str, path: str, key: str, limit_s: float = float("inf")
    ) -> None:
        """Store a request to cancel a job; do nothing if the job has ended.

        Args:
            host: Host that the request addresses.
            path: Path of the request.
            key: Key of the caller's team.
            limit_s: Time after which the job is not looked for again, seconds.

        Raises:
            HeatherhatchError: See `Cancellations.cancel`.
        """
        caller = self.identify(host, path, key)
        location = self._locate(caller, path)
        self.cancellations.cancel(
            caller, location, lambda: self._find(caller, location, limit_s)
        )

    def waiting(
        self, host: str, path: str, key: str, limit_s: float = float("inf")
    ) -> int:
        """Return how many jobs of a queue have not started; see `status`."""
        self.identify(host, path, key)
        # A queue that was just removed must not be reported any more.
        caller = identify(self.operators.confirm(), host, path, key)
        entry = self._get(report_key(caller.queue.pool), limit_s)
        report = decode_json(entry.value, PoolReport) if entry else None
        if report is None or wall_s() - report.at_s > MAX_REPORT_AGE_S:
            raise HeatherhatchError(
                ErrorKind.NO_STANDING,
                f'pool "{caller.queue.pool}" has no recent report',
                RETRY_AFTER_S,
            )
        self.arrivals.note_report(report)
        return report.waiting_in(caller.queue)

    def _locate(self, caller: Caller, path: str) -> JobLocation:
        job_id = path.removeprefix(caller.queue.prefix)
        if JOB_ID.fullmatch(job_id):
            return locate(self.operators.config, caller.queue, job_id)
        raise _no_such_job(job_id)

    def _find(
        self, caller: Caller, location: JobLocation, limit_s: float
    ) -> FoundStatus | None:
        """Return the status of a job, or of its withdrawal; None if there is none."""
        found = find_status(location, lambda key: self._get(key, limit_s))
        if found is None or found.status.is_owned_by(caller.team):
            return found
        if found.status.withdrawn:
            return None
        raise HeatherhatchError(
            ErrorKind.FORBIDDEN, f'job "{location.job_id}" belongs to another team'
        )

    def _get(self, key: str, limit_s: float) -> Entry | None:
        try:
            return call_with_retries(
                lambda: self.store.get(key), self.store_outage_s, key, limit_s
            )
        except StoreError as error:
            raise HeatherhatchError(
                ErrorKind.STORE_UNAVAILABLE,
                error.detail,
                retry_after_s(self.store_outage_s()),
            ) from error


def _no_such_job(job_id: str) -> HeatherhatchError:
    return HeatherhatchError(ErrorKind.NO_SUCH_JOB, f'no job "{job_id}"')
