"""Jobs of steps and tasks, and the records of them in the store."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from .fleet_configuration import PermitRules
from .resources import NO_RESOURCES, Resources


class Phase(Enum):
    """Phase of a job's life cycle."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """True if the job has reached a phase that does not change."""
        return self not in (Phase.QUEUED, Phase.RUNNING)


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks.

    Attributes:
        count: Number of tasks.
        need: Resources that one task requests on its worker.
        estimate_s: Estimated run time of a task, seconds.
        after: Numbers of the steps that must be done before this one starts.
        checkpoints: True if a task saves checkpoints of its progress.
        gang: True if the tasks can only run all at the same time.
        same_rack: True if the tasks run slower when spread over several racks.
        label: Label that the worker must have; empty for any worker.
        rack: Rack that holds the input data; empty for no preference.
        spread: Maximum number of tasks of one occurrence on one worker; 0 for no
            limit.
        speculative: True if several copies of a task may run concurrently.
        lasting: True if the tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of the same image behave alike.
        tail_target_ms: Target for the tail latency of a serving task, milliseconds;
            0 for none.
        fills: True if the tasks use only processor time that other tasks leave idle.
        may_miss: Maximum number of tasks that the system may stop at the same
            time; 0 for no limit.
    """

    count: int = 1
    need: Resources = NO_RESOURCES
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    spread: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def occupies(self) -> Resources:
        """Resources that one task reserves of its worker's capacity."""
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps of a job run.

    Attributes:
        first_s: Due time of the first occurrence, seconds since the epoch.
        interval_s: Seconds between two occurrences.
        count: Number of occurrences; 0 if the steps run once, immediately.
    """

    first_s: float = 0.0
    interval_s: float = 0.0
    count: int = 0


@dataclass(frozen=True, slots=True)
class Terms:
    """Rules of the queue that applied when a job was accepted.

    They are stored with the job, so that later changes to its queue do not affect
    it.

    Attributes:
        attempts: Number of failed runs of a task after which its job fails.
        priority: 0 is the highest priority.
        stretch: Factor of the time objective, as a multiple of the expected length
            of the longest chain of steps.
        target_s: Time that the objective adds to that multiple, seconds.
        permit_rules: Rules of the policy service, which apply once the queue is
            removed; None if it had none, or from earlier versions.
    """

    attempts: int = 1
    priority: int = 0
    stretch: float = 1.0
    target_s: float = 0.0
    permit_rules: PermitRules | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted; immutable.

    Attributes:
        job_id: Identifier that the caller chose.
        queue: Name of the queue that accepted the job.
        pool: Pool that runs the job.
        team: Team that submitted the job; empty on a public queue.
        payload: Description of the work, passed to the workers.
        steps: Steps of the job.
        schedule: When the steps run.
        accepted_s: When the job was accepted, seconds since the epoch.
        terms: Rules of the queue at that time.
        shares_id: True if a job at another address used the identifier first, so that
            the status is stored under the address and the identifier.
        address: Host and path prefix of the queue that accepted the job; empty from
            earlier versions.
    """

    job_id: str
    queue: str
    pool: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()
    accepted_s: float = 0.0
    terms: Terms = Terms()
    shares_id: bool = False
    address: str = ""


class JobStatus(msgspec.Struct, frozen=True):
    """Status of a job as shown to callers.

    Attributes:
        phase: Phase of the job.
        pool: Pool that runs the job.
        queue: Name of the queue that accepted the job.
        team: Team that submitted the job; empty on a public queue.
        ended_s: When the job ended, seconds since the epoch; 0 until then.
        shares_id: True if a job at another address used the identifier first.
        reason: Why the job failed; empty if it has not.
        withdrawn: True if the job was cancelled before a submission of it was stored,
            so that it is not known to callers and is never accepted.
        address: Host and path prefix of the queue that accepted the job; empty from
            earlier versions.
    """

    phase: Phase
    pool: str
    queue: str
    team: str = ""
    ended_s: float = 0.0
    shares_id: bool = False
    reason: str = ""
    withdrawn: bool = False
    address: str = ""

    def is_owned_by(self, team: str) -> bool:
        """Return whether a team may use the job; without a team, anyone may."""
        return not self.team or not team or self.team == team


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task that may still be in progress.

    Attributes:
        number: Run number; increases with each start of the task.
        worker_id: Worker that the run was placed on.
        born_ms: Start time of that worker incarnation, milliseconds since the
            epoch.
        machine: Machine of that worker; empty if unknown.
    """

    number: int
    worker_id: str
    born_ms: int
    machine: str = ""


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one task.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Index of the task within its step.
        last_run: Highest run number used so far.
        failures: Number of failed runs.
        done: True once a run has succeeded.
        checkpoint: Last saved checkpoint; empty for none.
        runs: Runs that may still be in progress.
        crashes: Number of workers that crashed with a run of the task.
        sole_crashes: Number of these crashes that no other run can have caused.
        preemptions: Number of its runs that were stopped for urgent jobs.
    """

    occurrence: int
    step: int
    index: int
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple[RunRecord, ...]
    crashes: int = 0
    sole_crashes: int = 0
    preemptions: int = 0


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job, stored as one record.

    Attributes:
        tasks: Tasks that have started, of occurrences that are not done.
        occurrences_done: Occurrences whose tasks are all done.
        began: True if a worker is known to have taken a run of the job.
    """

    tasks: tuple[TaskRecord, ...] = ()
    occurrences_done: tuple[int, ...] = ()
    began: bool = False
