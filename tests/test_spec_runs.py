"""The specification of runs holds, and each variant breaks it."""

import pytest

from specifications import load


@pytest.fixture(scope="module")
def runs():
    return load("runs")


def test_spec_runs_holds(runs):
    assert [found["holds"] for found in runs.check().values()] == [True, True]


@pytest.mark.parametrize(
    ("variant", "promise"),
    [
        ("order-before-record", "one_run"),
        ("ack-before-record", "none_after_the_end"),
        ("no-wait", "one_run"),
        ("pause-unseen", "one_run"),
        ("no-stop", "one_run"),
    ],
)
def test_spec_runs_breaks_without_each_rule(runs, variant, promise):
    found = runs.check(variant)[promise]
    assert found["holds"] is False
    assert found["counterexample"]
