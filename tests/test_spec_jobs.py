"""Checks the specification of the start of long jobs.

The protocol must never run two attempts of a job at the same time. Each variant without
one of the rules must; otherwise the model would not detect that fault.
"""

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parents[1] / "docs" / "spec" / "jobs.py"
SHORT_HORIZON_TICKS = 6


@pytest.fixture(scope="module")
def jobs():
    spec = importlib.util.spec_from_file_location("spec_jobs", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.HORIZON_TICKS = SHORT_HORIZON_TICKS
    return module


def test_spec_jobs_protocol_runs_at_most_one_attempt(jobs):
    assert jobs.check()["holds"] is True


@pytest.mark.parametrize(
    "variant", ["lease-from-arrival", "no-lease-wait", "no-fence", "no-attempt-check"]
)
def test_spec_jobs_variant_without_a_rule_runs_two_attempts(jobs, variant):
    verdict = jobs.check(variant)
    assert verdict["holds"] is False
    assert verdict["counterexample"]
