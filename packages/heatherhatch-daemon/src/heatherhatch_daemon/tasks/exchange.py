"""Sends one request to the backend servers of its pool, with retries."""

import dataclasses
import random
from collections.abc import Callable

import gevent

from heatherhatch_core.coordination.retry_budget import RetryBudget, backoff_s
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.entities import WorkClass

from ..transport.backends import Attempt, PoolBackends
from ..transport.http import ExchangeError, HttpAnswer, HttpRequest
from .follower import Follower

MAX_ATTEMPTS = 3
MAX_BROKEN_OFF = 2  # number of attempts that lost a connection; servers may crash by it
TIMEOUT_HEADER = "X-Request-Timeout"


class Exchange:
    """Sends requests to backend servers and retries them where that is safe.

    Args:
        follower: Source of the serving workers and of this node's standing.
        clock: Returns monotonic seconds.
        random_source: Random number generator for backend choice and jitter.
    """

    def __init__(
        self,
        follower: Follower,
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self.follower = follower
        self.clock = clock
        self.random = random_source
        self.budget = RetryBudget()
        self.pools: dict[str, PoolBackends] = {}
        self.config = None

    def carry_out(
        self, work_class: WorkClass, request: HttpRequest, deadline_s: float
    ) -> HttpAnswer:
        """Return the complete response of a backend server.

        Args:
            work_class: Class of the request.
            request: Request to send.
            deadline_s: When the response is due, monotonic seconds.

        Raises:
            HeatherhatchError: The kind states ``not run`` only if no byte of
                any attempt has left this node.
        """
        self.budget.deposit()
        tried: frozenset[str] = frozenset()
        maybe_run_error: ExchangeError | None = None
        broken_off = 0
        for retry in range(MAX_ATTEMPTS):
            try:
                attempt = self._next_attempt(work_class, tried, deadline_s)
            except HeatherhatchError as error:
                # If an earlier attempt may have run, that is what is reported,
                # whatever prevented this one.
                raise maybe_run_error or error from None
            tried |= {attempt.address}
            try:
                return self._send(attempt, work_class, request, deadline_s, retry)
            except ExchangeError as error:
                maybe_run_error = error if error.sent else maybe_run_error
                broken_off += error.sent and error.kind is not ErrorKind.BACKEND_TIMEOUT
                if broken_off == MAX_BROKEN_OFF:
                    raise maybe_run_error from None
                self._prepare_retry(
                    work_class, error, maybe_run_error, retry, deadline_s
                )
        raise maybe_run_error or HeatherhatchError(ErrorKind.NO_BACKEND)

    def ejected_addresses(self) -> frozenset[str]:
        """Return the backend servers ejected by this node without a success since.

        Returns:
            Addresses of the backend servers.
        """
        return frozenset(
            address
            for pool in self.pools.values()
            for address, state in pool.choice.backends.items()
            if state.ejections
        )

    def _next_attempt(
        self, work_class: WorkClass, tried: frozenset[str], deadline_s: float
    ) -> Attempt:
        while True:
            # The clock and the configuration are checked right before each send,
            # because the process may have been paused since the last check.
            if not self.follower.has_standing():
                raise HeatherhatchError(ErrorKind.NO_STANDING)
            if self.clock() >= deadline_s:
                raise HeatherhatchError(ErrorKind.DEADLINE_UNREACHABLE)
            pool = self._pool(work_class.pool)
            attempt = pool.start_attempt(tried)
            if attempt is not None:
                return attempt
            pool.wait_for_capacity(deadline_s)

    def _send(
        self,
        attempt: Attempt,
        work_class: WorkClass,
        request: HttpRequest,
        deadline_s: float,
        retry: int,
    ) -> HttpAnswer:
        remaining_s = deadline_s - self.clock()
        is_last = retry == MAX_ATTEMPTS - 1 or not work_class.idempotent
        timeout_s = remaining_s if is_last else attempt.attempt_timeout_s(remaining_s)
        headers = (*request.headers, (TIMEOUT_HEADER, f"{timeout_s:.3f}"))
        return attempt.send(dataclasses.replace(request, headers=headers), timeout_s)

    def _prepare_retry(
        self,
        work_class: WorkClass,
        error: ExchangeError,
        maybe_run_error: ExchangeError | None,
        retry: int,
        deadline_s: float,
    ) -> None:
        """Wait before the next attempt, or raise the error if there is none."""
        if maybe_run_error is not None and not work_class.idempotent:
            raise maybe_run_error
        if retry == MAX_ATTEMPTS - 1:
            raise maybe_run_error or _not_run(error)
        if not error.sent:
            # The attempt put no load on a backend server, so its retry does not
            # use up the retry budget.
            return
        pause_s = backoff_s(retry, self.random.random())
        if self.clock() + pause_s >= deadline_s or not self.budget.withdraw():
            raise maybe_run_error
        gevent.sleep(pause_s)

    def _pool(self, name: str) -> PoolBackends:
        if name not in self.pools:
            self.pools[name] = PoolBackends(self.clock, self.random)
            self.config = None
        if self.config is not self.follower.config:
            self.config = self.follower.config
            for pool, backends in self.pools.items():
                backends.set_members(self.config.serving_workers(pool))
        return self.pools[name]


def _not_run(error: ExchangeError) -> HeatherhatchError:
    return HeatherhatchError(ErrorKind.NO_BACKEND, error.detail)
