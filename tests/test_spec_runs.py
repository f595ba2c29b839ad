"""Checks the specification of runs.

The protocol must keep both invariants. Each variant without one of the rules must
violate an invariant; otherwise the model would not detect that fault.
"""

import pytest

from specifications import load_specification


@pytest.fixture(scope="module")
def runs():
    return load_specification("runs")


def test_spec_runs_protocol_keeps_both_invariants(runs):
    assert [found["holds"] for found in runs.check().values()] == [True, True]


@pytest.mark.parametrize(
    ("variant", "invariant"),
    [
        ("order-before-record", "at_most_one_run"),
        ("ack-before-record", "no_start_after_ack"),
        ("no-lease-wait", "at_most_one_run"),
        ("no-claim-recheck", "at_most_one_run"),
        ("no-stop", "at_most_one_run"),
    ],
)
def test_spec_runs_variant_without_a_rule_violates_an_invariant(
    runs, variant, invariant
):
    found = runs.check(variant)[invariant]
    assert found["holds"] is False
    assert found["counterexample"]
