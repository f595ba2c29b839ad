"""The operators' configuration of queues, pools and teams."""

from dataclasses import dataclass, field

from .resources import NOTHING, Resources


@dataclass(frozen=True, slots=True)
class AdviceRules:
    """How long the policy service takes, and how long its permits last.

    Attributes:
        decision_s: Fixed time of one question, seconds.
        each_s: Time for each worker in the question, seconds.
        validity_s: Life of a permit, seconds.
    """

    decision_s: float = 0.0
    each_s: float = 0.0
    validity_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Queue:
    """One queue of jobs; callers address it by host and path.

    Attributes:
        name: Unique name.
        host: Host that callers name.
        prefix: Path prefix that callers use.
        pool: Pool whose workers run the tasks.
        priority: 0 goes first.
        attempts: Failed runs after which a task fails its job.
        stretch: Objective of a job, in lengths of its longest chain of work.
        target_s: Time that the objective adds to the chain, seconds.
        public: True if callers need no key.
        advice: Rules of the policy service; None if any worker may be used.
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
    advice: AdviceRules | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers.

    Attributes:
        name: Unique name.
        guards_capacity: True if its workers refuse what does not fit.
        standby: True if its machines are off and cost nothing.
    """

    name: str
    guards_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its keys, share and limit.

    Attributes:
        name: Unique name.
        keys: Keys that its callers present.
        weight: Share when all is full.
        limit: What it may have running over all pools; 0 means no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Resources = NOTHING


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on callers' requests.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest body.
        header_s: Longest time for a request head, seconds.
        idle_s: Longest pause between two requests of a connection, seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the whole configuration.

    Attributes:
        version: Rises with each change.
        queues: All queues.
        pools: All pools.
        teams: All teams.
        limits: Bounds on callers' requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: RequestLimits = field(default_factory=RequestLimits)

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path on a host."""
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
        """Return a queue by its name."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def working_pools(self) -> tuple[str, ...]:
        """Return the names of the pools whose machines are on."""
        return tuple(pool.name for pool in self.pools if not pool.standby)
