"""Answers to callers are correct although the store refuses or loses calls."""

import time
from dataclasses import replace

import gevent
import pytest
from gevent.event import Event as Signal

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.fleet_configuration import (
    FleetConfiguration,
    Pool,
    Queue,
    Team,
)
from heatherhatch_core.state.work import Phase, Schedule, Step
from heatherhatch_daemon.pools import operators, retries
from heatherhatch_daemon.pools.cancellation import MAX_WITHDRAWAL_BURST
from heatherhatch_daemon.pools.clock import now_s
from heatherhatch_daemon.pools.intake import Intake
from heatherhatch_daemon.pools.keys import cancel_key, job_key
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.ports import OperatorRecords
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.request_trace import RequestTrace, Stage
from heatherhatch_daemon.transport.store import Put, Transaction

QUEUE = Queue("q", "h", "/q/", "till", attempts=2)
CONFIGS = {
    b"1": FleetConfiguration(1, (QUEUE,), (Pool("till"),), (Team("t", ("k1",)),)),
    b"2": FleetConfiguration(2, (QUEUE,), (Pool("till"),), (Team("t", ("k2",)),)),
    b"3": FleetConfiguration(3, (), (Pool("till"),), (Team("t", ("k1",)),)),
}
RECORDS = OperatorRecords(
    "op/", "op/config", "op/wave/", "w/", "s/", CONFIGS.get, None, None, None
)


class ScriptedStore(MemoryStore):
    """A store whose next transactions and reads fail as a test specifies.

    A ``lost`` transaction is applied but not answered, a ``cut`` one is neither
    applied nor answered, a ``held`` one is not answered and may be applied later, and a
    ``refused`` one is answered as not applied.
    """

    def __init__(self):
        super().__init__(time.monotonic)
        self.script = []
        self.read_script = []
        self.reads = 0
        self.held = []

    def deliver(self):
        """Apply the transactions that were held, if their conditions still hold."""
        for transaction in self.held:
            super().transact(transaction)

    def get(self, key):
        self.reads += 1
        action = self.read_script.pop(0) if self.read_script else ""
        if action:
            raise StoreError(action, action == "lost")
        return super().get(key)

    def transact(self, transaction):
        action = self.script.pop(0) if self.script else ""
        if action == "refused":
            raise StoreError("refused")
        if action == "held":
            self.held.append(transaction)
        if action in ("cut", "held"):
            raise StoreError("no answer", True)
        outcome = super().transact(transaction)
        if action == "lost":
            raise StoreError("no answer", True)
        return outcome


class IntakeHarness:
    """An intake on a scripted store."""

    def __init__(self):
        self.store = ScriptedStore()
        self.configure(b"1")
        self.operators = Operators(self.store, RECORDS, lambda _config: None)
        self.operators.refresh()
        self.intake = Intake(self.store, self.operators)

    def configure(self, version: bytes) -> None:
        self.store.transact(Transaction((), (Put("op/config", version),)))

    def submit(self, job_id: str = "j1", key: str = "k1") -> None:
        step = Step(estimate_s=1.0)
        self.intake.submit("h", f"/q/{job_id}", key, "run", (step,), Schedule())

    def jobs(self) -> list[str]:
        prefix = job_key("till", "")
        return [entry.key for entry in self.store.range(prefix).entries]


@pytest.fixture
def pauses(monkeypatch) -> list[float]:
    """Return the pauses between attempts, which take no time."""
    pauses = []
    monkeypatch.setattr(retries, "sleep", pauses.append)
    return pauses


@pytest.fixture
def harness() -> IntakeHarness:
    return IntakeHarness()


def error_kind(call, *args) -> ErrorKind:
    with pytest.raises(HeatherhatchError) as caught:
        call(*args)
    return caught.value.kind


def test_a_job_is_stored_before_it_is_accepted(harness):
    harness.submit()
    assert harness.jobs() == [job_key("till", "j1")]
    assert harness.intake.status("h", "/q/j1", "k1").phase is Phase.QUEUED


def test_a_job_that_is_submitted_twice_is_stored_once(harness):
    harness.submit()
    revision = harness.store.entries[job_key("till", "j1")].revision
    harness.submit()
    assert harness.store.entries[job_key("till", "j1")].revision == revision


@pytest.mark.parametrize("script", [["lost"], ["cut"], ["cut", "lost"], ["lost"] * 3])
def test_a_submission_without_an_answer_is_resolved(harness, script):
    harness.store.script = script
    harness.submit()
    assert harness.jobs() == [job_key("till", "j1")]


def test_a_submission_that_the_store_refuses_is_not_stored(harness):
    harness.store.script = ["refused"]
    assert error_kind(harness.submit) is ErrorKind.STORE_UNAVAILABLE
    assert harness.jobs() == []


def test_a_write_that_may_still_be_applied_is_not_reported_as_refused(harness):
    harness.store.script = ["cut", "refused", "refused", "refused"]
    assert error_kind(harness.submit) is ErrorKind.CHANGE_UNKNOWN


def test_a_job_is_checked_against_the_newest_configuration(harness):
    """The node has not received the newest configuration yet."""
    harness.configure(b"2")
    assert error_kind(harness.submit) is ErrorKind.UNAUTHENTICATED
    harness.submit(key="k2")
    assert len(harness.jobs()) == 1


def test_a_key_is_refused_only_after_a_check_of_the_configuration(harness):
    """The node has not received the configuration that grants the key yet."""
    harness.configure(b"2")
    harness.operators.confirmed_s = float("-inf")
    harness.submit(key="k2")
    assert len(harness.jobs()) == 1


def test_a_queue_that_was_just_removed_is_reported_as_not_found(harness):
    harness.operators.confirmed_s = float("-inf")
    harness.configure(b"3")
    refusal_kind = error_kind(harness.intake.waiting, "h", "/q/", "k1")
    assert refusal_kind is ErrorKind.NOT_FOUND


def test_without_the_store_no_key_is_reported_as_wrong(harness, monkeypatch):
    def fail(_what):
        raise StoreError("no answer")

    monkeypatch.setattr(harness.store, "get", fail)
    monkeypatch.setattr(harness.store, "transact", fail)
    harness.operators.confirmed_s = float("-inf")
    assert (
        error_kind(harness.intake.status, "h", "/q/j1", "bad") is ErrorKind.NO_STANDING
    )


def test_an_unknown_job_is_distinguished_from_an_unknown_queue(harness):
    status = harness.intake.status
    assert error_kind(status, "h", "/q/none", "k1") is ErrorKind.NO_SUCH_JOB
    assert error_kind(status, "h", "/x/none", "k1") is ErrorKind.NOT_FOUND


def test_a_cancellation_is_stored_before_it_is_confirmed(harness):
    harness.submit()
    harness.intake.cancel("h", "/q/j1", "k1")
    assert cancel_key("till", "j1") in harness.store.entries
    assert (
        error_kind(harness.intake.cancel, "h", "/q/j2", "k1") is ErrorKind.NO_SUCH_JOB
    )


def test_callers_are_refused_at_once_during_a_known_store_outage(harness):
    """No call to the store is made, so the refusal is immediate and correct."""
    harness.intake.store_outage_s = lambda: 0.3
    calls = harness.store.calls
    assert error_kind(harness.submit) is ErrorKind.STORE_UNAVAILABLE
    assert harness.store.calls == calls


@pytest.mark.parametrize(("outage_s", "retry_s"), [(0.3, 1.0), (2.5, 2.5), (60.0, 4.0)])
def test_the_retry_delay_grows_with_the_length_of_the_outage(
    harness, outage_s, retry_s
):
    """Callers make few attempts; with short delays, all would fail in one outage."""
    harness.intake.store_outage_s = lambda: outage_s
    with pytest.raises(HeatherhatchError) as caught:
        harness.submit()
    assert caught.value.retry_after_s == retry_s


def test_a_check_of_the_configuration_makes_no_separate_read(harness):
    """A read sends the whole configuration over a slow link, a condition few bytes."""
    reads = []
    get = harness.store.get
    harness.store.get = lambda key: reads.append(key) or get(key)
    harness.operators.confirmed_s = float("-inf")
    assert (
        error_kind(harness.intake.status, "h", "/q/j1", "bad")
        is ErrorKind.UNAUTHENTICATED
    )
    harness.configure(b"2")
    harness.operators.confirmed_s = float("-inf")
    assert (
        error_kind(harness.intake.status, "h", "/q/j1", "bad")
        is ErrorKind.UNAUTHENTICATED
    )
    assert harness.operators.config.version == 2
    assert reads == []


def test_a_conflicting_write_returns_the_newer_configuration(harness):
    harness.configure(b"2")
    reads = []
    get = harness.store.get
    harness.store.get = lambda key: reads.append(key) or get(key)
    assert error_kind(harness.submit, "j1", "k1") is ErrorKind.UNAUTHENTICATED
    assert reads == []
    harness.submit("j1", "k2")
    assert harness.jobs() == [job_key("till", "j1")]


class HeldStore(MemoryStore):
    """A store that holds confirmations of the configuration until they are released."""

    def __init__(self):
        super().__init__(time.monotonic)
        self.released = Signal()
        self.confirmations = 0

    def transact(self, transaction):
        if not transaction.puts:
            self.confirmations += 1
            self.released.wait()
        return super().transact(transaction)


@pytest.fixture
def held_store() -> HeldStore:
    store = HeldStore()
    store.transact(Transaction((), (Put("op/config", b"1"),)))
    return store


@pytest.fixture
def unconfirmed(held_store) -> Operators:
    operators = Operators(held_store, RECORDS, lambda _config: None)
    operators.feed.read()
    operators.feed.last_response_s = float("-inf")
    return operators


# Each request at an instance with an old configuration read a copy of the newest. Ten
# copies on a slow link took ten times as long, while callers waited without an answer.
def test_requests_that_wait_for_the_configuration_share_one_read(
    held_store, unconfirmed
):
    callers = [gevent.spawn(unconfirmed.confirm) for _caller in range(10)]
    gevent.sleep(0.01)
    callers[0].kill()
    held_store.released.set()
    with gevent.Timeout(30):
        assert [caller.get().version for caller in callers[1:]] == [1] * 9
    assert held_store.confirmations == 1


def test_a_request_that_waits_for_the_configuration_says_so(held_store, unconfirmed):
    trace = RequestTrace("GET", "/q/j1")

    def serve():
        gevent.getcurrent().request_trace = trace
        unconfirmed.confirm()

    caller = gevent.spawn(serve)
    gevent.sleep(0.01)
    assert trace.stage is Stage.CONFIGURATION
    held_store.released.set()
    caller.get(timeout=30)
    assert trace.stage is not Stage.CONFIGURATION


# Guards against LOST: two instances that each waited twice used up their caller's time.
def test_the_waits_for_a_configuration_have_one_limit(
    held_store, unconfirmed, monkeypatch
):
    monkeypatch.setattr(operators, "CONFIRM_WAIT_S", 0.2)
    monkeypatch.setattr(unconfirmed, "await_change", lambda: gevent.sleep(0.15))
    gevent.spawn_later(0.3, held_store.released.set)
    with pytest.raises(HeatherhatchError, match="last confirmed"):
        unconfirmed.confirm()


def test_a_configuration_is_not_confirmed_by_a_read_that_began_too_early(
    held_store, unconfirmed
):
    early = gevent.spawn(unconfirmed.confirm)
    gevent.sleep(0.01)
    asked_s = now_s()
    late = gevent.spawn(unconfirmed.refresh, asked_s)
    held_store.released.set()
    with gevent.Timeout(30):
        gevent.joinall([early, late], raise_error=True)
    assert unconfirmed.confirmed_s >= asked_s


# Guards against callers that get 503 because one read of the store was lost or refused.
@pytest.mark.parametrize(
    "script", [["lost"], ["refused"], ["refused", "lost"], ["refused"] * 3]
)
def test_a_status_is_answered_although_reads_fail_briefly(harness, pauses, script):
    harness.submit()
    harness.store.read_script = list(script)
    assert harness.intake.status("h", "/q/j1", "k1").phase is Phase.QUEUED
    assert len(pauses) == len(script)
    assert harness.store.read_script == []


# Guards against attempts that burden a store that refuses reads.
def test_reads_are_repeated_a_bounded_number_of_times(harness, pauses):
    harness.submit()
    harness.store.reads = 0
    harness.store.read_script = ["refused"] * 100
    kind = error_kind(harness.intake.status, "h", "/q/j1", "k1")
    assert kind is ErrorKind.STORE_UNAVAILABLE
    assert harness.store.reads == retries.STORE_ATTEMPTS
    assert pauses == sorted(pauses)


# Guards against attempts that go on after the store is known not to answer.
def test_reads_are_not_repeated_in_a_known_outage(harness, pauses):
    harness.submit()
    harness.store.reads = 0
    harness.store.read_script = ["lost"] * 100
    harness.intake.store_outage_s = lambda: 2.0 if harness.store.reads else 0.0
    with pytest.raises(HeatherhatchError) as caught:
        harness.intake.status("h", "/q/j1", "k1")
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE
    assert caught.value.retry_after_s == 2.0
    assert harness.store.reads == 1


# Guards against several transfers of a large configuration for one caller.
@pytest.mark.parametrize("script", [["cut"], ["refused"]])
def test_a_failed_confirmation_of_the_configuration_is_not_repeated(
    harness, pauses, script
):
    harness.submit()
    harness.operators.confirmed_s = float("-inf")
    harness.store.script = [*script, "cut"]
    kind = error_kind(harness.intake.status, "h", "/q/j1", "k1")
    assert kind is ErrorKind.NO_STANDING
    assert harness.store.script == ["cut"]
    assert pauses == []


# Guards against callers that cannot cancel because one write was lost or refused.
@pytest.mark.parametrize(
    "script", [["lost"], ["cut"], ["refused"], ["cut", "refused", "lost"]]
)
def test_a_cancellation_is_stored_although_writes_fail_briefly(harness, pauses, script):
    harness.submit()
    harness.store.script = list(script)
    harness.intake.cancel("h", "/q/j1", "k1")
    assert cancel_key("till", "j1") in harness.store.entries
    assert harness.store.script == []


# Guards against a cancellation that may be stored and is reported as refused.
@pytest.mark.parametrize(
    ("script", "kind"),
    [
        (["refused"] * 100, ErrorKind.STORE_UNAVAILABLE),
        (["cut"] + ["refused"] * 100, ErrorKind.CHANGE_UNKNOWN),
    ],
)
def test_a_cancellation_that_keeps_failing_is_reported_truly(
    harness, pauses, script, kind
):
    harness.submit()
    harness.store.script = list(script)
    assert error_kind(harness.intake.cancel, "h", "/q/j1", "k1") is kind
    assert len(pauses) == retries.STORE_ATTEMPTS - 1


# Guards against a job that runs although its cancellation was acknowledged: its
# submission was on its way to the store.
def test_a_submission_that_arrives_after_its_cancellation_is_not_stored(harness):
    harness.store.script = ["held"] * 4
    assert error_kind(harness.submit) is ErrorKind.CHANGE_UNKNOWN
    cancel = harness.intake.cancel
    assert error_kind(cancel, "h", "/q/j1", "k1") is ErrorKind.NO_SUCH_JOB
    harness.store.deliver()
    assert len(harness.store.held) == 4
    assert harness.jobs() == []
    status = harness.intake.status
    assert error_kind(status, "h", "/q/j1", "k1") is ErrorKind.NO_SUCH_JOB


# Guards against a cancelled job that runs because its caller sends it again.
def test_a_job_that_is_submitted_after_its_cancellation_is_shown_as_cancelled(harness):
    cancel = harness.intake.cancel
    for _cancellation in range(2):
        assert error_kind(cancel, "h", "/q/j1", "k1") is ErrorKind.NO_SUCH_JOB
    for _submission in range(2):
        harness.submit()
        assert harness.jobs() == []
        assert harness.intake.status("h", "/q/j1", "k1").phase is Phase.CANCELLED
    cancel("h", "/q/j1", "k1")


# Guards against a 410 for a cancellation that nothing has stored.
@pytest.mark.parametrize(
    ("script", "kind"),
    [
        (["cut", "lost"], ErrorKind.NO_SUCH_JOB),
        (["refused"] * 100, ErrorKind.STORE_UNAVAILABLE),
        (["cut"] * 100, ErrorKind.CHANGE_UNKNOWN),
    ],
)
def test_the_cancellation_of_an_unknown_job_is_reported_truly(
    harness, pauses, script, kind
):
    harness.store.script = list(script)
    assert error_kind(harness.intake.cancel, "h", "/q/j1", "k1") is kind


@pytest.fixture
def two_teams(harness, monkeypatch) -> IntakeHarness:
    """Return a harness whose configuration has a second team with the key k2."""
    teams = (Team("t", ("k1",)), Team("u", ("k2",)))
    config = replace(CONFIGS[b"1"], version=4, teams=teams)
    monkeypatch.setitem(CONFIGS, b"4", config)
    harness.configure(b"4")
    harness.operators.refresh()
    return harness


# Guards against a team that cancels the jobs of another one in advance.
def test_a_team_cannot_withdraw_the_jobs_of_another_one(two_teams):
    cancel = two_teams.intake.cancel
    assert error_kind(cancel, "h", "/q/j1", "k1") is ErrorKind.NO_SUCH_JOB
    two_teams.submit(key="k2")
    assert two_teams.intake.status("h", "/q/j1", "k2").phase is Phase.QUEUED
    assert len(two_teams.jobs()) == 1


# Guards against a withdrawal that holds for one of two teams only.
@pytest.mark.parametrize("key", ["k1", "k2"])
def test_a_job_that_two_teams_have_cancelled_is_withdrawn_for_both(two_teams, key):
    for team_key in ("k1", "k2"):
        kind = error_kind(two_teams.intake.cancel, "h", "/q/j1", team_key)
        assert kind is ErrorKind.NO_SUCH_JOB
    two_teams.submit(key=key)
    assert two_teams.jobs() == []


# Guards against a store that is filled by cancellations of random identifiers.
def test_the_cancellations_of_unknown_jobs_are_limited(harness):
    kinds = [
        error_kind(harness.intake.cancel, "h", f"/q/x{number}", "k1")
        for number in range(2 * MAX_WITHDRAWAL_BURST)
    ]
    assert kinds[0] is ErrorKind.NO_SUCH_JOB
    assert kinds[-1] is ErrorKind.LIMIT_REACHED
    harness.submit()
    harness.intake.cancel("h", "/q/j1", "k1")


@pytest.fixture
def change_arrives(harness, monkeypatch) -> list[bool]:
    """Whether a change of the configuration is being received, one entry if so."""
    arriving = [True]
    monkeypatch.setattr(harness.store, "is_receiving", lambda _prefix: bool(arriving))
    return arriving


# Guards against a conflict, with another copy of a large configuration, for each job
# that is submitted while the configuration changes.
def test_a_submission_waits_for_a_configuration_that_is_arriving(
    harness, change_arrives
):
    transactions = []
    transact = harness.store.transact
    harness.store.transact = lambda item: transactions.append(item) or transact(item)
    submitting = gevent.spawn(harness.submit, "j1", "k2")
    gevent.sleep(0.05)
    assert transactions == []
    transact(Transaction((), (Put("op/config", b"2"),)))
    harness.operators.feed.read()
    change_arrives.clear()
    submitting.get(timeout=30)
    accepted = [item for item in transactions if item.puts]
    assert len(accepted) == 1
    assert harness.jobs() == [job_key("till", "j1")]


# Guards against callers that are held until their deadline by a slow change.
def test_a_submission_is_refused_if_the_configuration_takes_long_to_arrive(
    harness, change_arrives, monkeypatch
):
    monkeypatch.setattr(operators, "CONFIRM_WAIT_S", 0.05)
    assert error_kind(harness.submit) is ErrorKind.NO_STANDING
    assert harness.jobs() == []


# Guards against a withdrawn key that is used on because the node cannot read the
# configuration that withdraws it.
def test_without_the_newest_configuration_nobody_is_answered(harness):
    harness.submit()
    harness.configure(b"unreadable")
    harness.operators.feed.read()
    for call in (harness.submit, lambda: harness.intake.status("h", "/q/j1", "k1")):
        assert error_kind(call) is ErrorKind.NO_STANDING
    assert harness.operators.config_age_s() == float("inf")
    harness.configure(b"2")
    harness.operators.feed.read()
    assert harness.intake.status("h", "/q/j1", "k2").phase is Phase.QUEUED
    assert (
        error_kind(harness.intake.status, "h", "/q/j1", "k1")
        is ErrorKind.UNAUTHENTICATED
    )


def test_an_error_while_a_configuration_is_decoded_confirms_nothing(
    harness, monkeypatch
):
    harness.submit()
    records = replace(RECORDS, read_config=lambda _data: 1 / 0)
    monkeypatch.setattr(harness.operators, "records", records)
    harness.configure(b"2")
    harness.operators.confirmed_s = float("-inf")
    refusal = error_kind(harness.intake.status, "h", "/q/j1", "k1")
    assert refusal is ErrorKind.NO_STANDING


# Guards against submissions that an instance keeps although it is known to be cut off.
def test_a_submission_is_not_tried_again_in_a_known_outage():
    harness = IntakeHarness()
    outage_s = [0.0]
    attempts = []

    def transact(transaction):
        if transaction.puts:
            attempts.append(transaction)
            harness.store.script = ["cut"]
            outage_s[0] = 2.0
        return type(harness.store).transact(harness.store, transaction)

    harness.store.transact = transact
    harness.intake.store_outage_s = lambda: outage_s[0]
    with pytest.raises(HeatherhatchError):
        harness.submit()
    assert len(attempts) == 1


# Guards against a public queue that runs jobs with a key that was never valid: only a
# request without a key needs none.
def test_a_public_queue_refuses_an_unknown_key_and_takes_none(harness, monkeypatch):
    queue = replace(QUEUE, public=True)
    config = replace(CONFIGS[b"1"], version=5, queues=(queue,))
    monkeypatch.setitem(CONFIGS, b"5", config)
    harness.configure(b"5")
    harness.operators.refresh()
    assert error_kind(harness.submit, "j1", "bad") is ErrorKind.UNAUTHENTICATED
    harness.submit("j1", "")
    harness.submit("j2", "k1")
    assert len(harness.jobs()) == 2
