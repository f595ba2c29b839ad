"""Checks the specification of the configuration log.

The protocol must keep every invariant. Each broken variant must violate the invariant
that its missing rule protects; otherwise the model would not detect that fault.
"""

import pytest

from specifications import load_specification

SPEC = load_specification("config_log")
# Enough states for the shortest counterexamples, which the search finds first.
COUNTEREXAMPLE_STATES = 20_000


def test_config_log_keeps_every_invariant():
    verdict = SPEC.check()
    assert verdict["exhaustive"]
    assert all(item["holds"] is True for item in verdict["properties"].values())


@pytest.mark.parametrize("variant", SPEC.BROKEN_VARIANTS)
def test_config_log_broken_variant_violates_its_invariant(variant):
    invariant = SPEC.BROKEN_VARIANTS[variant]
    verdict = SPEC.check(variant, COUNTEREXAMPLE_STATES)["properties"][invariant]
    assert verdict["holds"] is False
    assert verdict["counterexample"]


def test_config_log_keeps_every_invariant_with_four_positions(monkeypatch):
    monkeypatch.setattr(SPEC, "MAX_SEQ", 4)
    monkeypatch.setattr(SPEC, "REQUESTED_CHANGES", (("x", "z"), ("y", "x")))
    verdict = SPEC.check()
    assert verdict["exhaustive"]
    assert all(item["holds"] is True for item in verdict["properties"].values())
