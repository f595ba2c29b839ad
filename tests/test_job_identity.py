"""A job is known by its queue and its identifier; only its owner may use it.

Guards against a job that is answered as accepted and never runs, because a job of
another queue, or of another team, has its identifier.
"""

import time
from dataclasses import replace

import msgspec
import pytest

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.scheduler import JobWrite
from heatherhatch_core.coordination.scheduler.live import LiveJob
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.fleet_configuration import (
    FleetConfiguration,
    Pool,
    Queue,
    Team,
)
from heatherhatch_core.state.work import Job, Phase, Progress, Schedule, Step
from heatherhatch_daemon.pools.committer import Committer
from heatherhatch_daemon.pools.intake import Intake
from heatherhatch_daemon.pools.keys import cancel_key, claim_key, job_key, status_key
from heatherhatch_daemon.pools.operators import Operators
from heatherhatch_daemon.pools.ports import OperatorRecords
from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Expect, Put, Transaction

CONFIG = FleetConfiguration(
    1,
    (
        Queue("q-till", "h", "/till/", "till", attempts=2),
        Queue("q-wall", "h", "/wall/", "wall", attempts=2),
        Queue("q-till-2", "h", "/till-2/", "till", attempts=2),
    ),
    (Pool("till"), Pool("wall")),
    (Team("red", ("k-red",)), Team("blue", ("k-blue",))),
)
RECORDS = OperatorRecords(
    "op/", "op/config", "op/wave/", "w/", "s/", lambda _data: CONFIG, None, None, None
)
STEPS = (Step(estimate_s=1.0),)


class EarlierStatus(msgspec.Struct, frozen=True):
    """The status of a job as the version before wrote it."""

    phase: Phase
    pool: str
    queue: str
    team: str = ""
    ended_s: float = 0.0


class Entrance:
    """An intake on a store in memory, with the writes of the pools' holders."""

    def __init__(self):
        self.store = MemoryStore(time.monotonic)
        self.config = CONFIG
        records = replace(RECORDS, read_config=lambda _data: self.config)
        self.operators = Operators(self.store, records, lambda _config: None)
        self.intake = Intake(self.store, self.operators)
        self.configure(*CONFIG.queues)

    def configure(self, *queues: Queue) -> None:
        """Store a new version of the configuration with these queues."""
        version = self.config.version + 1
        self.config = replace(self.config, version=version, queues=queues)
        self.put("op/config", b"%d" % version)
        self.operators.refresh()

    def put(self, key: str, value: bytes) -> None:
        self.store.transact(Transaction((), (Put(key, value),)))

    def submit(self, path: str, key: str = "k-red", payload: str = "run") -> None:
        self.intake.submit("h", path, key, payload, STEPS, Schedule())

    def phase(self, path: str, key: str = "k-red") -> Phase:
        return self.intake.status("h", path, key).phase

    def stored_job(self, pool: str, job_id: str) -> Job | None:
        entry = self.store.get(job_key(pool, job_id))
        return decode_json(entry.value, Job) if entry else None

    def finish(self, pool: str, job_id: str) -> None:
        """Store the end of a job as the pool's holder does."""
        job = self.stored_job(pool, job_id)
        live = LiveJob(job)
        live.phase = Phase.COMPLETED
        status = live.status(1.0)
        stored = []
        self.put(claim_key(pool), b"{}")
        revision = self.store.get(claim_key(pool)).revision
        committer = Committer(
            self.store,
            pool,
            lambda: Expect(claim_key(pool), revision),
            lambda: True,
            stored.extend,
            pytest.fail,
        )
        committer.submit([JobWrite(job_id, 1, Progress(), status)])
        committer.greenlets.join()
        assert len(stored) == 1


@pytest.fixture
def entrance() -> Entrance:
    return Entrance()


def error_kind(call, *args) -> ErrorKind:
    with pytest.raises(HeatherhatchError) as caught:
        call(*args)
    return caught.value.kind


def test_queues_may_use_the_same_identifier(entrance):
    entrance.submit("/till/j1", payload="till work")
    entrance.submit("/wall/j1", payload="wall work")
    assert entrance.stored_job("till", "j1").payload == "till work"
    assert entrance.stored_job("wall", "j1").payload == "wall work"
    entrance.finish("till", "j1")
    assert entrance.phase("/till/j1") is Phase.COMPLETED
    assert entrance.phase("/wall/j1") is Phase.QUEUED
    entrance.finish("wall", "j1")
    assert entrance.phase("/wall/j1") is Phase.COMPLETED


def test_a_job_that_ended_does_not_hide_that_of_another_queue(entrance):
    entrance.submit("/till/j1")
    entrance.finish("till", "j1")
    assert error_kind(entrance.phase, "/wall/j1") is ErrorKind.NO_SUCH_JOB
    entrance.submit("/wall/j1")
    assert entrance.phase("/wall/j1") is Phase.QUEUED
    assert entrance.stored_job("wall", "j1") is not None


def test_a_resubmission_stays_one_job_after_the_other_is_forgotten(entrance):
    entrance.submit("/till/j1")
    entrance.submit("/wall/j1")
    entrance.finish("wall", "j1")
    # The sweeper removes the status of the job that used the identifier first.
    entrance.store.transact(Transaction((), (), (status_key("j1"),)))
    entrance.submit("/wall/j1")
    assert entrance.stored_job("wall", "j1") is None
    assert entrance.phase("/wall/j1") is Phase.COMPLETED


def test_a_cancellation_reaches_the_job_of_its_queue(entrance):
    entrance.submit("/till/j1")
    entrance.submit("/wall/j1")
    entrance.intake.cancel("h", "/wall/j1", "k-red")
    assert entrance.store.get(cancel_key("wall", "j1")) is not None
    assert entrance.store.get(cancel_key("till", "j1")) is None


def test_another_team_is_refused_and_the_owner_is_not(entrance):
    entrance.submit("/till/j1")
    assert error_kind(entrance.submit, "/till/j1", "k-blue") is ErrorKind.FORBIDDEN
    entrance.submit("/till/j1")
    assert entrance.stored_job("till", "j1").team == "red"


def test_another_team_cannot_block_an_identifier_on_other_queues(entrance):
    entrance.submit("/till/j1", "k-blue")
    entrance.submit("/wall/j1", "k-red")
    assert entrance.phase("/wall/j1", "k-red") is Phase.QUEUED
    assert error_kind(entrance.phase, "/wall/j1", "k-blue") is ErrorKind.FORBIDDEN


# The names of tasks on workers hold no queue, so two open jobs of one pool would be
# the same to its workers.
def test_open_jobs_of_one_pool_have_distinct_identifiers(entrance):
    entrance.submit("/till/j1")
    assert error_kind(entrance.submit, "/till-2/j1") is ErrorKind.CONFLICT
    entrance.finish("till", "j1")
    entrance.submit("/till-2/j1")
    assert entrance.stored_job("till", "j1").queue == "q-till-2"


# Guards against a retry that would accept a job by a configuration that changed
# between the two transactions.
def test_no_job_is_stored_under_a_configuration_that_changed_meanwhile(entrance):
    entrance.submit("/till/j1")
    transact = entrance.store.transact
    changes = []

    def change_first(transaction):
        if not changes:
            changes.append(transact(Transaction((), (Put("op/config", b"2"),))))
        return transact(transaction)

    entrance.store.transact = change_first
    expected = entrance.intake.operators.revision
    entrance.submit("/wall/j1")
    assert entrance.intake.operators.revision > expected
    assert entrance.phase("/wall/j1") is Phase.QUEUED


@pytest.mark.parametrize("job_id", ["a.b", "a b", "ä", "x" * 65, "a:b", "%2e"])
def test_an_identifier_that_does_not_fit_into_a_task_name_is_refused(entrance, job_id):
    assert error_kind(entrance.submit, f"/till/{job_id}") is ErrorKind.BAD_REQUEST
    assert error_kind(entrance.phase, f"/till/{job_id}") is ErrorKind.NO_SUCH_JOB


def test_an_unreadable_status_is_neither_a_success_nor_a_refusal(entrance):
    entrance.put(status_key("j1"), b"?")
    assert error_kind(entrance.submit, "/till/j1") is ErrorKind.INTERNAL
    assert error_kind(entrance.phase, "/till/j1") is ErrorKind.INTERNAL


# Both versions run side by side during an upgrade.
def test_a_job_that_the_version_before_accepted_is_known_and_finished(entrance):
    status = EarlierStatus(Phase.QUEUED, "till", "q-till", "red")
    job = Job("j1", "q-till", "till", "red", "run", STEPS)
    fields = msgspec.to_builtins(job)
    del fields["shares_id"]
    entrance.put("status-of-jobs/j1", encode_json(status))
    entrance.put(job_key("till", "j1"), encode_json(fields))
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.QUEUED
    entrance.finish("till", "j1")
    assert entrance.phase("/till/j1") is Phase.COMPLETED
    stored = entrance.store.get("status-of-jobs/j1")
    assert decode_json(stored.value, EarlierStatus).phase is Phase.COMPLETED


def test_the_version_before_reads_a_job_that_this_one_accepted(entrance):
    entrance.submit("/till/j1")
    stored = entrance.store.get("status-of-jobs/j1")
    assert decode_json(stored.value, EarlierStatus).queue == "q-till"
