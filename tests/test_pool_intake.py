"""What callers are told is true, whatever the store does."""

import time

import pytest

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError, StoreError
from heatherhatch_core.state.fleet_configuration import (
    FleetConfiguration,
    Pool,
    Queue,
    Team,
)
from heatherhatch_core.state.work import Phase, Schedule, Step
from heatherhatch_daemon.pools.intake import Intake
from heatherhatch_daemon.pools.keys import cancel_key, job_key
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.ports import OperatorRecords
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Put, Transaction

QUEUE = Queue("q", "h", "/q/", "till", attempts=2)
CONFIGS = {
    b"1": FleetConfiguration(1, (QUEUE,), (Pool("till"),), (Team("t", ("k1",)),)),
    b"2": FleetConfiguration(2, (QUEUE,), (Pool("till"),), (Team("t", ("k2",)),)),
    b"3": FleetConfiguration(3, (), (Pool("till"),), (Team("t", ("k1",)),)),
}
RECORDS = OperatorRecords(
    "told/", "told/config", "told/wave/", "w/", "s/", CONFIGS.get, None, None, None
)


class ScriptedStore(MemoryStore):
    """A store whose next transactions fail as a test says.

    ``lost`` is done and not answered, ``cut`` is neither, ``refused`` is answered
    as not done.
    """

    def __init__(self):
        super().__init__(time.monotonic)
        self.script = []

    def transact(self, transaction):
        fate = self.script.pop(0) if self.script else ""
        if fate == "refused":
            raise StoreError("refused")
        if fate == "cut":
            raise StoreError("no answer", True)
        outcome = super().transact(transaction)
        if fate == "lost":
            raise StoreError("no answer", True)
        return outcome


class Desk:
    """An intake with its store."""

    def __init__(self):
        self.store = ScriptedStore()
        self.configure(b"1")
        self.operators = Operators(self.store, RECORDS, lambda _config: None)
        self.operators.refresh()
        self.intake = Intake(self.store, self.operators)

    def configure(self, version: bytes) -> None:
        self.store.transact(Transaction((), (Put("told/config", version),)))

    def submit(self, job_id: str = "j1", key: str = "k1") -> None:
        step = Step(estimate_s=1.0)
        self.intake.submit("h", f"/q/{job_id}", key, "run", (step,), Schedule())

    def jobs(self) -> list[str]:
        prefix = job_key("till", "")
        return [entry.key for entry in self.store.range(prefix).entries]


@pytest.fixture
def desk() -> Desk:
    return Desk()


def kind_of(call, *args) -> ErrorKind:
    with pytest.raises(HeatherhatchError) as caught:
        call(*args)
    return caught.value.kind


def test_a_job_is_stored_before_it_is_accepted(desk):
    desk.submit()
    assert desk.jobs() == [job_key("till", "j1")]
    assert desk.intake.status("h", "/q/j1", "k1").phase is Phase.QUEUED


def test_a_job_that_is_sent_again_stays_one_job(desk):
    desk.submit()
    revision = desk.store.entries[job_key("till", "j1")].revision
    desk.submit()
    assert desk.store.entries[job_key("till", "j1")].revision == revision


@pytest.mark.parametrize("script", [["lost"], ["cut"], ["cut", "lost"], ["lost"] * 3])
def test_an_answer_that_was_lost_is_found_out(desk, script):
    desk.store.script = script
    desk.submit()
    assert desk.jobs() == [job_key("till", "j1")]


def test_a_refusal_of_the_store_is_a_refusal_that_is_true(desk):
    desk.store.script = ["refused"]
    assert kind_of(desk.submit) is ErrorKind.STORE_UNAVAILABLE
    assert desk.jobs() == []


def test_what_may_still_be_done_is_never_called_a_refusal(desk):
    desk.store.script = ["cut", "refused", "refused", "refused"]
    assert kind_of(desk.submit) is ErrorKind.CHANGE_UNKNOWN


def test_a_job_is_checked_against_the_newest_configuration(desk):
    """The node hasn't heard of it yet."""
    desk.configure(b"2")
    assert kind_of(desk.submit) is ErrorKind.UNAUTHENTICATED
    desk.submit(key="k2")
    assert len(desk.jobs()) == 1


def test_a_key_is_refused_only_on_fresh_evidence(desk):
    """The node hasn't heard yet that it was granted."""
    desk.configure(b"2")
    desk.operators.confirmed_s = float("-inf")
    desk.submit(key="k2")
    assert len(desk.jobs()) == 1


def test_a_queue_that_was_just_removed_is_not_counted(desk):
    desk.operators.confirmed_s = float("-inf")
    desk.configure(b"3")
    found = kind_of(desk.intake.waiting, "h", "/q/", "k1")
    assert found is ErrorKind.NOT_FOUND


def test_without_the_store_nobody_is_told_that_a_key_is_wrong(desk, monkeypatch):
    def down(_what):
        raise StoreError("no answer")

    monkeypatch.setattr(desk.store, "get", down)
    monkeypatch.setattr(desk.store, "transact", down)
    desk.operators.confirmed_s = float("-inf")
    assert kind_of(desk.intake.status, "h", "/q/j1", "bad") is ErrorKind.NO_STANDING


def test_an_unknown_job_is_told_from_an_unknown_queue(desk):
    status = desk.intake.status
    assert kind_of(status, "h", "/q/none", "k1") is ErrorKind.NO_SUCH_JOB
    assert kind_of(status, "h", "/x/none", "k1") is ErrorKind.NOT_FOUND


def test_a_cancellation_is_stored_before_it_is_answered(desk):
    desk.submit()
    desk.intake.cancel("h", "/q/j1", "k1")
    assert cancel_key("till", "j1") in desk.store.entries
    assert kind_of(desk.intake.cancel, "h", "/q/j2", "k1") is ErrorKind.NO_SUCH_JOB


def test_while_the_store_is_known_to_be_away_callers_are_refused_at_once(desk):
    """Nothing is tried, so that the refusal is quick and true."""
    desk.intake.store_outage_s = lambda: 0.3
    calls = desk.store.calls
    assert kind_of(desk.submit) is ErrorKind.STORE_UNAVAILABLE
    assert desk.store.calls == calls


@pytest.mark.parametrize(("outage_s", "retry_s"), [(0.3, 1.0), (2.5, 2.5), (60.0, 4.0)])
def test_callers_come_back_the_later_the_longer_the_store_is_away(
    desk, outage_s, retry_s
):
    """They have few attempts, and would spend them all in one outage."""
    desk.intake.store_outage_s = lambda: outage_s
    with pytest.raises(HeatherhatchError) as caught:
        desk.submit()
    assert caught.value.retry_after_s == retry_s


def test_a_check_of_the_configuration_reads_it_only_if_it_has_changed(desk):
    """It is large, and links are slow; a condition is answered in a few bytes."""
    reads = []
    get = desk.store.get
    desk.store.get = lambda key: reads.append(key) or get(key)
    desk.operators.confirmed_s = float("-inf")
    assert kind_of(desk.intake.status, "h", "/q/j1", "bad") is ErrorKind.UNAUTHENTICATED
    desk.configure(b"2")
    desk.operators.confirmed_s = float("-inf")
    assert kind_of(desk.intake.status, "h", "/q/j1", "bad") is ErrorKind.UNAUTHENTICATED
    assert desk.operators.config.version == 2
    assert reads == []


def test_a_write_that_met_a_newer_configuration_learns_it_from_the_answer(desk):
    desk.configure(b"2")
    reads = []
    get = desk.store.get
    desk.store.get = lambda key: reads.append(key) or get(key)
    assert kind_of(desk.submit, "j1", "k1") is ErrorKind.UNAUTHENTICATED
    assert reads == []
    desk.submit("j1", "k2")
    assert desk.jobs() == [job_key("till", "j1")]
