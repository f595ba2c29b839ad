"""Each check of what must always hold can fail."""

import dataclasses

import pytest

from heatherhatch_core.state.changes import Change, Edit
from heatherhatch_core.state.entities import Assignment, Pool, Team, Worker, WorkerState
from heatherhatch_standins.invariants import (
    Sent,
    answer_violations,
    away_intervals,
    budget_violations,
    doubling_violations,
    job_violations,
    leaving_violations,
    limit_violations,
    one_pool_violations,
    refusal_violations,
)
from heatherhatch_standins.ledger import Start

GOOD = Sent("1", False, b"body", 200, "1", b"body", False)


def log_of(*edits):
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


def away(state, pool="p"):
    return Edit(assignments=(Assignment("w1", pool, state),))


def test_invariant_budget_fails_for_a_drain_too_many(fleet):
    assert budget_violations(log_of(fleet)) == []
    assert len(budget_violations(log_of(fleet, away(WorkerState.DRAINING)))) == 1
    assert budget_violations(log_of(fleet, away(WorkerState.FAILED))) == []


def test_invariant_one_pool_fails_for_a_pool_that_is_not_there(fleet):
    assert one_pool_violations(log_of(fleet)) == []
    assert one_pool_violations(log_of(fleet, away(WorkerState.SERVING, "none")))


def test_invariant_limit_fails_above_the_limit():
    teams = [Team("red", 1.0, 2)]
    assert limit_violations({"red": 2}, teams) == []
    assert limit_violations({"red": 3}, teams)


@pytest.mark.parametrize("changed", [{"answer": b"bod"}, {"answered_id": "2"}])
def test_invariant_answers_fail_for_a_cut_or_foreign_one(changed):
    assert answer_violations([GOOD]) == []
    assert answer_violations([dataclasses.replace(GOOD, **changed)])


def test_invariant_refusal_fails_if_it_ran():
    refused = dataclasses.replace(GOOD, not_run=True, status=503)
    assert refusal_violations([refused], []) == []
    assert refusal_violations([refused], [Start("b", "1", "red", 0.0)])


def test_invariant_refusal_speaks_of_its_own_attempt_without_a_key():
    """The first attempt ran and its answer was lost; the pool is full then."""
    start = Start("b", "1", "red", 0.0)
    refused = dataclasses.replace(
        GOOD, not_run=True, status=503, idempotent=True, unanswered=1
    )
    assert refusal_violations([refused], [start]) == []
    assert refusal_violations([refused], [start, start])
    keyed = dataclasses.replace(refused, idempotent=False)
    assert refusal_violations([keyed], [start])


def test_invariant_at_most_once_fails_for_two_starts():
    start = Start("b", "1", "red", 0.0)
    assert doubling_violations([GOOD], [start]) == []
    assert doubling_violations([GOOD], [start, start])
    again = dataclasses.replace(GOOD, idempotent=True)
    assert doubling_violations([again], [start, start]) == []


def test_invariant_leaving_fails_for_late_new_work(fleet):
    changes = log_of(fleet, away(WorkerState.DRAINING), away(WorkerState.SERVING))
    spans = away_intervals(changes)
    assert [(span.start_s, span.end_s) for span in spans] == [(2.0, 3.0)]
    endless = away_intervals(changes[:2])
    worker_of = {"b": "w1"}
    assert leaving_violations([Start("b", "1", "", 4.9)], worker_of, endless) == []
    assert leaving_violations([Start("b", "1", "", 5.1)], worker_of, endless)


def test_invariant_jobs_fail_for_a_doubled_attempt():
    assert job_violations([("j", 1), ("j", 2)], ["j"]) == []
    assert job_violations([("j", 1), ("j", 1)], ["j"])
    assert job_violations([], ["j"])
