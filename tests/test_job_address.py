"""A job belongs to the address of its queue, whatever operators name the queue.

Guards against an accepted job that is not known any more, or runs again, after a
configuration gave its queue another name.
"""

from dataclasses import replace

import pytest

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.scheduler import Rules, Scheduler
from heatherhatch_core.exceptions import ErrorKind
from heatherhatch_core.state.fleet_configuration import Queue
from heatherhatch_core.state.work import Job, Phase
from heatherhatch_daemon.pools.keys import cancel_key, job_key
from heatherhatch_daemon.pools.pool_reporter import PoolReporter
from heatherhatch_daemon.transport.store import Expect, Put, Transaction
from test_job_identity import STEPS, EarlierStatus, Entrance, error_kind

TILL = Queue("q-till", "h", "/till/", "till")
WALL = Queue("q-wall", "h", "/wall/", "wall")
RENAMED = replace(TILL, name="q-new")
CHANGES = {
    "renamed": [[RENAMED, WALL]],
    "renamed and moved to another pool": [[replace(RENAMED, pool="wall"), WALL]],
    "removed and added under another name": [[WALL], [RENAMED, WALL]],
    "names swapped": [[replace(TILL, name="q-wall"), replace(WALL, name="q-till")]],
    "name given to another queue": [[RENAMED, replace(WALL, name="q-till")]],
}


@pytest.fixture
def entrance() -> Entrance:
    found = Entrance()
    found.configure(TILL, WALL)
    return found


@pytest.fixture(params=CHANGES)
def change(request, entrance):
    """Return a function that changes the name of the queue at ``/till/``."""

    def apply():
        for queues in CHANGES[request.param]:
            entrance.configure(*queues)

    return apply


def test_a_job_that_ended_is_known_and_not_run_again(entrance, change):
    entrance.submit("/till/j1")
    entrance.finish("till", "j1")
    change()
    assert entrance.phase("/till/j1") is Phase.COMPLETED
    entrance.submit("/till/j1")
    assert entrance.stored_job("till", "j1") is None
    assert entrance.stored_job("wall", "j1") is None
    assert entrance.phase("/till/j1") is Phase.COMPLETED


def test_an_open_job_is_known_and_can_be_cancelled(entrance, change):
    entrance.submit("/till/j1")
    change()
    assert entrance.phase("/till/j1") is Phase.QUEUED
    entrance.submit("/till/j1")
    entrance.intake.cancel("h", "/till/j1", "k-red")
    assert entrance.store.get(cancel_key("till", "j1")) is not None


def test_a_job_that_shares_its_identifier_is_known(entrance, change):
    entrance.submit("/wall/j1")
    entrance.submit("/till/j1")
    entrance.finish("till", "j1")
    change()
    assert entrance.phase("/till/j1") is Phase.COMPLETED
    assert entrance.phase("/wall/j1") is Phase.QUEUED


def test_a_job_that_was_cancelled_before_it_was_stored_is_not_run(entrance, change):
    assert error_kind(entrance.intake.cancel, "h", "/till/j1", "k-red") is (
        ErrorKind.NO_SUCH_JOB
    )
    change()
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.CANCELLED
    assert entrance.stored_job("till", "j1") is None
    assert entrance.stored_job("wall", "j1") is None


def test_another_queue_does_not_get_the_jobs_of_a_name(entrance):
    entrance.submit("/till/j1")
    entrance.configure(replace(TILL, prefix="/other/"))
    assert error_kind(entrance.phase, "/other/j1") is ErrorKind.NO_SUCH_JOB
    entrance.finish("till", "j1")
    entrance.submit("/other/j1")
    assert entrance.phase("/other/j1") is Phase.QUEUED
    entrance.configure(TILL)
    assert entrance.phase("/till/j1") is Phase.COMPLETED


# The queue at /till/ has had the name of the queue at /wall/, and a job was withdrawn
# under that name.
def test_a_withdrawal_does_not_hold_for_the_next_queue_with_the_name(entrance):
    assert error_kind(entrance.intake.cancel, "h", "/till/j1", "k-red") is (
        ErrorKind.NO_SUCH_JOB
    )
    entrance.configure(RENAMED, replace(WALL, name="q-till"))
    assert error_kind(entrance.phase, "/wall/j1") is ErrorKind.NO_SUCH_JOB
    assert error_kind(entrance.intake.cancel, "h", "/wall/j2", "k-red") is (
        ErrorKind.NO_SUCH_JOB
    )
    entrance.submit("/wall/j1")
    assert entrance.phase("/wall/j1") is Phase.QUEUED
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.CANCELLED


# Both versions run side by side during an upgrade; the earlier one stores no address.
def test_a_job_of_the_version_before_is_known_under_another_name(entrance):
    status = EarlierStatus(Phase.QUEUED, "till", "q-till", "red")
    entrance.put("status-of-jobs/j1", encode_json(status))
    entrance.put(
        job_key("till", "j1"),
        encode_json(Job("j1", "q-till", "till", "red", "run", STEPS)),
    )
    entrance.configure(RENAMED, WALL)
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.QUEUED
    entrance.finish("till", "j1")
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.COMPLETED
    assert error_kind(entrance.phase, "/till/j2") is ErrorKind.NO_SUCH_JOB


def test_a_submission_of_the_version_before_fails_after_a_withdrawal(entrance):
    assert error_kind(entrance.intake.cancel, "h", "/till/j1", "k-red") is (
        ErrorKind.NO_SUCH_JOB
    )
    keys = ("status-of-jobs/j1", "status-of-jobs/q-till/j1", job_key("till", "j1"))
    puts = tuple(Put(key, b"{}") for key in (keys[0], keys[2]))
    expects = tuple(Expect(key, 0) for key in keys)
    assert not entrance.store.transact(Transaction(expects, puts)).succeeded


def test_a_cancelled_job_of_the_version_before_is_not_run(entrance):
    status = {"phase": "cancelled", "pool": "till", "queue": "q-till", "team": "red"}
    status |= {"shares_id": True, "withdrawn": True}
    entrance.put("status-of-jobs/q-till/j1", encode_json(status))
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.CANCELLED
    assert entrance.stored_job("till", "j1") is None


# Guards against a job that is answered as accepted by an instance of the version before
# and as not known by others, during an upgrade.
def test_a_withdrawn_job_that_the_version_before_accepted_is_known(entrance):
    assert error_kind(entrance.intake.cancel, "h", "/till/j1", "k-red") is (
        ErrorKind.NO_SUCH_JOB
    )
    status = {"phase": "cancelled", "pool": "till", "queue": "q-till", "team": "red"}
    entrance.put("status-of-jobs/q-till/j1", encode_json({**status, "shares_id": True}))
    assert entrance.phase("/till/j1") is Phase.CANCELLED
    entrance.submit("/till/j1")
    assert entrance.phase("/till/j1") is Phase.CANCELLED
    entrance.intake.cancel("h", "/till/j1", "k-red")


def held_pool(entrance: Entrance, *jobs: Job) -> Scheduler:
    """Return the scheduler of the pool "till" with some jobs."""
    scheduler = Scheduler("till", Rules(), 0.0)
    scheduler.configure(entrance.config)
    for job in jobs:
        scheduler.add_job(job, None, 0.0)
    return scheduler


def report(entrance: Entrance, scheduler: Scheduler) -> None:
    claim = Expect("claims/pool/till", 0)
    PoolReporter(entrance.store, scheduler, lambda: claim, 1).step()


# Guards against a length of 0 that callers are told after a new name of their queue.
def test_waiting_jobs_are_counted_at_their_address(entrance):
    for job_id in ("j1", "j2"):
        entrance.submit(f"/till/{job_id}")
    jobs = [entrance.stored_job("till", job_id) for job_id in ("j1", "j2")]
    entrance.configure(RENAMED, replace(WALL, pool="till", name="q-till"))
    report(entrance, held_pool(entrance, *jobs))
    assert entrance.intake.waiting("h", "/till/", "k-red") == 2
    assert entrance.intake.waiting("h", "/wall/", "k-red") == 0


def test_waiting_jobs_of_the_version_before_are_counted(entrance):
    report(entrance, held_pool(entrance, Job("j1", "q-till", "till", "red", "", STEPS)))
    assert entrance.intake.waiting("h", "/till/", "k-red") == 1
