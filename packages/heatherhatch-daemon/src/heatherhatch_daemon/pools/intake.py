"""Takes jobs in, and tells callers how they stand."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.work import Job, JobStatus, Phase, Schedule, Step

from ..events import Event, log
from ..transport.store import Entry, Expect, Outcome, PolledStore, Put, Transaction
from .board import PoolReport
from .callers import Caller, identify
from .clock import now_s, pause, wall_s
from .keys import cancel_key, job_key, report_key, status_key
from .operators import Operators

STORE_RETRY_S = 1.0  # when a caller may come back after the store was away
RETRY_MOST_S = 4.0  # nobody is sent away for longer, as nobody knows the end
STORE_TRIES = 4  # a short spell of the store costs a caller no second attempt
STORE_PAUSE_S = 0.1  # pause between two tries
REPORT_AGE_S = 3.0  # a pool's report older than this says nothing of its queue
FRESH_TRIES = 8  # twelve versions a second overtake one write in eight


class Intake:
    """The callers' side of the pools; every instance serves it.

    What is accepted is stored under the condition that the configuration it
    was checked against is the newest. A refusal is checked against one that
    was the newest a moment ago.

    Args:
        store: The platform's store.
        operators: The operators' records.
        store_lost_s: Returns for how long the store is known not to answer this
            node; 0 while it answers.
    """

    def __init__(
        self,
        store: PolledStore,
        operators: Operators,
        store_lost_s: Callable[[], float] = lambda: 0.0,
    ):
        self.store = store
        self.operators = operators
        self.store_lost_s = store_lost_s

    def identify(self, host: str, path: str, key: str) -> Caller:
        """Return who calls.

        Raises:
            HeatherhatchError: ``NOT_FOUND`` without such a queue,
                ``UNAUTHENTICATED`` without a valid key, ``NO_STANDING`` if this
                node can't tell, ``STORE_UNAVAILABLE`` if it need not try.
        """
        lost_s = self.store_lost_s()
        if lost_s:
            # An outage that has lasted so long may last as long again.
            retry_s = min(RETRY_MOST_S, max(STORE_RETRY_S, lost_s))
            raise HeatherhatchError(
                ErrorKind.STORE_UNAVAILABLE,
                f"the store hasn't answered this node for {lost_s:.1f} s",
                retry_s,
            )
        config = self.operators.config
        if config is not None:
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
        """Store a job; if it is there already, nothing changes.

        Raises:
            HeatherhatchError: The kind tells whether the job can still run.
        """
        for _try in range(FRESH_TRIES):
            caller = self.identify(host, path, key)
            job_id = path.removeprefix(caller.queue.prefix)
            if not job_id or "/" in job_id:
                raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no job at "{path}"')
            job = Job(
                job_id,
                caller.queue.name,
                caller.queue.pool,
                caller.team,
                payload,
                steps,
                schedule,
                wall_s(),
                caller.terms(),
            )
            if self._store(job):
                return
        raise HeatherhatchError(
            ErrorKind.NO_STANDING, "the configuration changes too fast", STORE_RETRY_S
        )

    def _store(self, job: Job) -> bool:
        """Store a job; return False if the configuration was not the newest."""
        config = self.operators.expect()
        status = JobStatus(Phase.QUEUED, job.pool, job.queue, job.team)
        transaction = Transaction(
            (Expect(status_key(job.job_id), 0), config),
            (
                Put(status_key(job.job_id), encode_json(status)),
                Put(job_key(job.pool, job.job_id), encode_json(job)),
            ),
        )
        asked_s = now_s()
        outcome = self._transact(transaction)
        known = any(entry.key == status_key(job.job_id) for entry in outcome.entries)
        if outcome.succeeded or known:
            log(
                Event.JOB_ACCEPTED,
                job=job.job_id,
                queue=job.queue,
                team=job.team,
                version=self.operators.config.version,
                known=known,
                took_ms=round((now_s() - asked_s) * 1000, 1),
            )
            return True
        if not self.operators.learn(outcome.entries):
            self.operators.refresh()
        return False

    def _transact(self, transaction: Transaction) -> Outcome:
        """Carry out the creation of a job; it may be sent more than once.

        Raises:
            HeatherhatchError: ``STORE_UNAVAILABLE`` if it was surely not done,
                ``CHANGE_UNKNOWN`` if it may have been, or may still be.
        """
        lost: StoreError | None = None
        for _try in range(STORE_TRIES):
            try:
                return self.store.transact(transaction)
            except StoreError as error:
                if lost is None and not error.maybe_applied:
                    raise HeatherhatchError(
                        ErrorKind.STORE_UNAVAILABLE, error.detail, STORE_RETRY_S
                    ) from error
                lost = error
                pause(STORE_PAUSE_S)
        # An earlier try may still be done, so this must not be called a refusal.
        raise HeatherhatchError(ErrorKind.CHANGE_UNKNOWN, lost.detail) from lost

    def status(self, host: str, path: str, key: str) -> JobStatus:
        """Return how a job stands.

        Raises:
            HeatherhatchError: ``NO_SUCH_JOB`` if it is not known.
        """
        caller = self.identify(host, path, key)
        return self._status(caller, path.removeprefix(caller.queue.prefix))[0]

    def cancel(self, host: str, path: str, key: str) -> None:
        """Ask for a job's cancellation; it is stored when this returns.

        Raises:
            HeatherhatchError: ``NO_SUCH_JOB`` if it is not known.
        """
        caller = self.identify(host, path, key)
        job_id = path.removeprefix(caller.queue.prefix)
        for _try in range(FRESH_TRIES):
            status, revision = self._status(caller, job_id)
            if status.phase.final:
                return
            put = Put(cancel_key(status.pool, job_id), b"{}")
            expect = Expect(status_key(job_id), revision)
            try:
                outcome = self.store.transact(Transaction((expect,), (put,)))
            except StoreError as error:
                kind = ErrorKind.CHANGE_UNKNOWN
                if not error.maybe_applied:
                    kind = ErrorKind.STORE_UNAVAILABLE
                raise HeatherhatchError(kind, error.detail, STORE_RETRY_S) from error
            if outcome.succeeded:
                log(Event.JOB_CANCELLING, job=job_id, phase=status.phase.value)
                return
        raise HeatherhatchError(
            ErrorKind.CHANGE_UNKNOWN, f'job "{job_id}" changes too fast'
        )

    def waiting(self, host: str, path: str, key: str) -> int:
        """Return how many jobs of a queue have not begun."""
        caller = self.identify(host, path, key)
        # A queue that was just removed must not be counted any more.
        if self.operators.confirm().queue_named(caller.queue.name) is None:
            raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no queue at "{path}"')
        entry = self._get(report_key(caller.queue.pool))
        report = decode_json(entry.value, PoolReport) if entry else None
        if report is None or wall_s() - report.at_s > REPORT_AGE_S:
            raise HeatherhatchError(
                ErrorKind.NO_STANDING,
                f'pool "{caller.queue.pool}" has no recent report',
                STORE_RETRY_S,
            )
        return report.waiting.get(caller.queue.name, 0)

    def _status(self, caller: Caller, job_id: str) -> tuple[JobStatus, int]:
        entry = self._get(status_key(job_id))
        if entry is None:
            raise HeatherhatchError(ErrorKind.NO_SUCH_JOB, f'no job "{job_id}"')
        status = decode_json(entry.value, JobStatus)
        if status.team and caller.team and status.team != caller.team:
            raise HeatherhatchError(
                ErrorKind.FORBIDDEN, f'job "{job_id}" belongs to another team'
            )
        return status, entry.revision

    def _get(self, key: str) -> Entry | None:
        try:
            return self.store.get(key)
        except StoreError as error:
            raise HeatherhatchError(
                ErrorKind.STORE_UNAVAILABLE, error.detail, STORE_RETRY_S
            ) from error
