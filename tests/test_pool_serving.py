"""An instance says that it is ready, and refuses callers, for the same true reasons."""

import pytest

from heatherhatch_core.coordination.scheduler import Rules
from heatherhatch_core.exceptions import HeatherhatchError, StoreError
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
READS = {"get", "range", "poll", "transact"}


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
            for watched in (self.node.operators.feed, self.node.claims.feed):
                self._attempt(watched, watched.poll if watched.loaded else watched.read)
            self._attempt(None, self.node.claims._renew)
            self.node.serving.step()
            if self.clock.now >= until_s:
                return
            self.clock.sleep(0.25)

    def status(self, job_id: str = "j1") -> Phase:
        return self.node.intake.status("h", f"/q/{job_id}", "k1").phase

    def submit(self, job_id: str = "j1") -> None:
        step = Step(estimate_s=1.0)
        self.node.intake.submit("h", f"/q/{job_id}", "k1", "", (step,), Schedule())

    @staticmethod
    def _attempt(watched, call) -> None:
        try:
            call()
        except StoreError as error:
            if watched is not None:
                watched._note_failure(error)


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    for module in (claims, feed, intake, node, operators, serving, watched_store):
        if hasattr(module, "now_s"):
            monkeypatch.setattr(module, "now_s", clock)
    monkeypatch.setattr(intake, "sleep", clock.sleep)
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
    store.refused = {"poll op/"}
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
