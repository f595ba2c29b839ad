"""Checks the specification of grants.

The protocol must never exceed the team limit. Each broken variant must have a
counterexample; otherwise the model would not detect the fault that it represents.
"""

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parent.parent / "docs" / "spec" / "grants.py"


def load_grants():
    spec = importlib.util.spec_from_file_location("spec_grants", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


SPEC = load_grants()


def test_spec_grants_protocol_keeps_the_limit():
    assert SPEC.check(SPEC.Variant.SOUND) == (True, [])


@pytest.mark.parametrize(
    "variant", [v for v in SPEC.Variant if v is not SPEC.Variant.SOUND]
)
def test_spec_grants_broken_variant_has_a_counterexample(variant):
    holds, steps = SPEC.check(variant)
    assert holds is False
    assert steps
