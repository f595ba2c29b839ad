"""Each invariant check reports a violation and accepts correct behaviour."""

import dataclasses

import pytest

from heatherhatch_core.state.changes import Change, Edit
from heatherhatch_core.state.entities import Assignment, Pool, Team, Worker, WorkerState
from heatherhatch_standins.invariants import (
    Sent,
    answer_violations,
    away_intervals,
    budget_violations,
    duplicate_run_violations,
    job_violations,
    leaving_violations,
    limit_violations,
    one_pool_violations,
    refusal_violations,
)
from heatherhatch_standins.ledger import Start

ANSWERED_REQUEST = Sent("1", False, b"body", 200, "1", b"body", False)


def change_log(*edits):
    return [
        Change(seq, str(seq), "me", "", float(seq), edit)
        for seq, edit in enumerate(edits, 1)
    ]


@pytest.fixture
def fleet():
    return Edit(
        pools=(Pool("p", 2),),
        workers=tuple(Worker(f"w{i}", "f", "r", "127.0.0.1:1", "p") for i in (1, 2)),
    )


def assign_w1(state, pool="p"):
    return Edit(assignments=(Assignment("w1", pool, state),))


def test_invariant_budget_fails_for_one_drain_too_many(fleet):
    assert budget_violations(change_log(fleet)) == []
    assert (
        len(budget_violations(change_log(fleet, assign_w1(WorkerState.DRAINING)))) == 1
    )
    assert budget_violations(change_log(fleet, assign_w1(WorkerState.FAILED))) == []


def test_invariant_one_pool_fails_for_a_missing_pool(fleet):
    assert one_pool_violations(change_log(fleet)) == []
    assert one_pool_violations(
        change_log(fleet, assign_w1(WorkerState.SERVING, "none"))
    )


def test_invariant_limit_fails_above_the_limit():
    teams = [Team("red", 1.0, 2)]
    assert limit_violations({"red": 2}, teams) == []
    assert limit_violations({"red": 3}, teams)


@pytest.mark.parametrize("changed", [{"answer": b"bod"}, {"answered_id": "2"}])
def test_invariant_answers_fail_for_truncated_or_mismatched_answers(changed):
    assert answer_violations([ANSWERED_REQUEST]) == []
    assert answer_violations([dataclasses.replace(ANSWERED_REQUEST, **changed)])


def test_invariant_refusal_fails_if_the_request_ran():
    refused = dataclasses.replace(ANSWERED_REQUEST, not_run=True, status=503)
    assert refusal_violations([refused], []) == []
    assert refusal_violations([refused], [Start("b", "1", "red", 0.0)])


def test_invariant_refusal_without_a_key_covers_only_its_own_attempt():
    """The first attempt ran but its answer was lost; the retry finds the pool full."""
    start = Start("b", "1", "red", 0.0)
    refused = dataclasses.replace(
        ANSWERED_REQUEST, not_run=True, status=503, idempotent=True, unanswered=1
    )
    assert refusal_violations([refused], [start]) == []
    assert refusal_violations([refused], [start, start])
    keyed = dataclasses.replace(refused, idempotent=False)
    assert refusal_violations([keyed], [start])


def test_invariant_at_most_once_fails_for_two_starts():
    start = Start("b", "1", "red", 0.0)
    assert duplicate_run_violations([ANSWERED_REQUEST], [start]) == []
    assert duplicate_run_violations([ANSWERED_REQUEST], [start, start])
    idempotent_request = dataclasses.replace(ANSWERED_REQUEST, idempotent=True)
    assert duplicate_run_violations([idempotent_request], [start, start]) == []


def test_invariant_leaving_fails_for_new_work_after_the_grace_period(fleet):
    changes = change_log(
        fleet,
        assign_w1(WorkerState.DRAINING),
        assign_w1(WorkerState.SERVING),
    )
    intervals = away_intervals(changes)
    assert [(span.start_s, span.end_s) for span in intervals] == [(2.0, 3.0)]
    open_intervals = away_intervals(changes[:2])
    worker_of = {"b": "w1"}
    assert (
        leaving_violations([Start("b", "1", "", 4.9)], worker_of, open_intervals) == []
    )
    assert leaving_violations([Start("b", "1", "", 5.1)], worker_of, open_intervals)


def test_invariant_jobs_fail_for_a_repeated_or_missing_attempt():
    assert job_violations([("j", 1), ("j", 2)], ["j"]) == []
    assert job_violations([("j", 1), ("j", 1)], ["j"])
    assert job_violations([], ["j"])
