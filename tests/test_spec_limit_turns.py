"""Checks the specification of turns at a team's limit.

Each broken variant must have a counterexample where it is named; otherwise the model
would not detect the fault that it represents.
"""

import pytest

from specifications import load_specification

SPEC = load_specification("limit_turns")


@pytest.mark.parametrize("scene", SPEC.SCENES)
@pytest.mark.parametrize("variant", SPEC.Variant)
def test_spec_limit_turns_work_waits_only_in_broken_variants(scene, variant):
    results = SPEC.check(scene, variant)
    assert results["limit"] == (True, [])
    holds, steps = results["bounded wait"]
    assert holds is (variant not in SPEC.BROKEN.get(scene, ()))
    assert bool(steps) is not holds
