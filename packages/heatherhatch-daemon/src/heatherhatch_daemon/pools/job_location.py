"""Finds the records of a job by the address that its callers use."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration, Queue
from heatherhatch_core.state.work import JobStatus

from ..transport.store import Entry
from .keys import address_status_key, queue_status_key, status_key


@dataclass(frozen=True, slots=True)
class JobLocation:
    """The keys under which the status of a job may be stored.

    A job is identified by the address of its queue and its identifier. The name of the
    queue belongs to the operators, who may change it while jobs are open. Records of
    earlier versions have no address: they belong to the queue with their name, or, if
    no queue has it any more, to any queue that is asked for them.

    Attributes:
        job_id: Identifier of the job.
        address: Host and path prefix of its queue; empty to look for the name alone.
        queue: Name of the queue.
        queues: Names of all configured queues.
    """

    job_id: str
    address: str
    queue: str
    queues: frozenset[str] = frozenset()

    @property
    def first_key(self) -> str:
        """Key of the status if the job is the first with its identifier."""
        return status_key(self.job_id)

    @property
    def withdrawal_keys(self) -> tuple[str, ...]:
        """Keys of a withdrawal; earlier versions know the last one only."""
        by_name = queue_status_key(self.job_id, self.queue)
        if not self.address:
            return (by_name,)
        return (address_status_key(self.job_id, self.address), by_name)

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys that may hold the status."""
        return (self.first_key, *self.withdrawal_keys)

    def owns(self, status: JobStatus) -> bool:
        """Return whether a status under one of the keys is that of the job."""
        if status.address and self.address:
            return status.address == self.address
        if status.queue == self.queue:
            return True
        return bool(self.queues) and status.queue not in self.queues


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


def locate(config: FleetConfiguration, queue: Queue, job_id: str) -> JobLocation:
    """Return where the status of a job of a queue may be stored."""
    return JobLocation(job_id, queue.address, queue.name, config.queue_names())


def find_status(
    location: JobLocation, get: Callable[[str], Entry | None]
) -> FoundStatus | None:
    """Return the status of a job, or of its withdrawal; None if there is none.

    Args:
        location: Where the status may be stored.
        get: Reads one entry of the store.
    """
    withdrawal = None
    for key in location.keys:
        entry = get(key)
        status = read_status(entry) if entry is not None else None
        if status is None or not location.owns(status):
            continue
        found = FoundStatus(status, entry.key, entry.revision)
        if not status.withdrawn:
            return found
        # An earlier version accepts a withdrawn job under the last key alone.
        withdrawal = withdrawal or found
    return withdrawal


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
