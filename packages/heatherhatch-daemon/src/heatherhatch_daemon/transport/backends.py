"""Requests to the backend servers of a pool; each attempt updates their state."""

import random
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event as Signal

from heatherhatch_core.coordination.backend_choice import BackendChoice, BackendState
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.entities import Worker

from ..settings import Address
from .http import ExchangeError, HttpAnswer, HttpClient, HttpRequest

BACKEND_CONNECTIONS = 256
CONNECT_TIMEOUT_S = 1.0
TIMEOUT_LATENCY_FACTOR = 4.0
MIN_CONCLUSIVE_TIMEOUT_S = 0.1
FIRST_SERVER_ERROR_STATUS = 500


class Attempt:
    """One attempt to send a request to one backend server.

    Args:
        pool: Pool that the backend server serves.
        address: ``host:port`` of the backend server.
        client: HTTP client for the backend server.
        state: State of the backend server as observed by this node.
    """

    def __init__(
        self,
        pool: "PoolBackends",
        address: str,
        client: HttpClient,
        state: BackendState,
    ):
        self.pool = pool
        self.address = address
        self.client = client
        self.state = state

    def attempt_timeout_s(self, left_s: float) -> float:
        """Return the timeout in seconds of an attempt that may be retried.

        It is half of the remaining time, so that an unresponsive connection leaves
        time for a retry, or more if this backend server usually takes longer.

        Args:
            left_s: Seconds until the deadline of the request.
        """
        return min(
            left_s, max(left_s / 2, TIMEOUT_LATENCY_FACTOR * self.state.latency_s)
        )

    def send(self, request: HttpRequest, timeout_s: float) -> HttpAnswer:
        """Send the request and return the response.

        Raises:
            ExchangeError: If there was no complete response.
        """
        sent_s = self.pool.clock()
        try:
            answer = self.client.exchange(request, timeout_s)
        except ExchangeError as error:
            if self._is_inconclusive(error, timeout_s):
                self.pool.record_abandoned(self.state)
            else:
                self.pool.record_failure(self.state, not error.sent)
            raise
        except BaseException:
            # The greenlet was killed.
            self.pool.record_abandoned(self.state)
            raise
        if answer.status >= FIRST_SERVER_ERROR_STATUS:
            self.pool.record_failure(self.state, False)
        else:
            self.pool.record_success(self.state, self.pool.clock() - sent_s)
        return answer

    def _is_inconclusive(self, error: ExchangeError, timeout_s: float) -> bool:
        """Return whether the attempt failed only because its timeout was short.

        Such an attempt is no evidence against the backend server. Otherwise callers
        with short deadlines could cause the ejection of healthy backend servers.
        """
        conclusive_s = max(
            MIN_CONCLUSIVE_TIMEOUT_S, TIMEOUT_LATENCY_FACTOR * self.state.latency_s
        )
        return error.kind is ErrorKind.BACKEND_TIMEOUT and timeout_s < conclusive_s


class PoolBackends:
    """The backend servers of one pool as observed by this node.

    Args:
        clock: Returns monotonic seconds.
        random_source: Source of random choices.

    Attributes:
        choice: Load balancer of the pool.
        members: Addresses of the backend servers of the pool.
        clients: HTTP clients by address.
        capacity_freed: Set when a backend server may have free capacity again.
    """

    def __init__(self, clock: Callable[[], float], random_source: random.Random):
        self.clock = clock
        self.random = random_source
        self.choice = BackendChoice()
        self.members: tuple[str, ...] = ()
        self.clients: dict[str, HttpClient] = {}
        self.capacity_freed = Signal()

    def set_members(self, workers: Iterable[Worker]) -> None:
        """Set the workers that serve the pool now."""
        addresses = tuple(worker.address for worker in workers)
        if addresses == self.members:
            return
        self.members = addresses
        self.choice.set_members(addresses, self.clock())
        for address in set(self.clients) - set(addresses):
            # Running exchanges keep their connections until they end.
            self.clients.pop(address).close()
        self.capacity_freed.set()

    def start_attempt(self, avoided: frozenset[str]) -> Attempt | None:
        """Return an attempt on a backend server with free capacity, None if none has.

        The attempt counts as running from now on, so the caller must send it without
        waiting in between.

        Args:
            avoided: Addresses that are used only if no other is available.
        """
        draws = (self.random.random(), self.random.random())
        address = self.choice.choose(self.clock(), draws, avoided)
        if address is None:
            return None
        state = self.choice.start(address)
        return Attempt(self, address, self._client_for(address), state)

    def wait_for_capacity(self, deadline_s: float) -> None:
        """Wait until a backend server may have free capacity.

        Args:
            deadline_s: End of the wait, monotonic seconds.

        Raises:
            HeatherhatchError: ``NO_BACKEND`` if the pool has no backend servers or
                the deadline has passed.
        """
        if not self.members:
            raise HeatherhatchError(
                ErrorKind.NO_BACKEND, "the pool has no serving backend server"
            )
        remaining_s = deadline_s - self.clock()
        if remaining_s <= 0:
            raise HeatherhatchError(
                ErrorKind.NO_BACKEND, "all backend servers are at capacity or ejected"
            )
        self.capacity_freed.clear()
        with gevent.Timeout(remaining_s, False):
            self.capacity_freed.wait()

    def record_failure(self, state: BackendState, refused: bool) -> None:
        """Record a failed attempt.

        Args:
            state: State of the backend server.
            refused: True if the backend server accepted no connection.
        """
        self.choice.fail(state, self.clock(), refused)
        self.capacity_freed.set()

    def record_abandoned(self, state: BackendState) -> None:
        """Record an attempt whose result says nothing about the backend server."""
        self.choice.abandon(state)
        self.capacity_freed.set()

    def record_success(self, state: BackendState, latency_s: float) -> None:
        """Record a complete response and its latency in seconds."""
        self.choice.succeed(state, latency_s)
        self.capacity_freed.set()

    def _client_for(self, address: str) -> HttpClient:
        if address not in self.clients:
            self.clients[address] = HttpClient(
                Address.parse(address), BACKEND_CONNECTIONS, CONNECT_TIMEOUT_S
            )
        return self.clients[address]
