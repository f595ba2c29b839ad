"""Registers accepted jobs in the store and finds their status."""

from dataclasses import replace
from enum import Enum

import msgspec

from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.work import Job, JobStatus, Phase

from ..transport.request_trace import InStage, Stage
from ..transport.store import Entry, Expect, Outcome, PolledStore, Put, Transaction
from .clock import sleep
from .job_location import JobLocation, read_status
from .keys import job_key, shown_status_key
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


class JobRegistry:
    """Keeps jobs under the address of their queue and their identifier.

    The status of the first job with an identifier is stored under the identifier alone,
    as earlier versions did; that of a job at another address that uses it later is
    stored under both. The open jobs of one pool have distinct identifiers, because
    workers get no queue in the names of tasks.

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
                ``CONFLICT`` if an open job at another address on the same pool has the
                identifier, ``STORE_UNAVAILABLE`` if it certainly was not stored,
                ``CHANGE_UNKNOWN`` if it may be stored, now or later.
        """
        # The job was checked against this version, so that no other may be expected.
        config = self.operators.expect()
        queues = self.operators.config.queue_names()
        location = JobLocation(job.job_id, job.address, job.queue, queues)
        others: dict[str, Entry] = {}
        while True:
            outcome = self._transact(_transaction(job, location, others, config))
            if outcome.succeeded:
                return Registration.STORED
            entries = {entry.key: entry for entry in outcome.entries}
            found = [entries[key] for key in location.keys if key in entries]
            own = [entry for entry in found if location.owns(read_status(entry))]
            stored = [entry for entry in own if not read_status(entry).withdrawn]
            if stored:
                _check_owner(read_status(stored[0]), job)
                return Registration.KNOWN
            if any(read_status(entry).is_owned_by(job.team) for entry in own):
                return self._store_cancelled(own, config)
            if job_key(job.pool, job.job_id) in entries:
                raise HeatherhatchError(
                    ErrorKind.CONFLICT,
                    f'an open job "{job.job_id}" of another queue is in pool '
                    f'"{job.pool}"',
                    RETRY_AFTER_S,
                )
            # What is left belongs to jobs at other addresses, or is a withdrawal by
            # another team, which cannot cancel the job.
            found_others = {entry.key: entry for entry in found}
            if found_others == others:
                return self._note_config_changed(outcome)
            others = found_others
            job = replace(job, shares_id=location.first_key in others)

    def _store_cancelled(
        self, withdrawals: list[Entry], config: Expect
    ) -> Registration:
        """Store a job that its owner has cancelled before; it never runs."""
        expects = [Expect(entry.key, entry.revision) for entry in withdrawals]
        puts = []
        for entry in withdrawals:
            status = msgspec.structs.replace(read_status(entry), withdrawn=False)
            puts.append(Put(entry.key, encode_json(status)))
        outcome = self._transact(Transaction((*expects, config), tuple(puts)))
        if outcome.succeeded:
            return Registration.KNOWN
        return self._note_config_changed(outcome)

    def _note_config_changed(self, outcome: Outcome) -> Registration:
        if not self.operators.apply_entries(outcome.entries):
            self.operators.refresh()
        return Registration.CONFIG_CHANGED

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


def _check_owner(status: JobStatus, job: Job) -> None:
    if not status.is_owned_by(job.team):
        raise HeatherhatchError(
            ErrorKind.FORBIDDEN,
            f'job "{job.job_id}" of queue "{job.queue}" belongs to another team',
        )


def _transaction(
    job: Job, location: JobLocation, others: dict[str, Entry], config: Expect
) -> Transaction:
    """Return the transaction that stores a job.

    Args:
        job: The job.
        location: Where its status may be stored.
        others: Entries under these keys that do not make the job known.
        config: Condition that the configuration is the newest.
    """
    status = JobStatus(
        Phase.QUEUED,
        job.pool,
        job.queue,
        job.team,
        shares_id=job.shares_id,
        address=job.address,
    )
    shown_key = shown_status_key(job.job_id, job)
    stored_key = job_key(job.pool, job.job_id)
    expects = [
        Expect(key, others[key].revision if key in others else 0)
        for key in location.keys
    ]
    replaced = tuple(
        key
        for key in location.withdrawal_keys
        if key in others
        and key != shown_key
        and location.owns(read_status(others[key]))
    )
    return Transaction(
        (*expects, Expect(stored_key, 0), config),
        (Put(shown_key, encode_json(status)), Put(stored_key, encode_json(job))),
        replaced,
    )
