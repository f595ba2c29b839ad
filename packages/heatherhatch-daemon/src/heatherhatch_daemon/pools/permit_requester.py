"""Chooses what a pool asks the policy service: which workers may run a step."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.coordination.scheduler.permits import StepName, expiry_s
from heatherhatch_core.state.fleet_configuration import PermitRules

from ..events import Event, log
from .clock import now_s
from .permit_calls import PermitCalls

MAX_WORKERS_PER_REQUEST = 30  # each takes time, and a step needs few
MAX_ANSWER_SHARE = 0.5  # of a permit's lifetime; the rest is for the start


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A question for the policy service.

    Attributes:
        step: Step that needs permits.
        queue: Queue of the step's job.
        rules: Rules of the policy service for the queue.
        workers: Identifiers of the workers to ask about.
        wanted_s: Since when the step waits, monotonic seconds.
    """

    step: StepName
    queue: str
    rules: PermitRules
    workers: tuple[str, ...]
    wanted_s: float

    @property
    def step_text(self) -> str:
        """Name of the step as workers and the policy service know it."""
        return ".".join(str(part) for part in self.step)

    @property
    def answer_s(self) -> float:
        """How long the policy service takes for the request, seconds."""
        return self.rules.answer_s(len(self.workers))


class PermitRequester:
    """Knows which permits the scheduler of one pool wants.

    Args:
        calls: Sends the requests of all pools.
        pool: Name of the pool.
        scheduler: The pool's scheduler.
        wake: Called after each answer of the policy service.

    Attributes:
        asked: Number of workers asked about, by queue.
        granted: Number of these that got a permit, by queue.
    """

    def __init__(
        self,
        calls: PermitCalls,
        pool: str,
        scheduler: Scheduler,
        wake: Callable[[], None],
    ):
        self.calls = calls
        self.pool = pool
        self.scheduler = scheduler
        self.wake = wake
        self.asked: Counter[str] = Counter()
        self.granted: Counter[str] = Counter()

    def start(self) -> None:
        """Let requests be sent."""
        self.calls.add(self)

    def stop(self) -> None:
        """Let no further request be sent."""
        self.calls.remove(self)

    @property
    def steps_waiting(self) -> int:
        """Number of steps that wait for permits."""
        return len(self.scheduler.state.permits.wanted)

    def oldest_wait_s(self) -> float:
        """Return how long the first step has waited, seconds; 0 if none waits."""
        wanted = self.scheduler.state.permits.wanted
        return max(0.0, now_s() - min(wanted.values())) if wanted else 0.0

    def next_request(self, others_wait: bool) -> PermitRequest | None:
        """Return the next request, or None if there is nothing to ask.

        The steps of the queues with the highest priority come first, then the one that
        has waited for the longest.

        Args:
            others_wait: True if steps of other pools wait for the policy service.
        """
        permits = self.scheduler.state.permits
        # The sort is stable, and `wanted` is in the order of the waits.
        for step in sorted(permits.wanted, key=self._priority):
            rules = self._rules(step)
            workers = self._candidates(step) if rules is not None else []
            if not workers:
                del permits.wanted[step]
                continue
            is_contended = others_wait or len(permits.wanted) > 1
            most = self._max_workers(step, rules, is_contended)
            queue = self.scheduler.state.jobs[step.job_id].job.queue
            wanted_s = permits.wanted[step]
            # If the request fails, the others are asked about first.
            permits.postpone(step)
            return PermitRequest(step, queue, rules, tuple(workers[:most]), wanted_s)
        return None

    def record_answer(
        self,
        request: PermitRequest,
        granted: dict[str, str],
        lifetime_s: float,
        sent_s: float,
    ) -> None:
        """Record an answer of the policy service.

        Args:
            request: The request.
            granted: Ticket for each worker that may run the step.
            lifetime_s: Lifetime of the permits, seconds.
            sent_s: When the request was sent, monotonic seconds.
        """
        answered_s = now_s()
        self.asked[request.queue] += len(request.workers)
        self.granted[request.queue] += len(granted)
        until_s = expiry_s(sent_s, answered_s, lifetime_s)
        self.scheduler.state.permits.record_answer(
            request.step, list(request.workers), granted, until_s
        )
        log(
            Event.DECIDED,
            what="permits",
            pool=self.pool,
            step=request.step,
            asked=len(request.workers),
            good=len(granted),
            life_s=lifetime_s,
            left_s=round(until_s - answered_s, 3),
            took_s=round(answered_s - sent_s, 3),
            waited_s=round(answered_s - request.wanted_s, 3),
            waiting=self.steps_waiting,
        )
        self.wake()

    def _rules(self, step: StepName) -> PermitRules | None:
        """Return the rules for a step; None if its job is gone or needs no permits."""
        job = self.scheduler.state.jobs.get(step.job_id)
        if job is None or job.phase.final:
            return None
        return self.scheduler.state.queue_rules.permit_rules(job.job)

    def _priority(self, step: StepName) -> int:
        job = self.scheduler.state.jobs.get(step.job_id)
        return job.job.terms.priority if job is not None else 0

    def _max_workers(
        self, step: StepName, rules: PermitRules, is_contended: bool
    ) -> int:
        """Return the number of workers worth asking about in one request."""
        # A permit that has expired on arrival cannot be used.
        most = float(MAX_WORKERS_PER_REQUEST)
        if rules.validity_s:
            useful_s = MAX_ANSWER_SHARE * rules.validity_s
            most = min(most, rules.workers_within(useful_s))
        if is_contended:
            most = min(most, self._workers_needed(step))
        return max(1, int(most))

    def _workers_needed(self, step: StepName) -> int:
        """Return among how many workers enough for the waiting tasks are permitted."""
        job = self.scheduler.state.jobs[step.job_id]
        waiting = 0
        if step.occurrence in job.expanded:
            tasks = job.step_tasks(step.occurrence, step.step)
            waiting = sum(1 for task in tasks if not task.settled and not task.runs)
        queue = job.job.queue
        share = (self.granted[queue] + 1) / (self.asked[queue] + 2)
        return ceil(max(1, waiting) / share)

    def _candidates(self, step: StepName) -> list[str]:
        """Return the workers to request permits for, most free capacity first.

        Quarantined workers that may get a run as a last resort come after all others.
        """
        state = self.scheduler.state
        now = now_s()
        workers = state.evacuated.in_service(state.workers.values())
        usable = [item for item in workers if item.is_usable(now)]
        last_resorts = [item for item in workers if item.is_last_resort(now)]
        for group in (usable, last_resorts):
            group.sort(key=lambda item: (-item.free.cpu_m, item.worker_id))
        not_refused = state.permits.not_refused(
            step, [worker.worker_id for worker in usable + last_resorts]
        )
        return [
            worker_id
            for worker_id in not_refused
            if not state.permits.allows(step, worker_id, now)
        ]
