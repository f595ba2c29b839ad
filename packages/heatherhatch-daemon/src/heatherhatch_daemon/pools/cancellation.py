"""Cancels jobs, also those whose submission is still on its way to the store."""

from collections.abc import Callable

import msgspec

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.work import JobStatus, Phase

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.store import Entry, Expect, Outcome, PolledStore, Put, Transaction
from .callers import Caller
from .clock import now_s, wall_s
from .job_location import FoundStatus, JobLocation, read_status
from .keys import cancel_key
from .rate_limit import RateLimit
from .retries import RETRY_AFTER_S, call_with_retries, retry_after_s

CONFLICT_ATTEMPTS = 8  # a job changes a few times a second
# Withdrawals of one team at one instance. Each takes a write, and about 200 bytes of
# the store until the sweeper removes it.
WITHDRAWALS_PER_S = 1.0
MAX_WITHDRAWAL_BURST = 50

Find = Callable[[], FoundStatus | None]


class Cancellations:
    """Stores what lets a cancelled job never start again.

    The cancellation of a job that is not known writes a record under the job's address
    and identifier, whose absence every submission expects. A submission that reaches
    the store later, sent by an instance that has given it up, therefore fails.

    Args:
        store: The platform's store.
        store_outage_s: Returns how long the store has not answered this node, seconds.
    """

    def __init__(self, store: PolledStore, store_outage_s: Callable[[], float]):
        self.store = store
        self.store_outage_s = store_outage_s
        self.limits: dict[str, RateLimit] = {}

    def cancel(self, caller: Caller, location: JobLocation, find: Find) -> None:
        """Store a request to cancel a job; do nothing if the job has ended.

        Args:
            caller: The team that cancels the job, and the queue.
            location: Where the status of the job may be stored.
            find: Returns the status of the job, or of its withdrawal.

        Raises:
            HeatherhatchError: ``NO_SUCH_JOB`` if the job is not known, and is not
                accepted any more; ``LIMIT_REACHED`` if the team cancels too many jobs
                that are not known.
        """
        job_id = location.job_id
        for _attempt in range(CONFLICT_ATTEMPTS):
            found = find()
            if found is None:
                is_gone = self._withdraw(caller, location)
            else:
                is_gone = found.status.withdrawn
            if is_gone:
                raise HeatherhatchError(ErrorKind.NO_SUCH_JOB, f'no job "{job_id}"')
            if found is not None and self._cancel(found, job_id):
                return
        raise HeatherhatchError(
            ErrorKind.CHANGE_UNKNOWN, f'job "{job_id}" changed during each attempt'
        )

    def _cancel(self, found: FoundStatus, job_id: str) -> bool:
        """Cancel a known job; return False if it has changed."""
        status = found.status
        if status.phase.final:
            return True
        key = cancel_key(status.pool, job_id)
        # The end of the job changes its status and deletes this key, so that a
        # request that is stored late finds one of the conditions false.
        expects = (Expect(found.key, found.revision), Expect(key, 0))
        outcome = self._transact(Transaction(expects, (Put(key, b"{}"),)), job_id)
        # Another caller, or an attempt without an answer, may have stored it.
        stored = outcome.succeeded or any(entry.key == key for entry in outcome.entries)
        if stored:
            _log_stored(job_id, status, status.phase.value)
        return stored

    def _withdraw(self, caller: Caller, location: JobLocation) -> bool:
        """Make later submissions of a job fail; return False if it is known now."""
        self._check_rate(caller.team)
        status = _withdrawal(caller)
        found: dict[str, Entry] = {}
        for _attempt in range(CONFLICT_ATTEMPTS):
            outcome = self._transact(
                _withdrawal_transaction(status, location, found), location.job_id
            )
            if outcome.succeeded:
                METER.sink.count(Metric.WITHDRAWALS, label="stored")
                _log_stored(location.job_id, status, "not submitted")
                return True
            found = {entry.key: entry for entry in outcome.entries}
            statuses = [read_status(entry) for entry in found.values()]
            own = [item for item in statuses if location.owns(item)]
            if any(not item.withdrawn for item in own):
                return False
            if any(item.is_owned_by(caller.team) for item in own):
                return True
            if own:
                # Several teams have cancelled it: it is withdrawn for all of them.
                status = msgspec.structs.replace(status, team="")
        return False

    def _check_rate(self, team: str) -> None:
        limit = self.limits.setdefault(
            team, RateLimit(WITHDRAWALS_PER_S, MAX_WITHDRAWAL_BURST)
        )
        if not limit.take(now_s()):
            METER.sink.count(Metric.WITHDRAWALS, label="refused")
            raise HeatherhatchError(
                ErrorKind.LIMIT_REACHED,
                f'team "{team}" cancels too many jobs that are not known',
                RETRY_AFTER_S,
            )

    def _transact(self, transaction: Transaction, job_id: str) -> Outcome:
        try:
            return call_with_retries(
                lambda: self.store.transact(transaction), self.store_outage_s, job_id
            )
        except StoreError as error:
            kind = ErrorKind.CHANGE_UNKNOWN
            if not error.maybe_applied:
                kind = ErrorKind.STORE_UNAVAILABLE
            raise HeatherhatchError(
                kind, error.detail, retry_after_s(self.store_outage_s())
            ) from error


def _withdrawal(caller: Caller) -> JobStatus:
    """Return the record that a team has cancelled a job that is not known."""
    return JobStatus(
        Phase.CANCELLED,
        caller.queue.pool,
        caller.queue.name,
        caller.team,
        wall_s(),
        shares_id=True,
        withdrawn=True,
        address=caller.queue.address,
    )


def _withdrawal_transaction(
    status: JobStatus, location: JobLocation, found: dict[str, Entry]
) -> Transaction:
    """Return the transaction that stores a withdrawal.

    Args:
        status: The withdrawal.
        location: Where the status of the job may be stored.
        found: Entries under these keys that do not make the job known.
    """
    expects = tuple(
        Expect(key, found[key].revision if key in found else 0) for key in location.keys
    )
    value = encode_json(status)
    puts = tuple(
        Put(key, value)
        for key in location.withdrawal_keys
        if key not in found or location.owns(read_status(found[key]))
    )
    return Transaction(expects, puts)


def _log_stored(job_id: str, status: JobStatus, phase: str) -> None:
    log(
        Event.JOB_CANCELLING,
        job=job_id,
        queue=status.queue,
        team=status.team,
        phase=phase,
    )
