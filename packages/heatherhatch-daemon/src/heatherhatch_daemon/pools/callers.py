"""Identifies the team that a request comes from, and its queue."""

import re
from dataclasses import dataclass

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration, Queue
from heatherhatch_core.state.work import Terms

MAX_JOB_ID_CHARACTERS = 64  # identifiers are parts of keys and of task names
JOB_ID = re.compile(rf"[0-9A-Za-z_-]{{1,{MAX_JOB_ID_CHARACTERS}}}")


@dataclass(frozen=True, slots=True)
class Caller:
    """The team that a request comes from, and the queue that it addresses.

    Attributes:
        queue: The queue that the request addresses.
        team: Name of the key's team; empty on a public queue without a key.
    """

    queue: Queue
    team: str

    def terms(self) -> Terms:
        """Return the terms under which the queue accepts a job."""
        queue = self.queue
        return Terms(
            queue.attempts,
            queue.priority,
            queue.stretch,
            queue.target_s,
            queue.permit_rules,
        )


def identify(config: FleetConfiguration, host: str, path: str, key: str) -> Caller:
    """Return the caller that a request comes from, by one configuration.

    Raises:
        HeatherhatchError: ``NOT_FOUND`` if there is no such queue,
            ``UNAUTHENTICATED`` if the key is not valid.
    """
    queue = config.queue_at(host, path)
    if queue is None:
        raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no queue at "{host}{path}"')
    team = config.team_with(key) if key else None
    if team is None and (key or not queue.public):
        raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Caller(queue, team.name if team else "")


def new_job_id(caller: Caller, path: str) -> str:
    """Return the identifier that a caller chose for a job.

    Raises:
        HeatherhatchError: ``NOT_FOUND`` if the path names no job, ``BAD_REQUEST`` if
            the identifier is malformed.
    """
    job_id = path.removeprefix(caller.queue.prefix)
    if not job_id or "/" in job_id:
        raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no job at "{path}"')
    if not JOB_ID.fullmatch(job_id):
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST,
            f'job "{job_id[:MAX_JOB_ID_CHARACTERS]}" is not named by 1 to '
            f"{MAX_JOB_ID_CHARACTERS} letters, digits, hyphens and underscores",
        )
    return job_id
