"""An instance says that it is ready, and refuses callers, for the same true reasons."""

import contextlib

import gevent
import gevent.event
import pytest

from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.fleet_configuration import (
    FleetConfiguration,
    Pool,
    Queue,
    Team,
)
from heatherhatch_core.state.work import Phase, Schedule, Step
from heatherhatch_daemon.events import LOG
from heatherhatch_daemon.pools import (
    claims,
    feed,
    intake,
    job_registry,
    node,
    operators,
    serving,
    watched_store,
)
from heatherhatch_daemon.pools.coordinator_rules import CoordinatorRules
from heatherhatch_daemon.pools.node import Node
from heatherhatch_daemon.pools.ports import ExternalPorts, OperatorRecords
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

QUEUE = Queue("q", "h", "/q/", "till", attempts=2)
CONFIGS = {
    b"1": FleetConfiguration(1, (QUEUE,), (Pool("till"),), (Team("t", ("k1",)),)),
    b"2": FleetConfiguration(2, (QUEUE,), (Pool("till"),), (Team("t", ("k2",)),)),
}
RECORDS = OperatorRecords(
    "op/", "op/config", "op/wave/", "w/", "s/", CONFIGS.get, None, None, None
)
RENEWALS = {"grant_lease", "keep_lease"}
# After a failed poll, the feed reads the waves and checks the configuration.
OPERATORS_FEED = {"poll op/", "range op/wave/"}
READS = {"get", "range", "poll", "transact"}
HANG_S = 30  # limits a test that hangs; normally nothing takes this long


class Clock:
    """Virtual time of all modules of an instance."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class FailingStore(MemoryStore):
    """A store whose calls of some kinds are refused.

    Attributes:
        refused: Names of the calls that are refused, with the first argument of
            each if only the calls with this argument are refused.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.refused = set()
        for name in RENEWALS | READS:
            setattr(self, name, self._refusing(name, getattr(self, name)))

    def poll(self, prefix, revision, _wait_s):
        # Nothing is written meanwhile, as no other greenlet runs.
        return super().poll(prefix, revision, 0.0)

    def _refusing(self, name, call):
        def refuse_or_call(*args):
            if name in self.refused or f"{name} {args[0]}" in self.refused:
                raise StoreError(f"{name} refused")
            return call(*args)

        return refuse_or_call


class Instance:
    """An instance whose greenlets are run by hand, in virtual time."""

    def __init__(self, clock, store):
        self.clock = clock
        self.node = Node(
            "n1",
            "1",
            store,
            ExternalPorts(None, None, None, RECORDS),
            Rules(),
            CoordinatorRules(),
        )

    def run(self, seconds: float) -> None:
        """Poll and renew for some time, as the greenlets do."""
        until_s = self.clock.now + seconds
        while True:
            self._attempt(self.node.operators.feed)
            if not self.node.claims.ending:
                self._attempt(self.node.claims.feed)
                self._renew()
            self.node.serving.step()
            if self.clock.now >= until_s:
                return
            self.clock.sleep(0.25)

    def status(self, job_id: str = "j1") -> Phase:
        return self.node.intake.status("h", f"/q/{job_id}", "k1").phase

    def submit(self, job_id: str = "j1") -> None:
        step = Step(estimate_s=1.0)
        self.node.intake.submit("h", f"/q/{job_id}", "k1", "", (step,), Schedule())

    def _renew(self) -> None:
        with contextlib.suppress(StoreError):
            self.node.claims._renew()

    @staticmethod
    def _attempt(watched) -> None:
        try:
            (watched.poll if watched.loaded else watched.read)()
        except StoreError as error:
            watched._note_failure(error)


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    for module in (claims, feed, intake, node, operators, serving, watched_store):
        if hasattr(module, "now_s"):
            monkeypatch.setattr(module, "now_s", clock)
    monkeypatch.setattr(job_registry, "sleep", clock.sleep)
    return clock


@pytest.fixture
def store(clock) -> FailingStore:
    store = FailingStore(clock)
    store.transact(Transaction((), (Put("op/config", b"1"),)))
    return store


@pytest.fixture
def instance(clock, store) -> Instance:
    return Instance(clock, store)


@pytest.fixture
def log_lines(monkeypatch) -> list:
    lines = []
    monkeypatch.setattr(
        LOG, "sink", lambda event, details: lines.append((event.name, details))
    )
    return lines


def refusal(call) -> HeatherhatchError:
    with pytest.raises(HeatherhatchError) as caught:
        call()
    return caught.value


def freeze(instance, seconds: float) -> None:
    """Let time pass without a poll; the lease is renewed first afterwards."""
    instance.clock.sleep(seconds)
    instance._renew()


def changes(log_lines) -> list:
    return [
        (name, details.get("reason"))
        for name, details in log_lines
        if name in ("SERVING", "NOT_SERVING")
    ]


# Guards against refusals that blame a store that answers all but one read.
def test_an_instance_without_configuration_does_not_blame_the_store(instance, store):
    store.refused = {"range op/", "get op/config"}
    instance.run(5.0)
    detail = refusal(instance.status).detail
    assert "configuration" in detail
    assert "store has not answered" not in detail


# Guards against logs that show an unready instance only by the absence of lines.
def test_each_change_of_readiness_is_logged_once_with_its_reason(
    instance, store, log_lines
):
    store.refused = {"range op/", "get op/config"}
    instance.run(3.0)
    assert changes(log_lines) == [("NOT_SERVING", "no configuration has been read yet")]
    store.refused = set()
    instance.run(3.0)
    store.refused = OPERATORS_FEED
    instance.run(5.0)
    store.refused = set()
    instance.run(1.0)
    instance.node.release_roles()
    instance.node.serving.step()
    assert changes(log_lines)[1:] == [
        ("SERVING", None),
        ("NOT_SERVING", "the configuration has not been confirmed recently"),
        ("SERVING", None),
        ("NOT_SERVING", "this node is shutting down"),
    ]
    last = log_lines[-1][1]
    assert last["config_version"] == 1
    assert last["config_age_s"] < 1.0
    assert last["obstacle"] == last["reason"]


# Guards against callers that go from one ready instance to the next, each refusing.
def test_a_caller_is_answered_by_the_first_ready_instance(clock, store):
    instances = [Instance(clock, store) for _number in range(3)]
    instances[0].run(1.0)
    instances[0].submit()
    store.refused = RENEWALS
    for _round in range(12):
        for instance in instances:
            instance.run(0.0)
        clock.sleep(0.25)
    assert all(instance.node.is_ready() for instance in instances)
    deadline_s = clock.now + 3.0
    refusals = 0
    for instance in instances:
        try:
            assert instance.status() is Phase.QUEUED
            break
        except HeatherhatchError as error:
            refusals += 1
            clock.sleep(error.retry_after_s)
    assert refusals == 0
    assert clock.now < deadline_s


# Guards against a new process that refuses calls for want of a lease.
def test_an_instance_without_a_lease_serves_callers(instance, store):
    store.refused = RENEWALS
    instance.run(0.0)
    instance.submit()
    assert instance.status() is Phase.QUEUED


# Guards against refusals during a graceful shutdown, when the lease ends first.
def test_an_instance_that_shuts_down_still_serves_callers(instance):
    instance.run(1.0)
    instance.submit()
    instance.node.release_roles()
    instance.run(5.0)
    assert instance.status() is Phase.QUEUED


# Guards against an instance that is ready and refuses, or refuses without knowing.
@pytest.mark.parametrize(
    ("refused", "serves"),
    [
        (set(), True),
        (RENEWALS, True),
        ({"poll claims/"}, True),
        (OPERATORS_FEED, False),
        ({"poll", "range"}, False),
        (READS, False),
        (READS | RENEWALS, False),
    ],
)
def test_readiness_and_refusals_agree(instance, store, refused, serves):
    instance.run(1.0)
    instance.submit()
    store.refused = refused
    instance.run(4.0)
    if serves:
        assert instance.status() is Phase.QUEUED
    else:
        assert not instance.node.is_ready()
        calls = store.calls
        kinds = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.NO_STANDING)
        assert refusal(instance.status).kind in kinds
        assert store.calls == calls


# Guards against all instances leaving the balancer for one late answer of the store.
def test_a_short_silence_of_the_store_does_not_change_readiness(
    instance, store, log_lines
):
    instance.run(1.0)
    store.refused = READS | RENEWALS
    instance.run(0.25)
    store.refused = set()
    instance.run(1.0)
    assert changes(log_lines) == []


# Guards against answers by a configuration that may have been replaced.
def test_a_status_is_not_answered_by_an_unconfirmed_configuration(instance, store):
    instance.run(1.0)
    instance.submit()
    store.transact(Transaction((), (Put("op/config", b"2"),)))
    freeze(instance, 4.0)
    assert refusal(instance.status).kind is ErrorKind.UNAUTHENTICATED
    assert instance.node.operators.config.version == 2


# Guards against reads of a large configuration beside the feed's read of it, which
# over a slow link then does not end in time.
def test_callers_do_not_read_the_configuration_while_its_feed_fails(instance, store):
    instance.run(1.0)
    store.refused = OPERATORS_FEED
    instance.run(4.0)
    calls = store.calls
    for path in ("/q/j1", "/none/"):
        error = refusal(lambda path=path: instance.node.intake.status("h", path, "k1"))
        assert error.kind is ErrorKind.NO_STANDING
    assert store.calls == calls


# Guards against a confirmation that starts again with each caller that gives up.
def test_a_confirmation_goes_on_after_its_caller_has_left(instance, store):
    instance.run(1.0)
    freeze(instance, 4.0)
    store.transact(Transaction((), (Put("op/config", b"2"),)))
    answer = gevent.event.Event()
    transact = store.transact
    store.transact = lambda item: answer.wait() and transact(item)
    caller = gevent.spawn(instance.status)
    gevent.sleep(0)
    caller.kill()
    answer.set()
    gevent.sleep(0)
    gevent.sleep(0)
    assert instance.node.operators.config.version == 2


# Guards against one read of the configuration for each of many simultaneous callers.
def test_simultaneous_callers_share_one_confirmation(instance, clock, store):
    instance.run(1.0)
    instance.submit()
    freeze(instance, 4.0)
    attempts = []
    transact = store.transact

    def slow_transact(item):
        attempts.append(item)
        gevent.sleep(0)
        clock.sleep(0.4)
        return transact(item)

    store.transact = slow_transact
    callers = [gevent.spawn(instance.status) for _number in range(5)]
    gevent.joinall(callers, timeout=HANG_S, raise_error=True)
    assert {caller.value for caller in callers} == {Phase.QUEUED}
    assert len(attempts) == 1


# Guards against refusals by a process whose first read is about to be answered.
def test_a_status_request_waits_for_the_first_configuration(instance, store):
    Instance(instance.clock, store).run(0.0)
    caller = gevent.spawn(instance.status, "none")
    gevent.sleep(0)
    assert not caller.ready()
    instance.run(0.0)
    with pytest.raises(HeatherhatchError) as caught:
        caller.get(timeout=HANG_S)
    assert caught.value.kind is ErrorKind.NO_SUCH_JOB


# Guards against status requests that wait although the configuration cannot be read.
def test_a_status_request_does_not_wait_for_a_read_that_fails(instance, store):
    store.refused = {"range op/", "get op/config"}
    instance.run(3.0)
    calls = store.calls
    assert refusal(instance.status).kind is ErrorKind.NO_STANDING
    assert store.calls == calls


# Guards against callers that wait for a large configuration until their deadline.
def test_callers_wait_for_a_confirmation_for_a_bounded_time(
    instance, store, monkeypatch
):
    monkeypatch.setattr(operators, "CONFIRM_WAIT_S", 0.01)
    instance.run(1.0)
    freeze(instance, 4.0)
    store.transact = lambda _item: gevent.event.Event().wait()
    with gevent.Timeout(HANG_S):
        assert refusal(instance.status).kind is ErrorKind.NO_STANDING
