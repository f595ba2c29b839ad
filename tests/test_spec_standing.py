"""The specification of standing holds, and each broken variant does not."""

import pytest

from specifications import load

SPEC = load("standing")
# Enough states for the shortest counterexamples, which the search finds first.
SOME_STATES = 20_000


def test_standing_keeps_every_promise():
    verdict = SPEC.check()
    assert verdict["exhaustive"]
    assert all(item["holds"] is True for item in verdict["properties"].values())


@pytest.mark.parametrize("broken", SPEC.BROKEN)
def test_standing_loses_a_promise_when_broken(broken):
    promise = SPEC.BROKEN[broken]
    verdict = SPEC.check(broken, SOME_STATES)["properties"][promise]
    assert verdict["holds"] is False
    assert verdict["counterexample"]
