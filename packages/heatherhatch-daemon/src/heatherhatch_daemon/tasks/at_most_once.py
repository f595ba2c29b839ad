"""At most once: the one memory that decides about each keyed request."""

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from heatherhatch_core.coordination.caller_keys import (
    claim_lease_s,
    key_time_s,
    seconds_left,
)
from heatherhatch_core.coordination.outcomes import (
    Outcome,
    OutcomeTable,
    RequestKey,
    Step,
    error_outcome,
    not_asked_error,
)
from heatherhatch_core.coordination.tickets import (
    Ticket,
    is_ticket,
    read_ticket,
    write_ticket,
)
from heatherhatch_core.exceptions import (
    ErrorKind,
    Execution,
    HeatherhatchError,
)

from ..protocol.messages import Handover, NodeEntry
from ..transport.http import HttpAnswer, HttpRequest
from .claims import Claim, ClaimWriter
from .handovers import HandoverSender

NONCE_BYTES = 12
KEY_LENGTH = 512


@dataclass(frozen=True, slots=True)
class KeyedWork:
    """A request that must not run twice.

    Attributes:
        team: Team that it counts against, empty for open work.
        key_id: Team key that came with it, empty for open work.
        work_class: Name of the class.
        idempotency_key: The caller's Idempotency-Key.
        request: What goes to the backend server.
        deadline_s: When the answer is due, monotonic seconds.
    """

    team: str
    key_id: str
    work_class: str
    idempotency_key: str
    request: HttpRequest
    deadline_s: float

    @property
    def fingerprint(self) -> str:
        """Digest of what makes two requests the same, in hexadecimal."""
        digest = hashlib.sha256()
        for part in (self.work_class, self.request.method, self.request.path):
            digest.update(part.encode() + b"\0")
        digest.update(self.request.body)
        return digest.hexdigest()


Runner = Callable[[KeyedWork], HttpAnswer]


class AtMostOnce:
    """Runs each keyed request at most once, wherever it is sent again.

    A ticket belongs to the node that issued it, a caller's own key to the node
    that claimed it in the store. That node's memory alone decides; every other
    node hands the request over to it.

    Args:
        entry: This start of the process; its registration may be renewed under
            another incarnation, but its memory stays the same.
        book: Memory of outcomes.
        claims: Writer of claims.
        handovers: Sends requests to the node whose key it is.
        secret: Shared secret of the nodes.
        outcome_s: How long outcomes are kept, in seconds.
        clock: Returns monotonic seconds.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        entry: NodeEntry,
        book: OutcomeTable,
        claims: ClaimWriter,
        handovers: HandoverSender,
        secret: str,
        outcome_s: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        self.entry = entry
        self.book = book
        self.claims = claims
        self.handovers = handovers
        self.secret = secret
        self.outcome_s = outcome_s
        self.clock = clock
        self.wall_clock = wall_clock
        self.waiters: dict[RequestKey, AsyncResult] = {}

    def issue(self, team: str, count: int) -> tuple[str, ...]:
        """Return fresh tickets for a team."""
        entry = self.entry
        return tuple(
            write_ticket(
                Ticket(
                    entry.name,
                    entry.incarnation,
                    entry.peers,
                    team,
                    secrets.token_urlsafe(NONCE_BYTES),
                    self.clock(),
                ),
                self.secret,
            )
            for _ in range(count)
        )

    def carry_out(self, work: KeyedWork, run: Runner) -> HttpAnswer:
        """Run a request, join the same one that runs, or replay its answer.

        Args:
            work: Request as it came from a caller.
            run: Runs the request; its errors tell whether it may have run.

        Raises:
            HeatherhatchError: The kind tells whether the work may have run.
        """
        if not work.idempotency_key:
            raise HeatherhatchError(ErrorKind.KEY_REQUIRED)
        if len(work.idempotency_key) > KEY_LENGTH:
            raise HeatherhatchError(ErrorKind.BAD_REQUEST, "the key is too long")
        if is_ticket(work.idempotency_key):
            ticket = read_ticket(work.idempotency_key, self.secret)
            _check_team(work, ticket)
            if ticket.incarnation != self.entry.incarnation:
                return self._hand_over(work, ticket.incarnation, ticket.peers)
            return self._decide(work, ticket.issued_s + self.outcome_s, run)
        return self._carry_out_claimed(work, run)

    def take_over(self, work: KeyedWork, run: Runner) -> HttpAnswer:
        """Carry out a request that another node handed over to this start of it.

        Raises:
            HeatherhatchError: The kind tells whether the work may have run.
        """
        if is_ticket(work.idempotency_key):
            ticket = read_ticket(work.idempotency_key, self.secret)
            _check_team(work, ticket)
            return self._decide(work, ticket.issued_s + self.outcome_s, run)
        return self._decide(work, self._kept_until(work), run)

    def _carry_out_claimed(self, work: KeyedWork, run: Runner) -> HttpAnswer:
        kept_until = self._kept_until(work)
        if self.book.knows(RequestKey(work.team, work.idempotency_key)):
            return self._decide(work, kept_until, run)
        entry = self.entry
        own = Claim(entry.name, entry.incarnation, entry.peers, work.fingerprint)
        try:
            claim = self.claims.claim(
                work.team, work.idempotency_key, own, work.deadline_s
            )
        except HeatherhatchError as error:
            raise not_asked_error(error) from error
        if claim.fingerprint != own.fingerprint:
            raise HeatherhatchError(ErrorKind.KEY_REUSED)
        if claim.incarnation != entry.incarnation:
            return self._hand_over(work, claim.incarnation, claim.peers)
        return self._decide(work, kept_until, run)

    def _kept_until(self, work: KeyedWork) -> float:
        """Return how long the memory of a caller's key outlasts its claim."""
        now = self.wall_clock()
        seconds_left(work.idempotency_key, now, self.outcome_s)
        age_s = now - key_time_s(work.idempotency_key)
        return self.clock() + claim_lease_s(self.outcome_s) - age_s

    def _hand_over(self, work: KeyedWork, incarnation: str, peers: str) -> HttpAnswer:
        handover = Handover(
            timeout_s=0.0,
            team=work.team,
            key_id=work.key_id,
            work_class=work.work_class,
            idempotency_key=work.idempotency_key,
            method=work.request.method,
            path=work.request.path,
            headers=work.request.headers,
            body=work.request.body,
        )
        return answer_of(
            self.handovers.send(peers, incarnation, handover, work.deadline_s)
        )

    def _decide(self, work: KeyedWork, expires_s: float, run: Runner) -> HttpAnswer:
        key = RequestKey(work.team, work.idempotency_key)
        fingerprint = bytes.fromhex(work.fingerprint)
        step = self.book.begin(key, fingerprint, expires_s, self.clock())
        if step is Step.REPLAY:
            return answer_of(self.book.outcome_of(key))
        if step is Step.JOIN:
            return answer_of(self._join(key, work.deadline_s))
        return answer_of(self._run(key, work, run))

    def _run(self, key: RequestKey, work: KeyedWork, run: Runner) -> Outcome:
        waiter = self.waiters[key] = AsyncResult()
        outcome = Outcome(error=ErrorKind.INTERNAL)
        try:
            answer = run(work)
            outcome = Outcome(answer.status, answer.headers, answer.body)
        except HeatherhatchError as error:
            outcome = error_outcome(error)
        finally:
            # Also when the greenlet is ended: the record then says unknown.
            self._settle(key, outcome)
            waiter.set(outcome)
        return outcome

    def _settle(self, key: RequestKey, outcome: Outcome) -> None:
        del self.waiters[key]
        error = outcome.error
        if error is not None and is_not_run(error):
            self.book.withdraw(key)
        else:
            self.book.finish(key, outcome)

    def _join(self, key: RequestKey, deadline_s: float) -> Outcome:
        left = max(0.0, deadline_s - self.clock())
        try:
            return self.waiters[key].get(timeout=left)
        except gevent.Timeout as error:
            raise HeatherhatchError(
                ErrorKind.BACKEND_TIMEOUT, "the first attempt still runs"
            ) from error


def is_not_run(kind: ErrorKind) -> bool:
    """Tell whether an error kind says that the work has not run."""
    return HeatherhatchError(kind).answer.execution is Execution.NOT_RUN


def answer_of(outcome: Outcome) -> HttpAnswer:
    """Return the answer in an outcome.

    Raises:
        HeatherhatchError: If the outcome is an error.
    """
    if outcome.error is not None:
        raise HeatherhatchError(outcome.error, outcome.detail, outcome.retry_after_s)
    return HttpAnswer(outcome.status, outcome.headers, outcome.body)


def _check_team(work: KeyedWork, ticket: Ticket) -> None:
    if ticket.team != work.team:
        raise HeatherhatchError(ErrorKind.KEY_REUSED, "the ticket is another team's")
