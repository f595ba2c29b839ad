"""Asks the policy service which workers may run a step."""

from collections.abc import Callable

import gevent

from heatherhatch_core.coordination.scheduler import Scheduler
from heatherhatch_core.coordination.scheduler.permits import StepName

from ..events import Event, log
from ..transport.http import ExchangeError
from .clock import now_s
from .ports import PolicyService

LOOK_S = 0.02  # pause while nobody wants a permit
RETRY_S = 0.2  # pause after a question without an answer
WORKERS_MOST = 30  # asked at a time: each costs time, and a step needs few


class PermitDesk:
    """Gets the permits that a pool's scheduler wants, one question at a time.

    Args:
        policy: The policy service; None if there is none.
        scheduler: The pool's scheduler.
        wake: Called when a permit has come.
    """

    def __init__(
        self,
        policy: PolicyService | None,
        scheduler: Scheduler,
        wake: Callable[[], None],
    ):
        self.policy = policy
        self.scheduler = scheduler
        self.wake = wake
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to ask."""
        if self.policy is not None:
            self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop asking."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def ask_next(self) -> bool:
        """Ask for the next step that wants permits; return False if none does.

        Raises:
            ExchangeError: If the policy service gives no answer.
        """
        permits = self.scheduler.state.permits
        for step in sorted(permits.wanted):
            workers = self._candidates(step)
            if not workers:
                permits.wanted.discard(step)
                continue
            # The life of a permit counts from before the question.
            asked_s = now_s()
            name = ".".join(str(part) for part in step)
            good, life_s = self.policy.ask(name, workers)
            permits.answered(step, workers, good, asked_s + life_s)
            log(
                Event.DECIDED,
                what="permits",
                step=step,
                asked=len(workers),
                good=len(good),
                life_s=life_s,
            )
            return True
        return False

    def _candidates(self, step: StepName) -> list[str]:
        """Return the workers with most room that may be asked for."""
        state = self.scheduler.state
        now = now_s()
        usable = [item for item in state.workers.values() if item.usable(now)]
        usable.sort(key=lambda item: (-item.room.cpu_m, item.worker_id))
        open_ids = state.permits.open_workers(
            step, [worker.worker_id for worker in usable]
        )
        lacking = [
            worker_id
            for worker_id in open_ids
            if not state.permits.allows(step, worker_id, now)
        ]
        return lacking[:WORKERS_MOST]

    def _run(self) -> None:
        while True:
            try:
                asked = self.ask_next()
            except ExchangeError as error:
                log(Event.CALL_UNKNOWN, order="permits", error=str(error))
                gevent.sleep(RETRY_S)
                continue
            if asked:
                self.wake()
            else:
                gevent.sleep(LOOK_S)
