"""Messages of the operators' API."""

from dataclasses import dataclass

from .coordination.planner import Plan
from .state.changes import Change, Edit
from .state.jobs import Job, JobState


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """An operator's wish for a change.

    Attributes:
        change_id: Unique id, chosen by the client, that makes resends safe.
        edit: What to change.
        reason: Why.
        dry_run: True to check only.
        base_seq: Position that the log must still have, -1 for any.
    """

    change_id: str
    edit: Edit
    reason: str = ""
    dry_run: bool = False
    base_seq: int = -1


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The answer to a change.

    Attributes:
        seq: Position in the log, 0 for a dry run.
    """

    seq: int


@dataclass(frozen=True, slots=True)
class InForce:
    """How far a change has come.

    Attributes:
        seq: Position of the change in the log.
        missing: Nodes that may still act on an older configuration.
    """

    seq: int
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """What is known of one node.

    Attributes:
        name: Name of the node.
        data_centre: Where it runs.
        seq: Log position in force there, -1 if it has not said.
        heard_s: Seconds since it was last heard, -1 if it never was.
    """

    name: str
    data_centre: str
    seq: int
    heard_s: float


@dataclass(frozen=True, slots=True)
class Status:
    """The state of the system as one node sees it.

    Attributes:
        node: Node that answers.
        seq: Log position in force here.
        standing: True if this node may act on its configuration.
        running: Requests running here.
        nodes: The other nodes.
        store_answers: False if this node does not reach the store, directly or
            through a peer; then no change can be accepted here.
    """

    node: str
    seq: int
    standing: bool
    running: int
    nodes: tuple[NodeStatus, ...]
    store_answers: bool = True


@dataclass(frozen=True, slots=True)
class AuditPage:
    """Part of the audit trail.

    Attributes:
        changes: Changes in order.
    """

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class PlanAnswer:
    """The plan for all announced waves."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class JobFilter:
    """Which jobs are wanted; an empty field wants all.

    Attributes:
        team: Team that submitted them.
        work_class: Class of work.
        worker_id: Worker that runs them.
        state: Where they are in their life.
        after: Place from which a page goes on, as in ``JobPage.next_after``.
        limit: Most jobs in a page.
    """

    team: str = ""
    work_class: str = ""
    worker_id: str = ""
    state: JobState | None = None
    after: str = ""
    limit: int = 10_000

    def matches(self, job: Job) -> bool:
        """Tell whether a job is wanted."""
        return (
            self.team in ("", job.team)
            and self.work_class in ("", job.spec.work_class)
            and (not self.worker_id or self.worker_id in job.workers)
            and self.state in (None, job.state)
        )


@dataclass(frozen=True, slots=True)
class JobPage:
    """Some jobs.

    Attributes:
        jobs: The jobs.
        next_after: Place from which the next page goes on, empty if none.
    """

    jobs: tuple[Job, ...]
    next_after: str = ""


@dataclass(frozen=True, slots=True)
class TicketPage:
    """Tickets that a node issued.

    Attributes:
        tickets: Values for Idempotency-Key, each good for one request.
    """

    tickets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The id of an accepted job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Jobs that a team gives up."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """How many live jobs a cancellation reached."""

    count: int
