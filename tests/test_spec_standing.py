"""Checks the specification of standing.

The protocol must keep every invariant. Each broken variant must violate the invariant
that its missing rule protects; otherwise the model would not detect that fault.
"""

import pytest

from specifications import load_specification

SPEC = load_specification("standing")
# Enough states for the shortest counterexamples, which the search finds first.
COUNTEREXAMPLE_STATES = 20_000


def test_standing_keeps_every_invariant():
    verdict = SPEC.check()
    assert verdict["exhaustive"]
    assert all(item["holds"] is True for item in verdict["properties"].values())


@pytest.mark.parametrize("variant", SPEC.BROKEN_VARIANTS)
def test_standing_broken_variant_violates_its_invariant(variant):
    invariant = SPEC.BROKEN_VARIANTS[variant]
    verdict = SPEC.check(variant, COUNTEREXAMPLE_STATES)["properties"][invariant]
    assert verdict["holds"] is False
    assert verdict["counterexample"]
