"""Gateway: admits requests, sends them to backend servers, returns responses."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from heatherhatch_core.coordination.outcomes import not_asked_error
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.keys import secret_matches, split_token
from heatherhatch_core.state.entities import WorkClass, WorkKind

from ..metrics import Metric, Metrics
from ..protocol.messages import ForwardedRequest
from ..transport.http import HttpAnswer, HttpRequest
from .admission import Admission
from .at_most_once import AtMostOnce, KeyedWork
from .exchange import Exchange
from .follower import Follower

OPEN_TEAM = ""
MAX_TICKETS = 1_000
ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class Work:
    """A request as received from a caller.

    Attributes:
        work_class: Name of the class of work.
        token: Team key in the request, empty if none.
        idempotency_key: The caller's Idempotency-Key, empty if none.
        request: Request to send to the backend server.
        timeout_s: Seconds for which the caller waits for the response.
    """

    work_class: str
    token: str
    idempotency_key: str
    request: HttpRequest
    timeout_s: float = float("inf")


class Gateway:
    """Admits requests within the team's grant and sends them to backend servers.

    Args:
        follower: Source of the configuration and of this node's standing.
        admission: Decides when a request may start.
        exchange: Sends requests to backend servers.
        at_most_once: Runs requests of classes that are not idempotent at most once.
        metrics: Receives counts and durations of requests.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        follower: Follower,
        admission: Admission,
        exchange: Exchange,
        at_most_once: AtMostOnce,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        self.follower = follower
        self.admission = admission
        self.exchange = exchange
        self.at_most_once = at_most_once
        self.metrics = metrics
        self.clock = clock
        self.random = exchange.random
        self.draining = False
        self.shutting_down = False

    @property
    def total_running(self) -> int:
        """Number of requests sent from this node that are running."""
        return self.admission.running.total()

    def handle(self, work: Work) -> HttpAnswer:
        """Carry out one request and return its complete response.

        Raises:
            HeatherhatchError: The kind states whether the work may have run.
        """
        started_s = self.clock()
        answer = ANSWERED
        try:
            return self._carry_out(work)
        except HeatherhatchError as error:
            answer = error.kind.value
            raise
        finally:
            self.metrics.count(Metric.REQUESTS, label=answer)
            self.metrics.time(Metric.REQUEST_MS, 1e3 * (self.clock() - started_s))

    def _carry_out(self, work: Work) -> HttpAnswer:
        with self._refusals_before_decision(work.idempotency_key):
            if self.draining:
                raise HeatherhatchError(ErrorKind.SHUTTING_DOWN)
            work_class = self.class_of(work.work_class, WorkKind.REQUEST)
            team = self.authenticate(work.token, work_class)
        deadline_s = self.clock() + min(work_class.target_s, work.timeout_s)
        if work_class.idempotent:
            return self._run(work_class, team, work.request, deadline_s)
        keyed = KeyedWork(
            team=team,
            key_id=split_token(work.token)[0] if team else "",
            work_class=work.work_class,
            idempotency_key=work.idempotency_key,
            request=work.request,
            deadline_s=deadline_s,
        )
        return self.at_most_once.carry_out(keyed, self._run_keyed)

    def handle_forwarded(self, forwarded: ForwardedRequest) -> HttpAnswer:
        """Carry out a keyed request that another node forwarded.

        The other node has checked the team's key; this node checks that the key
        has not been removed since.

        Raises:
            HeatherhatchError: The kind states whether the work may have run.
        """
        with self._refusals_before_decision(forwarded.idempotency_key):
            work_class = self.class_of(forwarded.work_class, WorkKind.REQUEST)
            key = self.follower.config.team_keys.get(forwarded.key_id)
            known = key is not None and key.team == forwarded.team
            if not known and not (work_class.open and forwarded.team == OPEN_TEAM):
                raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        work = KeyedWork(
            team=forwarded.team,
            key_id=forwarded.key_id,
            work_class=forwarded.work_class,
            idempotency_key=forwarded.idempotency_key,
            request=HttpRequest(
                forwarded.method, forwarded.path, forwarded.body, forwarded.headers
            ),
            deadline_s=self.clock() + min(work_class.target_s, forwarded.timeout_s),
        )
        return self.at_most_once.handle_forwarded(work, self._run_keyed)

    def issue_tickets(self, token: str, count: int) -> tuple[str, ...]:
        """Return tickets for the team that a key belongs to.

        Args:
            token: Team key, empty for open work.
            count: Number of tickets.

        Raises:
            HeatherhatchError: ``BAD_REQUEST``, ``NO_STANDING``,
                ``UNAUTHENTICATED`` or ``SHUTTING_DOWN``.
        """
        if self.shutting_down:
            # The outcome table that decides about these tickets is lost when
            # this process ends.
            raise HeatherhatchError(ErrorKind.SHUTTING_DOWN)
        if not 1 <= count <= MAX_TICKETS:
            raise HeatherhatchError(
                ErrorKind.BAD_REQUEST, f"count must be from 1 to {MAX_TICKETS}"
            )
        self._check_standing()
        return self.at_most_once.issue(
            self._team_of(token) if token else OPEN_TEAM, count
        )

    def class_of(self, name: str, kind: WorkKind) -> WorkClass:
        """Return a class of work by its name and kind.

        Raises:
            HeatherhatchError: ``NO_STANDING`` or ``NOT_FOUND``.
        """
        self._check_standing()
        work_class = self.follower.config.classes.get(name)
        if work_class is None or work_class.kind is not kind:
            raise HeatherhatchError(
                ErrorKind.NOT_FOUND,
                f"class {name!r}",
            )
        return work_class

    def authenticate(self, token: str, work_class: WorkClass) -> str:
        """Return the team that a key belongs to, empty for open work without a key.

        Raises:
            HeatherhatchError: ``UNAUTHENTICATED``.
        """
        if work_class.open and not token:
            return OPEN_TEAM
        return self._team_of(token)

    def _team_of(self, token: str) -> str:
        key_id, secret = split_token(token)
        key = self.follower.config.team_keys.get(key_id)
        if key is None or not secret_matches(secret, key.digest):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        return key.team

    def _check_standing(self) -> None:
        if not self.follower.has_standing():
            raise HeatherhatchError(ErrorKind.NO_STANDING)

    @contextmanager
    def _refusals_before_decision(self, idempotency_key: str) -> Iterator[None]:
        """Replace refusals of keyed requests that claim the work has not run.

        An earlier attempt under the same key may have run, possibly on another
        node, and its owner has not been queried yet.
        """
        try:
            yield
        except HeatherhatchError as error:
            raise (not_asked_error(error) if idempotency_key else error) from None

    def _run_keyed(self, work: KeyedWork) -> HttpAnswer:
        work_class = self.class_of(work.work_class, WorkKind.REQUEST)
        return self._run(work_class, work.team, work.request, work.deadline_s)

    def _run(
        self,
        work_class: WorkClass,
        team: str,
        request: HttpRequest,
        deadline_s: float,
    ) -> HttpAnswer:
        permit = self.admission.acquire(team, work_class, deadline_s)
        try:
            return self.exchange.carry_out(work_class, request, deadline_s)
        finally:
            self.admission.release(permit)
