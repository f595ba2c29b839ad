"""Load generator: the pools get bursts in turn and few requests in between."""

import random
import secrets
import time
import uuid
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.pool import Pool as Greenlets

from heatherhatch_core.codec import decode_json
from heatherhatch_core.state.entities import WorkClass, WorkKind
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError, HttpClient, HttpRequest

from .backend import ID_HEADER, TEAM_HEADER
from .deployment import Deployment
from .invariants import Sent

BURST_FACTOR = 5.0
OFF_BURST_FACTOR = 0.05
BURST_S = 2.0
CALL_TIMEOUT_S = 6.0
MAX_CONCURRENT_CALLS = 600
MAX_RESENDS = 2
RESEND_PAUSE_S = 0.2
BODY_BYTES = 64
UUID_VERSION = 7


@dataclass(frozen=True, slots=True)
class Caller:
    """Credentials of one team.

    Attributes:
        team: Name of the team.
        token: Key of the team, sent as a bearer token.
    """

    team: str
    token: str


@dataclass(frozen=True, slots=True)
class Problem:
    """Fields of an error answer that the load generator reads."""

    execution: str = ""


def new_uuid7(time_s: float | None = None) -> str:
    """Return a UUID of version 7, which contains a timestamp (RFC 9562).

    Args:
        time_s: Time in seconds since the epoch, the current time by default.
    """
    milliseconds = round((time.time() if time_s is None else time_s) * 1e3)
    high = milliseconds << 80 | UUID_VERSION << 76 | secrets.randbits(12) << 64
    return str(uuid.UUID(int=high | 0b10 << 62 | secrets.randbits(62)))


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """A request that was generated, whether or not it was answered.

    Attributes:
        request_id: Id of the request.
        team: Team that sent it, empty for open work.
        pool: Pool of its class of work.
        burst: Number of the burst that it belongs to, -1 between bursts.
    """

    request_id: str
    team: str
    pool: str
    burst: int


class Load:
    """Sends requests to a deployment through its load balancer and keeps the answers.

    Args:
        deployment: Started deployment.
        callers: Credentials of the teams.
        mean_rate: Mean requests a second for each pool.
        seed: Seed of the arrivals and of the choices of class and team.
    """

    def __init__(
        self,
        deployment: Deployment,
        callers: tuple[Caller, ...],
        mean_rate: float,
        seed: int,
    ):
        self.deployment = deployment
        self.callers = callers
        self.mean_rate = mean_rate
        self.random = random.Random(seed)
        self.client = HttpClient(
            Address.parse(deployment.balancer), MAX_CONCURRENT_CALLS, CALL_TIMEOUT_S
        )
        self.greenlets = Greenlets(MAX_CONCURRENT_CALLS)
        self.sent: list[Sent] = []
        self.generated: list[GeneratedRequest] = []
        self.started_s = 0.0
        self.late: Counter[bool] = Counter()
        self.statuses: Counter[int] = Counter()
        self.pools = sorted({item.pool for item in self._request_classes()})

    def run(self, seconds: float) -> None:
        """Send load for a number of seconds and wait for the last answers."""
        self.started_s = time.monotonic()
        senders = [
            gevent.spawn(self._send_to_pool, pool, self.started_s, seconds)
            for pool in self.pools
        ]
        gevent.joinall(senders, raise_error=True)
        self.greenlets.join()

    def rate(self, pool: str, elapsed_s: float) -> float:
        """Return the requests a second for a pool at a time after the start."""
        in_burst = self.burst(pool, elapsed_s) >= 0
        return self.mean_rate * (BURST_FACTOR if in_burst else OFF_BURST_FACTOR)

    def burst(self, pool: str, elapsed_s: float) -> int:
        """Return the number of a pool's burst at a time after the start, -1 if none."""
        return int(elapsed_s / BURST_S) if self.bursting_pool(elapsed_s) == pool else -1

    def bursting_pool(self, elapsed_s: float) -> str:
        """Return the pool that has its burst at a time after the start."""
        return self.pools[int(elapsed_s / BURST_S) % len(self.pools)]

    def _request_classes(self) -> list[WorkClass]:
        classes = self.deployment.edit.classes
        return [item for item in classes if item.kind is WorkKind.REQUEST]

    def _send_to_pool(self, pool: str, started: float, seconds: float) -> None:
        classes = [item for item in self._request_classes() if item.pool == pool]
        while (elapsed := time.monotonic() - started) < seconds:
            work_class = self.random.choice(classes)
            caller = self.random.choice(self.callers)
            body = self.random.randbytes(BODY_BYTES)
            request_id = new_uuid7()
            team = "" if work_class.open else caller.team
            burst = self.burst(pool, elapsed)
            self.generated.append(GeneratedRequest(request_id, team, pool, burst))
            self.greenlets.spawn(self._call, work_class, caller, body, request_id)
            gevent.sleep(self.random.expovariate(self.rate(pool, elapsed)))

    def _call(
        self, work_class: WorkClass, caller: Caller, body: bytes, request_id: str
    ) -> None:
        request = HttpRequest(
            "POST",
            f"/run/{work_class.name}/work",
            body,
            tuple(_headers(work_class, caller, request_id)),
        )
        started = time.monotonic()
        sent = Sent(request_id, work_class.idempotent, body, 0, "", b"", False)
        for unanswered in range(1 + MAX_RESENDS):
            try:
                answer = self.client.exchange(request, CALL_TIMEOUT_S)
            except ExchangeError:
                # The connection to the node was lost. The request may be sent
                # again: it is idempotent or has an idempotency key.
                gevent.sleep(RESEND_PAUSE_S)
                continue
            headers = {name.lower(): value for name, value in answer.headers}
            sent = Sent(
                request_id,
                work_class.idempotent,
                body,
                answer.status,
                headers.get(ID_HEADER.lower(), ""),
                answer.body,
                says_not_run(answer.status, answer.body),
                unanswered,
            )
            break
        if sent.status == 200:
            self.late[time.monotonic() - started > work_class.target_s] += 1
        self.statuses[sent.status] += 1
        self.sent.append(sent)


def _headers(
    work_class: WorkClass, caller: Caller, request_id: str
) -> Iterator[tuple[str, str]]:
    yield ID_HEADER, request_id
    if not work_class.open:
        yield "Authorization", f"Bearer {caller.token}"
        yield TEAM_HEADER, caller.team
    if not work_class.idempotent:
        yield "Idempotency-Key", request_id


def says_not_run(status: int, body: bytes) -> bool:
    """Return whether an answer says that the request was not run."""
    if status < 400:
        return False
    return decode_json(body, Problem).execution == "not run"
