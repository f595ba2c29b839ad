"""At-most-once execution of requests that carry an idempotency key."""

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

from ..protocol.messages import ForwardedRequest, NodeEntry
from ..transport.http import HttpAnswer, HttpRequest
from .key_claims import ClaimWriter, KeyClaim
from .request_forwarding import RequestForwarder

NONCE_BYTES = 12
MAX_KEY_LENGTH = 512


@dataclass(frozen=True, slots=True)
class KeyedWork:
    """A request that must not run twice.

    Attributes:
        team: Team whose limit the request counts against, empty for open work.
        key_id: Id of the team key in the request, empty for open work.
        work_class: Name of the class of work.
        idempotency_key: The caller's Idempotency-Key.
        request: Request to send to the backend server.
        deadline_s: When the response is due, monotonic seconds.
    """

    team: str
    key_id: str
    work_class: str
    idempotency_key: str
    request: HttpRequest
    deadline_s: float

    @property
    def fingerprint(self) -> str:
        """Hexadecimal digest of the class, method, path and body.

        Two requests with one key must have equal digests.
        """
        digest = hashlib.sha256()
        for part in (self.work_class, self.request.method, self.request.path):
            digest.update(part.encode() + b"\0")
        digest.update(self.request.body)
        return digest.hexdigest()


Runner = Callable[[KeyedWork], HttpAnswer]


class AtMostOnce:
    """Runs each keyed request at most once, whichever nodes its retries reach.

    A ticket is owned by the node that issued it, a key that the caller generated
    by the node that claimed it in the store. Only the outcome table of the owner
    decides whether a request runs; every other node forwards the request to it.

    Args:
        entry: Entry of this incarnation of the node. Its registration may be
            renewed under another incarnation, but its outcome table stays the
            same.
        outcome_table: Outcome table of this node.
        claims: Writes claims of keys that callers generated.
        forwarder: Forwards requests to the node that owns their key.
        secret: Shared secret of the nodes, which signs tickets.
        outcome_s: Seconds for which outcomes are kept.
        clock: Returns monotonic seconds.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        entry: NodeEntry,
        outcome_table: OutcomeTable,
        claims: ClaimWriter,
        forwarder: RequestForwarder,
        secret: str,
        outcome_s: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        self.entry = entry
        self.outcome_table = outcome_table
        self.claims = claims
        self.forwarder = forwarder
        self.secret = secret
        self.outcome_s = outcome_s
        self.clock = clock
        self.wall_clock = wall_clock
        self.waiters: dict[RequestKey, AsyncResult] = {}

    def issue(self, team: str, count: int) -> tuple[str, ...]:
        """Return new tickets for a team."""
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
        """Run a request, join a running one with its key, or replay its response.

        Args:
            work: Request as received from a caller.
            run: Runs the request; its errors state whether it may have run.

        Raises:
            HeatherhatchError: The kind states whether the work may have run.
        """
        if not work.idempotency_key:
            raise HeatherhatchError(ErrorKind.KEY_REQUIRED)
        if len(work.idempotency_key) > MAX_KEY_LENGTH:
            raise HeatherhatchError(
                ErrorKind.BAD_REQUEST, "Idempotency-Key is too long"
            )
        if is_ticket(work.idempotency_key):
            ticket = read_ticket(work.idempotency_key, self.secret)
            _check_team(work, ticket)
            if ticket.incarnation != self.entry.incarnation:
                return self._forward(work, ticket.incarnation, ticket.peers)
            return self._decide(work, ticket.issued_s + self.outcome_s, run)
        return self._carry_out_claimed(work, run)

    def handle_forwarded(self, work: KeyedWork, run: Runner) -> HttpAnswer:
        """Carry out a request that another node forwarded to this incarnation.

        Raises:
            HeatherhatchError: The kind states whether the work may have run.
        """
        if is_ticket(work.idempotency_key):
            ticket = read_ticket(work.idempotency_key, self.secret)
            _check_team(work, ticket)
            return self._decide(work, ticket.issued_s + self.outcome_s, run)
        return self._decide(work, self._record_expiry_s(work), run)

    def _carry_out_claimed(self, work: KeyedWork, run: Runner) -> HttpAnswer:
        expiry_s = self._record_expiry_s(work)
        if self.outcome_table.knows(RequestKey(work.team, work.idempotency_key)):
            return self._decide(work, expiry_s, run)
        entry = self.entry
        own_claim = KeyClaim(
            entry.name, entry.incarnation, entry.peers, work.fingerprint
        )
        try:
            claim = self.claims.claim(
                work.team, work.idempotency_key, own_claim, work.deadline_s
            )
        except HeatherhatchError as error:
            raise not_asked_error(error) from error
        if claim.fingerprint != own_claim.fingerprint:
            raise HeatherhatchError(ErrorKind.KEY_REUSED)
        if claim.incarnation != entry.incarnation:
            return self._forward(work, claim.incarnation, claim.peers)
        return self._decide(work, expiry_s, run)

    def _record_expiry_s(self, work: KeyedWork) -> float:
        """Return when the record of a caller's key expires, monotonic seconds.

        The record is kept for the length of a claim's lease, counted from the
        timestamp of the key.
        """
        now = self.wall_clock()
        seconds_left(work.idempotency_key, now, self.outcome_s)
        age_s = now - key_time_s(work.idempotency_key)
        return self.clock() + claim_lease_s(self.outcome_s) - age_s

    def _forward(self, work: KeyedWork, incarnation: str, peers: str) -> HttpAnswer:
        forwarded = ForwardedRequest(
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
            self.forwarder.send(peers, incarnation, forwarded, work.deadline_s)
        )

    def _decide(self, work: KeyedWork, expires_s: float, run: Runner) -> HttpAnswer:
        key = RequestKey(work.team, work.idempotency_key)
        fingerprint = bytes.fromhex(work.fingerprint)
        step = self.outcome_table.begin(key, fingerprint, expires_s, self.clock())
        if step is Step.REPLAY:
            return answer_of(self.outcome_table.outcome_of(key))
        if step is Step.JOIN:
            return answer_of(self._join(key, work.deadline_s))
        return answer_of(self._run_first(key, work, run))

    def _run_first(self, key: RequestKey, work: KeyedWork, run: Runner) -> Outcome:
        waiter = self.waiters[key] = AsyncResult()
        outcome = Outcome(error=ErrorKind.INTERNAL)
        try:
            answer = run(work)
            outcome = Outcome(answer.status, answer.headers, answer.body)
        except HeatherhatchError as error:
            outcome = error_outcome(error)
        finally:
            # This also runs if the greenlet is killed. The recorded outcome is
            # then INTERNAL, which does not rule out that the work has run.
            self._record_outcome(key, outcome)
            waiter.set(outcome)
        return outcome

    def _record_outcome(self, key: RequestKey, outcome: Outcome) -> None:
        del self.waiters[key]
        error = outcome.error
        if error is not None and is_not_run(error):
            self.outcome_table.withdraw(key)
        else:
            self.outcome_table.finish(key, outcome)

    def _join(self, key: RequestKey, deadline_s: float) -> Outcome:
        remaining_s = max(0.0, deadline_s - self.clock())
        try:
            return self.waiters[key].get(timeout=remaining_s)
        except gevent.Timeout as error:
            raise HeatherhatchError(
                ErrorKind.BACKEND_TIMEOUT,
                "the first request with this idempotency key is still running",
            ) from error


def is_not_run(kind: ErrorKind) -> bool:
    """Return whether an error kind states that the work has not run."""
    return HeatherhatchError(kind).answer.execution is Execution.NOT_RUN


def answer_of(outcome: Outcome) -> HttpAnswer:
    """Return the response in an outcome.

    Raises:
        HeatherhatchError: If the outcome is an error.
    """
    if outcome.error is not None:
        raise HeatherhatchError(outcome.error, outcome.detail, outcome.retry_after_s)
    return HttpAnswer(outcome.status, outcome.headers, outcome.body)


def _check_team(work: KeyedWork, ticket: Ticket) -> None:
    if ticket.team != work.team:
        raise HeatherhatchError(
            ErrorKind.KEY_REUSED, "the ticket was issued to another team"
        )
