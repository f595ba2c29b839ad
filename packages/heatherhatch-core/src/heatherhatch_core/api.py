"""Messages of the operators' API."""

from dataclasses import dataclass

from .coordination.planner import Plan
from .state.changes import Change, Edit
from .state.jobs import Job, JobState


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A request by an operator to change the configuration.

    Attributes:
        change_id: Unique id chosen by the client; makes retries idempotent.
        edit: Entities to put and to remove.
        reason: Reason for the change.
        dry_run: True to validate the change without applying it.
        base_seq: Position that the head of the log must have, -1 for any.
    """

    change_id: str
    edit: Edit
    reason: str = ""
    dry_run: bool = False
    base_seq: int = -1


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The answer to a change request.

    Attributes:
        seq: Log position of the change, 0 for a dry run.
    """

    seq: int


@dataclass(frozen=True, slots=True)
class InForce:
    """How far a change is in force on the nodes.

    Attributes:
        seq: Log position of the change.
        missing: Nodes that may still act on an older configuration.
    """

    seq: int
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of one node as seen by another.

    Attributes:
        name: Name of the node.
        data_centre: Data centre in which it runs.
        seq: Log position in force there, -1 if it has not been reported.
        heard_s: Time since its last heartbeat or since the heartbeat that it last
            answered was sent, seconds; -1 if there was none.
    """

    name: str
    data_centre: str
    seq: int
    heard_s: float


@dataclass(frozen=True, slots=True)
class Status:
    """Status of the system as seen by one node.

    Attributes:
        node: Name of the responding node.
        seq: Log position in force on this node.
        standing: True if this node may act on its configuration.
        running: Number of requests running on this node.
        nodes: Status of the other nodes.
        store_answers: False if this node reaches the store neither directly nor
            through a peer, so that it cannot accept changes.
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
        changes: Accepted changes in log order.
    """

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class PlanAnswer:
    """The answer with the plan for all announced waves."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class JobFilter:
    """Filter for jobs; an empty field matches all jobs.

    Attributes:
        team: Team that submitted the job.
        work_class: Class of work.
        worker_id: Worker that runs the job.
        state: State of the job.
        after: Cursor after which the page starts, as in ``JobPage.next_after``.
        limit: Maximum number of jobs in a page.
    """

    team: str = ""
    work_class: str = ""
    worker_id: str = ""
    state: JobState | None = None
    after: str = ""
    limit: int = 10_000

    def matches(self, job: Job) -> bool:
        """Return whether a job matches the filter."""
        return (
            self.team in ("", job.team)
            and self.work_class in ("", job.spec.work_class)
            and (not self.worker_id or self.worker_id in job.workers)
            and self.state in (None, job.state)
        )


@dataclass(frozen=True, slots=True)
class JobPage:
    """A page of jobs.

    Attributes:
        jobs: Jobs on the page.
        next_after: Cursor of the next page, empty if this is the last page.
    """

    jobs: tuple[Job, ...]
    next_after: str = ""


@dataclass(frozen=True, slots=True)
class TicketPage:
    """Tickets issued by a node.

    Attributes:
        tickets: Values for Idempotency-Key, each valid for one request.
    """

    tickets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The answer with the id of an accepted job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """A request by a team to cancel jobs."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """The answer with the number of jobs that a cancellation applied to."""

    count: int
