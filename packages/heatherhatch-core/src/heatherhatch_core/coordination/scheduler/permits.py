"""Permits of the policy service, which decides what workers may run a step."""

from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import TaskName

RENEWAL_MARGIN_S = 0.5  # a permit this close to its expiry is renewed, not used
MIN_USE_S = 0.3  # a round of the scheduler and the write before the start take less


class StepName(NamedTuple):
    """Name of a step of one occurrence.

    Attributes:
        job_id: Job that the step belongs to.
        occurrence: Number of the occurrence.
        step: Number of the step.
    """

    job_id: str
    occurrence: int
    step: int


def step_name(task: TaskName) -> StepName:
    """Return the step that a task belongs to."""
    return StepName(task.job_id, task.occurrence, task.step)


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to run a step on one worker.

    Attributes:
        ticket: Token to include in the start order.
        until_s: Expiry, monotonic seconds.
    """

    ticket: str
    until_s: float


def expiry_s(sent_s: float, answered_s: float, lifetime_s: float) -> float:
    """Return when permits count as expired, monotonic seconds.

    It is not known when the policy service begins the lifetime, so that it counts from
    the request. A permit whose answer took as long as that is tried once; the worker
    refuses an expired one.

    Args:
        sent_s: When the request was sent, monotonic seconds.
        answered_s: When the answer was received, monotonic seconds.
        lifetime_s: Lifetime of the permits, seconds.
    """
    return max(sent_s + lifetime_s, answered_s + RENEWAL_MARGIN_S + MIN_USE_S)


@dataclass(slots=True)
class Permits:
    """Permits by step and worker, and the steps that wait for an answer.

    Attributes:
        held: Permits by step, then by worker.
        refused: Workers that may not run a step; a refusal is final for this
            incarnation of the worker.
        wanted: Steps for which permits must be requested, the one that waits for the
            longest first, with the start of the wait in monotonic seconds.
    """

    held: dict[StepName, dict[str, Permit]] = field(default_factory=dict)
    refused: dict[StepName, set[str]] = field(default_factory=dict)
    wanted: dict[StepName, float] = field(default_factory=dict)

    def want(self, step: StepName, now_s: float) -> None:
        """Let permits be requested for a step, unless it waits for them already."""
        self.wanted.setdefault(step, now_s)

    def cancel_request(self, step: StepName) -> None:
        """Let no permits be requested for a step that needs no more of them."""
        self.wanted.pop(step, None)

    def postpone(self, step: StepName) -> None:
        """Let a step whose request failed wait behind all others."""
        if step in self.wanted:
            self.wanted[step] = self.wanted.pop(step)

    def allows(self, step: StepName, worker_id: str, now_s: float) -> bool:
        """Return True if a step may start on a worker now."""
        permit = self.held.get(step, {}).get(worker_id)
        return permit is not None and now_s + RENEWAL_MARGIN_S < permit.until_s

    def ticket(self, step: StepName, worker_id: str) -> str:
        """Return the ticket for a step on a worker; empty if there is none."""
        permit = self.held.get(step, {}).get(worker_id)
        return permit.ticket if permit else ""

    def not_refused(self, step: StepName, worker_ids: list[str]) -> list[str]:
        """Return the workers that the policy service has not refused for a step."""
        refused = self.refused.get(step, set())
        return [worker_id for worker_id in worker_ids if worker_id not in refused]

    def record_answer(
        self,
        step: StepName,
        asked: list[str],
        granted: dict[str, str],
        until_s: float,
    ) -> None:
        """Record an answer of the policy service.

        Args:
            step: Step that the permits were requested for.
            asked: Workers that the permits were requested for.
            granted: Ticket for each worker that may run the step.
            until_s: When the permits expire, monotonic seconds.
        """
        self.wanted.pop(step, None)
        held = self.held.setdefault(step, {})
        for worker_id, ticket in granted.items():
            held[worker_id] = Permit(ticket, until_s)
        self.refused.setdefault(step, set()).update(set(asked) - set(granted))

    def discard(self, step: StepName, worker_id: str) -> None:
        """Drop a permit that a worker did not accept."""
        self.held.get(step, {}).pop(worker_id, None)

    def forget_worker(self, worker_id: str) -> None:
        """Drop all entries of a worker that was restarted."""
        for held in self.held.values():
            held.pop(worker_id, None)
        for refused in self.refused.values():
            refused.discard(worker_id)

    def forget_job(self, job_id: str) -> None:
        """Drop all entries of a job."""
        for table in (self.held, self.refused):
            for step in [step for step in table if step.job_id == job_id]:
                del table[step]
        for step in [step for step in self.wanted if step.job_id == job_id]:
            del self.wanted[step]
