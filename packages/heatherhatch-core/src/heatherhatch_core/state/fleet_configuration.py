"""The operators' configuration of queues, pools and teams."""

from dataclasses import dataclass, field

from .resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class PermitRules:
    """Response times of the policy service and the lifetime of its permits.

    Attributes:
        decision_s: Fixed part of the time for one query, seconds.
        per_worker_s: Additional time for each worker in the query, seconds.
        validity_s: Lifetime of a permit, seconds.
    """

    decision_s: float = 0.0
    per_worker_s: float = 0.0
    validity_s: float = 0.0

    def answer_s(self, workers: int) -> float:
        """Return how long a query about some workers takes, seconds."""
        return self.decision_s + workers * self.per_worker_s

    def workers_within(self, limit_s: float) -> float:
        """Return the number of workers that a query of this length may name.

        Args:
            limit_s: Time until the answer, seconds.
        """
        if not self.per_worker_s:
            return float("inf")
        return (limit_s - self.decision_s) / self.per_worker_s


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, which callers address by host and path.

    Attributes:
        name: Unique name.
        host: Host name in the callers' requests.
        prefix: Path prefix in the callers' requests.
        pool: Pool whose workers run the tasks.
        priority: 0 is the highest priority.
        attempts: Number of failed runs of a task after which its job fails.
        stretch: Factor of a job's time objective, as a multiple of the expected
            length of its longest chain of steps.
        target_s: Time that the objective adds to that multiple, seconds.
        public: True if callers need no key.
        permit_rules: Rules of the policy service, whose permit each worker needs;
            None if any worker may be used.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    public: bool = False
    permit_rules: PermitRules | None = None

    @property
    def address(self) -> str:
        """Host and path prefix, by which callers know the queue."""
        return self.host + self.prefix


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers.

    Attributes:
        name: Unique name.
        enforces_capacity: True if its workers refuse tasks that exceed their capacity.
        standby: True if its machines are switched off and cost nothing.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its keys, weight and limit.

    Attributes:
        name: Unique name.
        keys: Keys that its callers send.
        weight: Weight of its share of the capacity when the pools are full.
        limit: Maximum resources that its tasks use in all pools together; 0 means
            no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits for callers' requests.

    Attributes:
        header_bytes: Maximum size of the request headers, bytes.
        body_bytes: Maximum size of the request body, bytes.
        header_s: Timeout for receiving the request headers, seconds.
        idle_s: Timeout between two requests on a connection, seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the whole configuration.

    Attributes:
        version: Version number; increases with each change.
        queues: All queues.
        pools: All pools.
        teams: All teams.
        limits: Limits for callers' requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: RequestLimits = field(default_factory=RequestLimits)

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue on a host whose prefix is the longest match for a path."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def team_with(self, key: str) -> Team | None:
        """Return the team that a key belongs to."""
        for team in self.teams:
            if key in team.keys:
                return team
        return None

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue with a name."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def queue_names(self) -> frozenset[str]:
        """Return the names of all queues."""
        return frozenset(queue.name for queue in self.queues)

    def active_pools(self) -> tuple[str, ...]:
        """Return the names of the pools that are not on standby."""
        return tuple(pool.name for pool in self.pools if not pool.standby)
