"""Calls the policy service for all pools of an instance, one call at a time."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import gevent

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.http import ExchangeError
from .clock import now_s
from .ports import PolicyService
from .supervision import spawn_supervised

if TYPE_CHECKING:
    from .permit_requester import PermitRequest, PermitRequester

IDLE_POLL_S = 0.02  # pause while no permit is wanted
RETRY_S = 0.2  # pause after a call that failed; doubled with each further one
MAX_RETRY_S = 3.0
CALL_MARGIN_S = 2.0  # for the network and a service that is slower than its rules
# The service may still be at work for a call that was given up.
CALLS_AHEAD = 1
MAX_PATIENCE = 8.0  # factor of the time limit after several timeouts
MAX_CALL_S = 60.0


class PermitCalls:
    """Sends the requests of all pools in turn.

    The policy service handles the calls of an instance one after the other. Concurrent
    calls would wait for each other there, where the wait uses up their time limits and
    the lifetimes of their permits, and no pool could be given its turn.

    Args:
        policy: The policy service; None if there is none.

    Attributes:
        requesters: The pools, the next to be asked for a request first.
        failures: Number of calls that failed since the last answer.
    """

    def __init__(self, policy: PolicyService | None):
        self.policy = policy
        self.requesters: deque[PermitRequester] = deque()
        self.failures = 0
        self.greenlet: gevent.Greenlet | None = None

    def add(self, requester: PermitRequester) -> None:
        """Send the requests of a pool from now on."""
        if self.policy is None:
            return
        self.requesters.append(requester)
        if self.greenlet is None or self.greenlet.dead:
            self.start()

    def remove(self, requester: PermitRequester) -> None:
        """Send no further request of a pool.

        A call that has begun is completed, because the service handles it anyway.
        """
        if requester in self.requesters:
            self.requesters.remove(requester)

    def start(self) -> None:
        """Start to send requests, until no pool is left."""
        self.greenlet = spawn_supervised("permits", self._run)

    def stop(self) -> None:
        """Stop sending requests."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
            self.greenlet = None

    def request_next(self) -> bool:
        """Send the next request and wait; return False if no pool has any.

        Raises:
            ExchangeError: If the policy service does not answer.
        """
        for requester in list(self.requesters):
            others_wait = any(
                other.steps_waiting
                for other in self.requesters
                if other is not requester
            )
            request = requester.next_request(others_wait)
            self.requesters.rotate(-1)
            if request is not None:
                self._call(requester, request)
                return True
        return False

    def time_limit_s(self, request: PermitRequest) -> float:
        """Return how long to wait for the answer to a request, seconds."""
        expected_s = (1 + CALLS_AHEAD) * request.answer_s
        patience = min(MAX_PATIENCE, 2.0**self.failures)
        return min(MAX_CALL_S, patience * (expected_s + CALL_MARGIN_S))

    def pause_s(self) -> float:
        """Return how long to wait after a call that failed, seconds."""
        return min(MAX_RETRY_S, RETRY_S * 2.0 ** max(0, self.failures - 1))

    def _call(self, requester: PermitRequester, request: PermitRequest) -> None:
        sent_s = now_s()
        limit_s = self.time_limit_s(request)
        try:
            granted, lifetime_s = self.policy.request_permits(
                request.step_text, list(request.workers), limit_s
            )
        except ExchangeError as error:
            self.failures += 1
            METER.sink.count(Metric.PERMIT_CALLS, label=error.kind.value)
            log(
                Event.CALL_UNKNOWN,
                order="permits",
                pool=requester.pool,
                step=request.step,
                asked=len(request.workers),
                expected_s=round(request.answer_s, 3),
                limit_s=round(limit_s, 3),
                waited_s=round(now_s() - request.wanted_s, 3),
                waiting=requester.steps_waiting,
                retry_in_s=self.pause_s(),
                error=str(error),
            )
            raise
        self.failures = 0
        METER.sink.count(Metric.PERMIT_CALLS, label="answered")
        METER.sink.time(Metric.PERMIT_CALL_MS, (now_s() - sent_s) * 1000.0)
        requester.record_answer(request, granted, lifetime_s, sent_s)

    def _run(self) -> None:
        while self.requesters:
            try:
                requested = self.request_next()
            except ExchangeError:
                gevent.sleep(self.pause_s())  # logged where it was raised
                continue
            if not requested:
                gevent.sleep(IDLE_POLL_S)
