"""The gateway: admits a caller's work, places it and returns the answer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from heatherhatch_core.coordination.outcomes import not_asked_error
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.keys import secret_matches, split_token
from heatherhatch_core.state.entities import WorkClass, WorkKind

from ..metrics import Metric, Metrics
from ..protocol.messages import Handover
from ..transport.http import HttpAnswer, HttpRequest
from .admission import Admission
from .at_most_once import AtMostOnce, KeyedWork
from .exchange import Exchange
from .follower import Follower

OPEN_TEAM = ""
MOST_TICKETS = 1_000
ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class Work:
    """A request as a caller sent it.

    Attributes:
        work_class: Name of the class.
        token: Key that came with it, empty if none.
        idempotency_key: The caller's Idempotency-Key, empty if none.
        request: What goes to the backend server.
        timeout_s: Seconds that the caller waits for the answer.
    """

    work_class: str
    token: str
    idempotency_key: str
    request: HttpRequest
    timeout_s: float = float("inf")


class Gateway:
    """Admits work within the team's grant and exchanges it with a backend server.

    Args:
        follower: Source of the configuration and of this node's standing.
        admission: Decides when a request may start.
        exchange: Sends requests to backend servers.
        once: Keeps requests that do harm from running twice.
        metrics: Where figures go.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        follower: Follower,
        admission: Admission,
        exchange: Exchange,
        once: AtMostOnce,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        self.follower = follower
        self.admission = admission
        self.exchange = exchange
        self.once = once
        self.metrics = metrics
        self.clock = clock
        self.random = exchange.random
        self.draining = False
        self.ending = False

    @property
    def total_running(self) -> int:
        """Requests that run on this node."""
        return self.admission.running.total()

    def handle(self, work: Work) -> HttpAnswer:
        """Carry out one request and return its whole answer.

        Raises:
            HeatherhatchError: The kind tells whether the work may have run.
        """
        begun_s = self.clock()
        answer = ANSWERED
        try:
            return self._carry_out(work)
        except HeatherhatchError as error:
            answer = error.kind.value
            raise
        finally:
            self.metrics.count(Metric.REQUESTS, label=answer)
            self.metrics.time(Metric.REQUEST_MS, 1e3 * (self.clock() - begun_s))

    def _carry_out(self, work: Work) -> HttpAnswer:
        with self._before_decision(work.idempotency_key):
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
        return self.once.carry_out(keyed, self._run_keyed)

    def take_over(self, handover: Handover) -> HttpAnswer:
        """Carry out a keyed request that another node handed over.

        The other node has checked the team's key; this one checks that it has
        not been withdrawn since.

        Raises:
            HeatherhatchError: The kind tells whether the work may have run.
        """
        with self._before_decision(handover.idempotency_key):
            work_class = self.class_of(handover.work_class, WorkKind.REQUEST)
            key = self.follower.config.team_keys.get(handover.key_id)
            known = key is not None and key.team == handover.team
            if not known and not (work_class.open and handover.team == OPEN_TEAM):
                raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        work = KeyedWork(
            team=handover.team,
            key_id=handover.key_id,
            work_class=handover.work_class,
            idempotency_key=handover.idempotency_key,
            request=HttpRequest(
                handover.method, handover.path, handover.body, handover.headers
            ),
            deadline_s=self.clock() + min(work_class.target_s, handover.timeout_s),
        )
        return self.once.take_over(work, self._run_keyed)

    def issue_tickets(self, token: str, count: int) -> tuple[str, ...]:
        """Return tickets for the team whose key came with the request.

        Raises:
            HeatherhatchError: ``BAD_REQUEST``, ``NO_STANDING``,
                ``UNAUTHENTICATED`` or ``SHUTTING_DOWN``.
        """
        if self.ending:
            # The memory that would decide about them is about to go.
            raise HeatherhatchError(ErrorKind.SHUTTING_DOWN)
        if not 1 <= count <= MOST_TICKETS:
            raise HeatherhatchError(
                ErrorKind.BAD_REQUEST, f"count must be from 1 to {MOST_TICKETS}"
            )
        self._check_standing()
        return self.once.issue(self._team_of(token) if token else OPEN_TEAM, count)

    def class_of(self, name: str, kind: WorkKind) -> WorkClass:
        """Return the class of some work.

        Raises:
            HeatherhatchError: ``NO_STANDING`` or ``NOT_FOUND``.
        """
        self._check_standing()
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
    def _before_decision(self, idempotency_key: str) -> Iterator[None]:
        """Keep refusals from saying more than is known of earlier attempts."""
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
