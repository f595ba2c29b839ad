"""The specification of the start of jobs holds, and each variant breaks it."""

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parents[1] / "docs" / "spec" / "jobs.py"
FAST_HORIZON = 6


@pytest.fixture(scope="module")
def jobs():
    spec = importlib.util.spec_from_file_location("spec_jobs", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.HORIZON = FAST_HORIZON
    return module


def test_spec_jobs_holds(jobs):
    assert jobs.check()["holds"] is True


@pytest.mark.parametrize(
    "variant", ["counts-from-arrival", "claim-only", "no-fence", "no-attempt"]
)
def test_spec_jobs_breaks_without_each_rule(jobs, variant):
    verdict = jobs.check(variant)
    assert verdict["holds"] is False
    assert verdict["counterexample"]
