"""Tells who calls, and for which queue."""

from dataclasses import dataclass

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration, Queue
from heatherhatch_core.state.work import Terms


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls, and for which queue.

    Attributes:
        queue: The queue that is addressed.
        team: Team of the key; empty on a public queue without a key.
    """

    queue: Queue
    team: str

    def terms(self) -> Terms:
        """Return what the queue promises for a job."""
        queue = self.queue
        return Terms(queue.attempts, queue.priority, queue.stretch, queue.target_s)


def identify(config: FleetConfiguration, host: str, path: str, key: str) -> Caller:
    """Return who calls, by one configuration.

    Raises:
        HeatherhatchError: ``NOT_FOUND`` without such a queue, ``UNAUTHENTICATED``
            without a valid key.
    """
    queue = config.queue_at(host, path)
    if queue is None:
        raise HeatherhatchError(ErrorKind.NOT_FOUND, f'no queue at "{host}{path}"')
    team = config.team_with(key) if key else None
    if team is None and not queue.public:
        raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Caller(queue, team.name if team else "")
