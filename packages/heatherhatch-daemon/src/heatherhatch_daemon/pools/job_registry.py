"""Registers accepted jobs in the store and finds their status."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.work import Job, JobStatus, Phase

from ..transport.request_trace import InStage, Stage
from ..transport.store import Entry, Expect, Outcome, PolledStore, Put, Transaction
from .clock import sleep
from .keys import job_key, status_key
from .operators import Operators
from .retries import RETRY_AFTER_S, STORE_ATTEMPTS

STORE_PAUSE_S = 0.1  # pause between two attempts to store a job


class Registration(Enum):
    """Result of an attempt to register a job.

    ``STORED``: the job is new. ``KNOWN``: its owner has submitted it before.
    ``CONFIG_CHANGED``: nothing was stored, since the configuration is not the newest.
    """

    STORED = "stored"
    KNOWN = "known"
    CONFIG_CHANGED = "config changed"


@dataclass(frozen=True, slots=True)
class FoundStatus:
    """The status of a job and where the store keeps it.

    Attributes:
        status: The status.
        key: Key of the record.
        revision: Revision of the record.
    """

    status: JobStatus
    key: str
    revision: int


class JobRegistry:
    """Keeps jobs under their queue and identifier.

    The first job with an identifier is stored under the identifier alone, as earlier
    versions did; a job of another queue that uses it later is stored under both. The
    open jobs of one pool have distinct identifiers, because workers get no queue in
    the names of tasks.

    Args:
        store: The platform's store.
        operators: The operators' records.
    """

    def __init__(self, store: PolledStore, operators: Operators):
        self.store = store
        self.operators = operators

    def register(self, job: Job) -> Registration:
        """Store a job unless it is known, if the configuration is the newest.

        Raises:
            HeatherhatchError: ``FORBIDDEN`` if another team has submitted it,
                ``CONFLICT`` if an open job of another queue on the same pool has the
                identifier, ``STORE_UNAVAILABLE`` if it certainly was not stored,
                ``CHANGE_UNKNOWN`` if it may be stored, now or later.
        """
        # The job was checked against this version, so that no other may be expected.
        config = self.operators.expect()
        first_key = status_key(job.job_id)
        first_revision = 0
        withdrawn_revision = 0
        while True:
            outcome = self._transact(
                self._transaction(job, first_revision, withdrawn_revision, config)
            )
            if outcome.succeeded:
                return Registration.STORED
            found = {entry.key: entry for entry in outcome.entries}
            own = found.get(status_key(job.job_id, job.queue))
            first = found.get(first_key)
            if own is None and first is not None:
                own = first if read_status(first).queue == job.queue else None
            if own is not None:
                status = read_status(own)
                if not status.withdrawn:
                    _check_owner(status, job)
                    return Registration.KNOWN
                if status.is_owned_by(job.team):
                    return self._store_cancelled(own, config)
                if own.revision != withdrawn_revision:
                    # Another team cannot cancel the job.
                    withdrawn_revision = own.revision
                    continue
            if job_key(job.pool, job.job_id) in found:
                raise HeatherhatchError(
                    ErrorKind.CONFLICT,
                    f'an open job "{job.job_id}" of another queue is in pool '
                    f'"{job.pool}"',
                    RETRY_AFTER_S,
                )
            revision = first.revision if first is not None else 0
            if revision == first_revision:
                return self._note_config_changed(outcome)
            first_revision = revision
            job = replace(job, shares_id=bool(revision))

    def _store_cancelled(self, withdrawal: Entry, config: Expect) -> Registration:
        """Store a job that its owner has cancelled before; it never runs."""
        status = msgspec.structs.replace(read_status(withdrawal), withdrawn=False)
        expects = (Expect(withdrawal.key, withdrawal.revision), config)
        put = Put(withdrawal.key, encode_json(status))
        outcome = self._transact(Transaction(expects, (put,)))
        if outcome.succeeded:
            return Registration.KNOWN
        return self._note_config_changed(outcome)

    def _note_config_changed(self, outcome: Outcome) -> Registration:
        if not self.operators.apply_entries(outcome.entries):
            self.operators.refresh()
        return Registration.CONFIG_CHANGED

    def _transaction(
        self, job: Job, first_revision: int, withdrawn_revision: int, config: Expect
    ) -> Transaction:
        status = JobStatus(
            Phase.QUEUED, job.pool, job.queue, job.team, shares_id=job.shares_id
        )
        own_key = status_key(job.job_id, job.shared_by)
        stored_key = job_key(job.pool, job.job_id)
        # Where a cancellation that came before the job is recorded.
        queue_key = status_key(job.job_id, job.queue)
        is_replaced = withdrawn_revision and own_key != queue_key
        return Transaction(
            (
                Expect(status_key(job.job_id), first_revision),
                Expect(queue_key, withdrawn_revision),
                Expect(stored_key, 0),
                config,
            ),
            (Put(own_key, encode_json(status)), Put(stored_key, encode_json(job))),
            (queue_key,) if is_replaced else (),
        )

    def _transact(self, transaction: Transaction) -> Outcome:
        last_error: StoreError | None = None
        for _attempt in range(STORE_ATTEMPTS):
            try:
                return self.store.transact(transaction)
            except StoreError as error:
                if last_error is None and not error.maybe_applied:
                    raise HeatherhatchError(
                        ErrorKind.STORE_UNAVAILABLE, error.detail, RETRY_AFTER_S
                    ) from error
                last_error = error
                with InStage(Stage.RETRY_PAUSE):
                    sleep(STORE_PAUSE_S)
        # An earlier attempt may still be applied, so this is not a rejection.
        raise HeatherhatchError(
            ErrorKind.CHANGE_UNKNOWN, last_error.detail
        ) from last_error


def find_status(
    queue: str, job_id: str, get: Callable[[str], Entry | None]
) -> FoundStatus | None:
    """Return the status of a job, or of its withdrawal; None if there is none.

    Args:
        queue: Name of the job's queue.
        job_id: Identifier of the job.
        get: Reads one entry of the store.
    """
    entry = get(status_key(job_id))
    if entry is None or read_status(entry).queue != queue:
        entry = get(status_key(job_id, queue))
    if entry is None:
        return None
    return FoundStatus(read_status(entry), entry.key, entry.revision)


def read_status(entry: Entry) -> JobStatus:
    """Decode the status of a job.

    Raises:
        HeatherhatchError: ``INTERNAL`` if it is unreadable.
    """
    try:
        return decode_json(entry.value, JobStatus)
    except HeatherhatchError as error:
        raise HeatherhatchError(
            ErrorKind.INTERNAL, f'record "{entry.key}" is unreadable: {error.detail}'
        ) from error


def _check_owner(status: JobStatus, job: Job) -> None:
    if not status.is_owned_by(job.team):
        raise HeatherhatchError(
            ErrorKind.FORBIDDEN,
            f'job "{job.job_id}" of queue "{job.queue}" belongs to another team',
        )
