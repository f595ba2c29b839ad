"""Checks the specification of the cancellation of an unknown job.

The protocol must keep its invariant. Each variant without one of the rules must violate
it; otherwise the model would not detect that fault.
"""

import pytest

from specifications import load_specification


@pytest.fixture(scope="module")
def cancel():
    return load_specification("cancel")


def test_spec_cancel_protocol_starts_nothing_after_the_acknowledgement(cancel):
    assert cancel.check()["holds"] is True


@pytest.mark.parametrize(
    "variant",
    ["no-record", "early-answer", "short-retention", "replaced", "blind-write"],
)
def test_spec_cancel_variant_without_a_rule_starts_a_cancelled_job(cancel, variant):
    found = cancel.check(variant)
    assert found["holds"] is False
    assert found["counterexample"]
