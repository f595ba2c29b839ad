"""Backend servers: one attempt at a time, each with what was learnt from it."""

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
PATIENCE = 4.0
SHORTEST_EVIDENCE_S = 0.1
SERVER_ERROR = 500


class Attempt:
    """One request on its way to one backend server.

    Args:
        pool: Pool that the backend server serves.
        address: ``host:port`` of the backend server.
        client: Connections to it.
        state: What is known of it.
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

    def patience_s(self, left_s: float) -> float:
        """Return how long an attempt that may be repeated should wait.

        Half of what is left, so that a silent connection leaves time for
        another one; more if this backend server usually takes longer.
        """
        return min(left_s, max(left_s / 2, PATIENCE * self.state.latency_s))

    def send(self, request: HttpRequest, timeout_s: float) -> HttpAnswer:
        """Exchange the request.

        Raises:
            ExchangeError: If there was no whole answer.
        """
        begun = self.pool.clock()
        try:
            answer = self.client.exchange(request, timeout_s)
        except ExchangeError as error:
            if self._hurried(error, timeout_s):
                self.pool.abandoned(self.state)
            else:
                self.pool.failed(self.state, not error.sent)
            raise
        except BaseException:
            # The greenlet was ended.
            self.pool.abandoned(self.state)
            raise
        if answer.status >= SERVER_ERROR:
            self.pool.failed(self.state, False)
        else:
            self.pool.succeeded(self.state, self.pool.clock() - begun)
        return answer

    def _hurried(self, error: ExchangeError, timeout_s: float) -> bool:
        """Tell whether the caller's own short deadline ended the attempt.

        Otherwise callers in a hurry could have sound backend servers ejected.
        """
        usual_s = max(SHORTEST_EVIDENCE_S, PATIENCE * self.state.latency_s)
        return error.kind is ErrorKind.BACKEND_TIMEOUT and timeout_s < usual_s


class PoolBackends:
    """The backend servers of one pool as this node sees them.

    Args:
        clock: Returns monotonic seconds.
        random_source: Source of random choices.
    """

    def __init__(self, clock: Callable[[], float], random_source: random.Random):
        self.clock = clock
        self.random = random_source
        self.choice = BackendChoice()
        self.members: tuple[str, ...] = ()
        self.clients: dict[str, HttpClient] = {}
        self.freed = Signal()

    def set_members(self, workers: Iterable[Worker]) -> None:
        """Set who serves the pool now."""
        addresses = tuple(worker.address for worker in workers)
        if addresses == self.members:
            return
        self.members = addresses
        self.choice.set_members(addresses, self.clock())
        for address in set(self.clients) - set(addresses):
            # Exchanges that run keep their connections until they end.
            self.clients.pop(address).close()
        self.freed.set()

    def pick(self, avoided: frozenset[str]) -> Attempt | None:
        """Return an attempt on one that has room, None if none has.

        The caller sends it without waiting in between.
        """
        draws = (self.random.random(), self.random.random())
        address = self.choice.choose(self.clock(), draws, avoided)
        if address is None:
            return None
        state = self.choice.start(address)
        return Attempt(self, address, self._client(address), state)

    def wait_for_room(self, deadline_s: float) -> None:
        """Wait until a place may be free.

        Raises:
            HeatherhatchError: ``NO_BACKEND`` if that takes too long.
        """
        if not self.members:
            raise HeatherhatchError(ErrorKind.NO_BACKEND, "no backend server serves")
        left = deadline_s - self.clock()
        if left <= 0:
            raise HeatherhatchError(ErrorKind.NO_BACKEND, "all are full or failing")
        self.freed.clear()
        with gevent.Timeout(left, False):
            self.freed.wait()

    def failed(self, state: BackendState, refused: bool) -> None:
        """Note a failed attempt."""
        self.choice.fail(state, self.clock(), refused)
        self.freed.set()

    def abandoned(self, state: BackendState) -> None:
        """Note an attempt that says nothing."""
        self.choice.abandon(state)
        self.freed.set()

    def succeeded(self, state: BackendState, latency_s: float) -> None:
        """Note a good attempt."""
        self.choice.succeed(state, latency_s)
        self.freed.set()

    def _client(self, address: str) -> HttpClient:
        if address not in self.clients:
            self.clients[address] = HttpClient(
                Address.parse(address), BACKEND_CONNECTIONS, CONNECT_TIMEOUT_S
            )
        return self.clients[address]
