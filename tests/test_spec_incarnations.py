"""Checks the specification of starts at a worker that starts again under its name.

The protocol must keep its invariant. Each variant without one of the rules must violate
it; otherwise the model would not detect that fault.
"""

import pytest

from specifications import load_specification


@pytest.fixture(scope="module")
def incarnations():
    return load_specification("incarnations")


def test_spec_incarnations_protocol_runs_no_task_twice(incarnations):
    assert incarnations.check()["holds"] is True


@pytest.mark.parametrize("variant", ["no-greeting", "entry-clock", "renewal-anywhere"])
def test_spec_incarnations_variant_without_a_rule_runs_a_task_twice(
    incarnations, variant
):
    found = incarnations.check(variant)
    assert found["holds"] is False
    assert found["counterexample"]
