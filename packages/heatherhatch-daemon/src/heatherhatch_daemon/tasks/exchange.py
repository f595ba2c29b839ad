"""Exchange of one request with the backend servers of its pool."""

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

ATTEMPTS = 3
TIMEOUT_HEADER = "X-Request-Timeout"


class Exchange:
    """Sends requests to backend servers, and again where that does no harm.

    Args:
        follower: Source of who serves, and of this node's standing.
        clock: Returns monotonic seconds.
        random_source: Source of random choices.
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
        """Return the whole answer of a backend server.

        Args:
            work_class: Class of the request.
            request: What to send.
            deadline_s: When the answer is due, monotonic seconds.

        Raises:
            HeatherhatchError: A kind that is ``not run`` only if no byte of
                any attempt has left this node.
        """
        self.budget.deposit()
        tried: frozenset[str] = frozenset()
        unknown: ExchangeError | None = None
        for retry in range(ATTEMPTS):
            try:
                attempt = self._next_attempt(work_class, tried, deadline_s)
            except HeatherhatchError as error:
                # An earlier attempt may have run, whatever stopped this one.
                raise unknown or error from None
            tried |= {attempt.address}
            try:
                return self._send(attempt, work_class, request, deadline_s, retry)
            except ExchangeError as error:
                unknown = error if error.sent else unknown
                self._prepare_retry(work_class, error, unknown, retry, deadline_s)
        raise unknown or HeatherhatchError(ErrorKind.NO_BACKEND)

    def unreachable(self) -> frozenset[str]:
        """Return the addresses that this node's last attempts could not use."""
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
            # The clock and the configuration are read right before each send:
            # the process may have been paused since it looked last.
            if not self.follower.has_standing():
                raise HeatherhatchError(ErrorKind.NO_STANDING)
            if self.clock() >= deadline_s:
                raise HeatherhatchError(ErrorKind.DEADLINE_UNREACHABLE)
            pool = self._pool(work_class.pool)
            attempt = pool.pick(tried)
            if attempt is not None:
                return attempt
            pool.wait_for_room(deadline_s)

    def _send(
        self,
        attempt: Attempt,
        work_class: WorkClass,
        request: HttpRequest,
        deadline_s: float,
        retry: int,
    ) -> HttpAnswer:
        left_s = deadline_s - self.clock()
        last = retry == ATTEMPTS - 1 or not work_class.idempotent
        timeout_s = left_s if last else attempt.patience_s(left_s)
        headers = (*request.headers, (TIMEOUT_HEADER, f"{timeout_s:.3f}"))
        return attempt.send(dataclasses.replace(request, headers=headers), timeout_s)

    def _prepare_retry(
        self,
        work_class: WorkClass,
        error: ExchangeError,
        unknown: ExchangeError | None,
        retry: int,
        deadline_s: float,
    ) -> None:
        """Wait before the next attempt, or give the request up at once."""
        if unknown is not None and not work_class.idempotent:
            raise unknown
        if retry == ATTEMPTS - 1:
            raise unknown or _not_run(error)
        if not error.sent:
            # It has loaded no backend server, so that it costs no budget.
            return
        pause = backoff_s(retry, self.random.random())
        if self.clock() + pause >= deadline_s or not self.budget.withdraw():
            raise unknown
        gevent.sleep(pause)

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
