"""The gateway: admits a caller's work, places it and returns the answer."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.keys import secret_matches, split_token
from heatherhatch_core.state.entities import WorkClass, Worker, WorkKind

from ..metrics import Metric, Metrics
from ..settings import Address
from ..transport.http import ExchangeError, HttpAnswer, HttpClient, HttpRequest
from .admission import Admission
from .follower import Follower

BACKEND_CONNECTIONS = 64
CONNECT_TIMEOUT_S = 1.0
ATTEMPTS = 3
OPEN_TEAM = ""


@dataclass(frozen=True, slots=True)
class Work:
    """A request as a caller sent it.

    Attributes:
        work_class: Name of the class.
        token: Key that came with it, empty if none.
        idempotency_key: The caller's Idempotency-Key, empty if none.
        request: What goes to the backend server.
    """

    work_class: str
    token: str
    idempotency_key: str
    request: HttpRequest


class Gateway:
    """Admits work within the team's grant and exchanges it with a backend server.

    Args:
        follower: Source of the configuration and of this node's standing.
        admission: Decides when a request may start.
        metrics: Where figures go.
        clock: Returns monotonic seconds.
        random_source: Source of random choices.
    """

    def __init__(
        self,
        follower: Follower,
        admission: Admission,
        metrics: Metrics,
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self.follower = follower
        self.admission = admission
        self.metrics = metrics
        self.clock = clock
        self.random = random_source
        self.clients: dict[str, HttpClient] = {}
        self.draining = False

    @property
    def total_running(self) -> int:
        """Requests that run on this node."""
        return self.admission.running.total()

    def handle(self, work: Work) -> HttpAnswer:
        """Carry out one request and return its whole answer.

        Raises:
            HeatherhatchError: The kind tells whether the work may have run.
        """
        if self.draining:
            raise HeatherhatchError(ErrorKind.SHUTTING_DOWN)
        work_class = self.class_of(work.work_class, WorkKind.REQUEST)
        team = self.authenticate(work.token, work_class)
        deadline = self.clock() + work_class.target_s
        permit = self.admission.acquire(team, work_class, deadline)
        try:
            return self._exchange(work_class, work.request, deadline)
        finally:
            self.admission.release(permit)
            self.metrics.count(Metric.REQUESTS)

    def class_of(self, name: str, kind: WorkKind) -> WorkClass:
        """Return the class of some work.

        Raises:
            HeatherhatchError: ``NO_STANDING`` or ``NOT_FOUND``.
        """
        if not self.follower.has_standing():
            raise HeatherhatchError(ErrorKind.NO_STANDING)
        work_class = self.follower.config.classes.get(name)
        if work_class is None or work_class.kind is not kind:
            raise HeatherhatchError(ErrorKind.NOT_FOUND, f"class {name!r}")
        return work_class

    def authenticate(self, token: str, work_class: WorkClass) -> str:
        """Return the team whose key came with the work.

        Raises:
            HeatherhatchError: ``UNAUTHENTICATED``.
        """
        if work_class.open and not token:
            return OPEN_TEAM
        key_id, secret = split_token(token)
        key = self.follower.config.team_keys.get(key_id)
        if key is None or not secret_matches(secret, key.digest):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        return key.team

    def _exchange(
        self, work_class: WorkClass, request: HttpRequest, deadline: float
    ) -> HttpAnswer:
        candidates = self._backends(work_class.pool)
        for worker in candidates[:ATTEMPTS]:
            left = deadline - self.clock()
            if left <= 0:
                break
            try:
                return self._client(worker).exchange(request, left)
            except ExchangeError as error:
                if error.sent and not work_class.idempotent:
                    raise
        raise HeatherhatchError(ErrorKind.NO_BACKEND, f"pool {work_class.pool!r}")

    def _backends(self, pool: str) -> list[Worker]:
        workers = list(self.follower.config.serving_workers(pool))
        self.random.shuffle(workers)
        return workers

    def _client(self, worker: Worker) -> HttpClient:
        if worker.address not in self.clients:
            address = Address.parse(worker.address)
            client = HttpClient(address, BACKEND_CONNECTIONS, CONNECT_TIMEOUT_S)
            self.clients[worker.address] = client
        return self.clients[worker.address]
